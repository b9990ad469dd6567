/// Implementation of the route table.

#include "src/services/routetable.h"

namespace crocusmill
{

std::optional<Document> installDocument(RouteTable &table, const EnvironmentInForce &inForce)
{
    Checked<Document> checked = parseDocument(inForce.document);
    Document *document = std::get_if<Document>(&checked);
    if (document == nullptr) {
        return std::nullopt;
    }
    std::erase_if(table.hosts, [&inForce](const auto &entry) {
        return entry.second->document.name == inForce.name && entry.second->stage == inForce.stage;
    });
    const std::shared_ptr<const RouteTable::Environment> environment =
        std::make_shared<const RouteTable::Environment>(
            RouteTable::Environment {*document, inForce.digest, inForce.stage});
    const std::string prefix = inForce.stage == Stage::Trial ? "trial." : "";
    for (const std::string &host : document->hosts) {
        table.hosts[prefix + host] = environment;
    }
    return *document;
}

} // namespace crocusmill
