/// FIFO queue without limits, the baseline for comparison.

#include <crocusmill/admission.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

class NaiveQueue final : public QueuePolicy
{
public:
    std::optional<Refusal> offer(
        const WaitingRequest &request, const ServiceLoad & /*load*/, MonotonicTime /*now*/) override
    {
        waiting_.push_back(request);
        return std::nullopt;
    }

    std::optional<WaitingRequest> take(const ServiceLoad & /*load*/, MonotonicTime /*now*/) override
    {
        if (waiting_.empty()) {
            return std::nullopt;
        }
        WaitingRequest request = std::move(waiting_.front());
        waiting_.pop_front();
        return request;
    }

    void putBack(const WaitingRequest &request) override
    {
        waiting_.push_front(request);
    }

    std::vector<Refusal> expire(MonotonicTime now) override
    {
        std::vector<Refusal> refused;
        std::erase_if(waiting_, [&refused, now](const WaitingRequest &request) {
            if (now < request.deadline) {
                return false;
            }
            refused.push_back({request.id, RefusalReason::DeadlinePassed, {}});
            return true;
        });
        return refused;
    }

    bool remove(RequestId request) override
    {
        return std::erase_if(waiting_, [request](const WaitingRequest &waiting) {
            return waiting.id == request;
        }) > 0;
    }

    std::vector<RequestId> removeAll() override
    {
        std::vector<RequestId> ids;
        for (const WaitingRequest &request : waiting_) {
            ids.push_back(request.id);
        }
        waiting_.clear();
        return ids;
    }

    std::size_t size() const override
    {
        return waiting_.size();
    }

private:
    std::deque<WaitingRequest> waiting_;
};

} // namespace

std::unique_ptr<QueuePolicy> makeNaiveQueue()
{
    return std::make_unique<NaiveQueue>();
}

} // namespace crocusmill
