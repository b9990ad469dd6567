/// Runs calls on the control thread in the order of a CallQueue, a little at a time.
///
/// Between two turns the loop handles what has come from the network and the timers that are due,
/// so that neither the journal's messages nor workers' answers wait behind a row of calls. Only
/// for the control thread.

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
    /// One of these is called, once.
    struct CallHandlers
    {
        std::function<void()> handle;
        /// May be tried again after the time given; it was not and is not handled.
        std::function<void(Milliseconds)> refuse;
        /// Its caller has given up.
        std::function<void()> drop;
    };

    explicit CallScheduler(asio::io_context &control);

    /// `limit`: how long the caller waits from now on.
    void add(CallClass callClass, Milliseconds timeout, CallHandlers work);
    /// Nothing has its turn while `condition` holds; it is looked at every few milliseconds.
    void holdWhile(std::function<bool()> condition);
    /// Forgets what waits, and drops what comes from now on.
    void stop();

private:
    /// Since the last record.
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
    std::map<std::uint64_t, CallHandlers> waiting_; // what is in queue_, by its id
    std::uint64_t lastId_ = 0;
    MonotonicTime scheduledAt_ {}; // the next turn, or the last one
    Counts counts_;
    MonotonicTime nextLogAt_ {};
    bool isScheduled_ = false;
    bool isStopped_ = false;
    // Turns that are still posted find out by it that this is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace crocusmill
