/// Lookup of queues.

#include <crocusmill/catalog.h>

#include <algorithm>

namespace crocusmill
{

const Queue *Catalog::find(std::string_view host, std::string_view path) const
{
    const Queue *best = nullptr;
    for (const Queue &queue : queues) {
        const bool matches = queue.host == host && path.starts_with(queue.prefix);
        if (matches && (best == nullptr || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const Queue *Catalog::find(const QueueName &name) const
{
    const auto it = std::find_if(
        queues.begin(), queues.end(), [&name](const Queue &queue) { return queue.name == name; });
    return it == queues.end() ? nullptr : &*it;
}

} // namespace crocusmill
