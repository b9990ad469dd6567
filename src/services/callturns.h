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

class CallTurns
{
public:
    /// One of these is called, once.
    struct Work
    {
        std::function<void()> handle;
        /// May be tried again after the time given; it was not and is not handled.
        std::function<void(Milliseconds)> refuse;
        /// Its caller has given up.
        std::function<void()> drop;
    };

    explicit CallTurns(asio::io_context &control);

    /// `limit`: how long the caller waits from now on.
    void add(CallClass callClass, Milliseconds limit, Work work);
    /// Nothing has its turn while `condition` holds; it is looked at every few milliseconds.
    void holdWhile(std::function<bool()> condition);
    /// Forgets what waits, and drops what comes from now on.
    void stop();

private:
    /// Since the last record.
    struct Sums
    {
        std::uint64_t handled = 0;
        std::uint64_t refused = 0;
        std::uint64_t dropped = 0;
    };

    void schedule();
    void scheduleLater();
    void takeTurn();
    void takeTurnUntil(MonotonicTime until);
    void record(MonotonicTime now);

    asio::io_context &control_;
    asio::steady_timer held_;
    std::function<bool()> holds_;
    CallQueue queue_;
    std::map<std::uint64_t, Work> waiting_; // what is in queue_, by its id
    std::uint64_t lastId_ = 0;
    MonotonicTime scheduledAt_ {}; // the next turn, or the last one
    Sums sums_;
    MonotonicTime recordDue_ {};
    bool scheduled_ = false;
    bool stopped_ = false;
    // Turns that are still posted find out by it that this is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace crocusmill
