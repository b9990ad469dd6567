/// Runs calls on the control thread in the order of a CallQueue, in short time slices.
///
/// Between two slices the event loop handles network input and due timers, so that journal
/// messages and worker answers do not wait behind a long queue of calls. Control thread only.

#pragma once

#include "src/net/asio.h"

#include <crocusmill/callqueue.h>

#include <functional>
#include <map>
#include <memory>

namespace crocusmill
{

class CallScheduler
{
public:
    /// Handlers of one call. Exactly one of them is called, once, unless stop() discards the call.
    struct CallHandlers
    {
        std::function<void()> handle;
        /// The call was not handled. The caller may retry after the given delay.
        std::function<void(Milliseconds)> refuse;
        /// The call timed out before its turn.
        std::function<void()> drop;
    };

    explicit CallScheduler(asio::io_context &control);

    /// Queues a call. `timeout` is how long the caller waits from now on.
    void add(CallClass callClass, Milliseconds timeout, CallHandlers handlers);
    /// Runs no calls while `condition` returns true; checks it every few milliseconds.
    void holdWhile(std::function<bool()> condition);
    /// Discards waiting calls without calling a handler and drops all later ones.
    void stop();

private:
    /// Calls since the last log record.
    struct Counts
    {
        std::uint64_t handled = 0;
        std::uint64_t refused = 0;
        std::uint64_t dropped = 0;
    };

    void schedule();
    void scheduleLater();
    void runTurn();
    void runUntil(MonotonicTime deadline);
    void logCounts(MonotonicTime now);

    asio::io_context &control_;
    asio::steady_timer holdTimer_;
    std::function<bool()> shouldHold_;
    CallQueue queue_;
    std::map<std::uint64_t, CallHandlers> waiting_; // calls in queue_ by their id
    std::uint64_t lastId_ = 0;
    MonotonicTime scheduledAt_ {}; // when the next or last turn was posted
    Counts counts_;
    MonotonicTime nextLogAt_ {};
    bool isScheduled_ = false;
    bool isStopped_ = false;
    // Posted turns check it to detect that this object was destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace crocusmill
