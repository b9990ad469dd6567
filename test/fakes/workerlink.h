/// Worker link that records calls and lets the test answer them.

#pragma once

#include "src/services/workerlink.h"

#include <vector>

namespace crocusmill::fakes
{

class FakeWorkerLink : public WorkerLink
{
public:
    struct StartCall
    {
        WorkerEndpoint worker;
        StartOrder order;
        StartHandler done;
    };
    struct StopCall
    {
        WorkerEndpoint worker;
        TaskRef task;
        RunNumber run;
        StopHandler done;
    };
    struct HoldCall
    {
        WorkerEndpoint worker;
        HoldOrder order;
        HoldHandler done;
    };

    void start(const WorkerEndpoint &worker, const StartOrder &order, Milliseconds /*limit*/,
        StartHandler done) override
    {
        starts.push_back({worker, order, std::move(done)});
    }

    void stop(const WorkerEndpoint &worker, const TaskRef &task, RunNumber run,
        FencingToken /*fence*/, Milliseconds /*limit*/, StopHandler done) override
    {
        stops.push_back({worker, task, run, std::move(done)});
    }

    void hold(const WorkerEndpoint &worker, const HoldOrder &order, Milliseconds /*limit*/,
        HoldHandler done) override
    {
        holds.push_back({worker, order, std::move(done)});
    }

    void forget(const WorkerEndpoint & /*worker*/) override
    {
    }

    /// Answers the newest hold.
    void answerHold(const HoldReport &report)
    {
        const HoldHandler done = holds.back().done;
        HoldOutcome outcome;
        outcome.clock = WorkerTime {1'000};
        outcome.report = report;
        outcome.report.incarnation = holds.back().worker.incarnation;
        done(outcome);
    }

    void failHold(HoldError error)
    {
        const HoldHandler done = holds.back().done;
        HoldOutcome outcome;
        outcome.error = error;
        done(outcome);
    }

    void answerStart(StartOutcome outcome)
    {
        const StartHandler done = starts.back().done;
        done(outcome, WorkerTime {1'000});
    }

    std::vector<StartCall> starts;
    std::vector<StopCall> stops;
    std::vector<HoldCall> holds;
};

} // namespace crocusmill::fakes
