/// Selection of VMs for ticket requests, compared with always taking the least busy VM.

#include <crocusmill/ticketlanes.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

namespace crocusmill
{

namespace
{

const MonotonicTime start {std::chrono::hours {1}};
constexpr std::uint16_t vmCount = 10;
constexpr Milliseconds quick {12};
constexpr Milliseconds medium {66};
constexpr Milliseconds large {640};

NodeAddress vm(std::uint16_t number)
{
    return {"10.0.0." + std::to_string(number), 7000};
}

TicketRequest requestFor(
    Milliseconds duration, const std::string &queue = "queue", std::size_t otherWaitingQueues = 0)
{
    return {QueueName {queue}, duration, otherWaitingQueues};
}

/// Reference: gives each request at once to the VM that is idle first.
class LeastBusy
{
public:
    void markAlive(const NodeAddress &vm, MonotonicTime /*now*/)
    {
        freeAt_.try_emplace(vm);
    }

    std::optional<NodeAddress> pick(const TicketRequest & /*request*/, MonotonicTime /*now*/) const
    {
        return std::min_element(freeAt_.begin(), freeAt_.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; })
            ->first;
    }

    Milliseconds recordRequest(
        const NodeAddress &vm, const TicketRequest &request, MonotonicTime now)
    {
        freeAt_[vm] = std::max(freeAt_[vm], now) + request.duration;
        return std::chrono::ceil<Milliseconds>(freeAt_[vm] - now);
    }

private:
    std::map<NodeAddress, MonotonicTime> freeAt_;
};

struct ResponseTimes
{
    std::vector<Milliseconds> quick; // from the request to the answer
    std::vector<Milliseconds> large;
};

/// Replays a new leader that has the requests of all large jobs at once, beside the usual quick
/// ones.
template <typename Policy> ResponseTimes replay(std::uint64_t seed)
{
    struct Request
    {
        Milliseconds duration;
        MonotonicTime since;
    };
    std::mt19937_64 random {seed};
    Policy policy;
    std::deque<Request> urgent;
    std::deque<Request> rest(14, Request {large, start});
    ResponseTimes times;
    for (MonotonicTime now = start; now < start + Milliseconds {3'000}; now += Milliseconds {1}) {
        for (std::uint16_t number = 0; number < vmCount; ++number) {
            policy.markAlive(vm(number), now);
        }
        if (random() % 1000 < 140) { // per second
            urgent.push_back({quick, now});
        }
        if (random() % 1000 < 15) {
            rest.push_front({medium, now});
        }
        for (std::deque<Request> *queue : {&urgent, &rest}) {
            std::deque<Request> left;
            for (const Request &request : *queue) {
                const std::optional<NodeAddress> chosen =
                    policy.pick(requestFor(request.duration), now);
                if (!chosen) {
                    left.push_back(request);
                    continue;
                }
                const Milliseconds answer =
                    policy.recordRequest(*chosen, requestFor(request.duration), now);
                const Milliseconds took =
                    std::chrono::duration_cast<Milliseconds>(now - request.since) + answer;
                if (request.duration == quick) {
                    times.quick.push_back(took);
                } else if (request.duration == large) {
                    times.large.push_back(took);
                }
            }
            *queue = std::move(left);
        }
    }
    return times;
}

Milliseconds quantile(std::vector<Milliseconds> times, double share)
{
    std::sort(times.begin(), times.end());
    return times[static_cast<std::size_t>(static_cast<double>(times.size() - 1) * share)];
}

} // namespace

TEST_CASE("requests of large jobs do not delay those of quick jobs")
{
    // A quick job may wait for a fifth of its aim of 250 ms.
    constexpr Milliseconds bound {50};
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        INFO("seed " << seed);
        const ResponseTimes selected = replay<TicketVmSelector>(seed);
        const ResponseTimes naive = replay<LeastBusy>(seed);
        CHECK(quantile(selected.quick, 0.95) <= bound);
        CHECK(quantile(naive.quick, 0.95) > bound);
        // Large requests do not starve: 14 of them take three rounds on half of the VMs.
        REQUIRE(selected.large.size() == naive.large.size());
        CHECK(quantile(selected.large, 1.0) <= 4 * large);
    }
}

TEST_CASE("the gangs of one queue kept the requests of another from every VM")
{
    TicketVmSelector selector;
    const MonotonicTime now = start + Milliseconds {10'000}; // the load of a new leader has passed
    const auto fill = [&selector, now](const TicketRequest &request) {
        int sent = 0;
        while (const std::optional<NodeAddress> chosen = selector.pick(request, now)) {
            static_cast<void>(selector.recordRequest(*chosen, request, now));
            ++sent;
        }
        return sent;
    };
    for (std::uint16_t number = 0; number < 16; ++number) {
        selector.markAlive(vm(number), start);
        selector.markAlive(vm(number), now);
    }
    // A quarter of the VMs stays free for quick requests.
    CHECK(fill(requestFor(large, "gangs", 1)) == 6);
    CHECK(fill(requestFor(large, "others", 1)) == 6);
    CHECK(selector.pick(requestFor(quick), now).has_value());
}

TEST_CASE("a queue that waits alone may use all VMs that take long requests")
{
    TicketVmSelector selector;
    const MonotonicTime now = start + Milliseconds {10'000};
    int sent = 0;
    for (std::uint16_t number = 0; number < 16; ++number) {
        selector.markAlive(vm(number), start);
        selector.markAlive(vm(number), now);
    }
    const TicketRequest request = requestFor(large, "gangs");
    while (const std::optional<NodeAddress> chosen = selector.pick(request, now)) {
        static_cast<void>(selector.recordRequest(*chosen, request, now));
        ++sent;
    }
    CHECK(sent == 12);
}

TEST_CASE("a silent VM gets no requests until its next sign of life")
{
    TicketVmSelector selector;
    selector.addSelf(vm(1));
    selector.markAlive(vm(2), start);
    CHECK(selector.pick(requestFor(quick), start) == vm(2));
    CHECK(selector.pick(requestFor(quick), start + Milliseconds {2'000}) == vm(1));
    selector.markAlive(vm(2), start + Milliseconds {2'000});
    selector.markSilent(vm(2));
    CHECK(selector.pick(requestFor(quick), start + Milliseconds {2'000}) == vm(1));
    selector.markSilent(vm(1));
    CHECK(selector.pick(requestFor(quick), start + Milliseconds {2'000}) == vm(1));
}

TEST_CASE("a VM gets its next request when it is about to be idle, earlier if it answers early")
{
    TicketVmSelector selector;
    selector.addSelf(vm(1));
    CHECK(selector.pick(requestFor(large), start) == vm(1)); // the only VM also takes long requests
    CHECK(selector.recordRequest(vm(1), requestFor(large), start) == large);
    CHECK_FALSE(selector.pick(requestFor(quick), start + Milliseconds {100}).has_value());
    CHECK(selector.pick(requestFor(quick), start + large - Milliseconds {20}) == vm(1));
    selector.recordAnswer(vm(1), start + Milliseconds {200});
    CHECK(selector.pick(requestFor(quick), start + Milliseconds {200}) == vm(1));
}

} // namespace crocusmill
