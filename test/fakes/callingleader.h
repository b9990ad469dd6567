/// A leader that calls workers, with fakes for all its dependencies.

#pragma once

#include "src/services/leaderservice.h"
#include "test/fakes/services.h"
#include "test/fakes/workerlink.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <vector>

namespace crocusmill::fakes
{

class WorkerLinkService final : public PassiveService, public FakeWorkerLink
{
public:
    std::string_view name() const override
    {
        return names::workerLink;
    }
};

/// Allows all workers, and answers at once unless told otherwise.
class FakeTicketOffice final : public PassiveService, public TicketOffice
{
public:
    std::string_view name() const override
    {
        return names::ticketOffice;
    }

    void ask(const TaskRef & /*step*/, const std::vector<WorkerId> &workers, Milliseconds /*limit*/,
        std::function<void(const TicketAnswer &)> done) override
    {
        ++requestCount;
        TicketAnswer answer;
        answer.answered = unansweredCount == 0;
        unansweredCount -= std::min(unansweredCount, 1);
        if (answer.answered) {
            for (const WorkerId &worker : workers) {
                answer.allowed.push_back({worker, Ticket {"ticket"}});
            }
            answer.validity = requestCount > answeredAtOnce ? heldValidity : validity;
        }
        if (requestCount > answeredAtOnce) {
            heldAnswers.emplace_back([answer, done]() { done(answer); });
        } else {
            done(answer);
        }
    }

    int requestCount = 0;
    int answeredAtOnce = std::numeric_limits<int>::max(); // later answers go to heldAnswers
    std::vector<std::function<void()>> heldAnswers;
    Milliseconds validity {60'000};
    Milliseconds heldValidity {60'000}; // of the answers in heldAnswers
    int unansweredCount = 0; // how many of the next requests get no answer
};

struct CallingLeader
{
    explicit CallingLeader(std::uint64_t maxEarlyCancels = StateSettings {}.maxEarlyCancels)
    {
        settings.state = StateSettings {};
        settings.state->maxEarlyCancels = maxEarlyCancels;
        settings.peers.advertise = NodeAddress {"10.0.0.1", 7000};
        kernel.add(std::unique_ptr<Service> {&journal});
        kernel.add(std::unique_ptr<Service> {&peers});
        kernel.add(std::unique_ptr<Service> {&link});
        kernel.add(std::unique_ptr<Service> {&office});
        kernel.add(makeLeaderService(control, settings, metrics, true));
        started = kernel.start().has_value();
    }

    ~CallingLeader()
    {
        kernel.stop();
    }

    /// Sends a worker's first heartbeat and answers its first hold with an empty list.
    void addWorker(const std::string &id, std::uint32_t milliCores)
    {
        HeartbeatCall call;
        call.heartbeat.id = WorkerId {id};
        call.heartbeat.incarnation = Incarnation {"1000"};
        call.heartbeat.sequence = 1;
        call.heartbeat.service = ServiceName {"matching"};
        call.heartbeat.capacity.milliCores = milliCores;
        static_cast<void>(peers.ask(call));
        link.answerHold({});
    }

    void installQueue(const Queue &queue)
    {
        Catalog catalog;
        catalog.version = DocumentVersion {1};
        catalog.queues.push_back(queue);
        static_cast<void>(peers.ask(CatalogCall {catalog}));
    }

    GraphReply submit(const std::string &id, const std::vector<StepSpec> &steps)
    {
        GraphCall call;
        call.action = GraphAction::Submit;
        call.host = "desk.example";
        call.path = "/quotes/" + id;
        call.spec = GraphSpec {};
        call.spec->steps = steps;
        return std::get<GraphReply>(peers.ask(call));
    }

    asio::io_context control;
    Settings settings;
    Metrics metrics;
    // Owned by the kernel.
    FakeJournal &journal = *new FakeJournal(settings.times);
    FakePeers &peers = *new FakePeers;
    WorkerLinkService &link = *new WorkerLinkService;
    FakeTicketOffice &office = *new FakeTicketOffice;
    Kernel kernel;
    bool started = false;
};

inline Queue quotesQueue()
{
    Queue queue;
    queue.name = QueueName {"quotes"};
    queue.host = "desk.example";
    queue.prefix = "/quotes/";
    queue.service = ServiceName {"matching"};
    return queue;
}

} // namespace crocusmill::fakes
