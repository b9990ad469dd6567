/// Makes snapshots beside the control thread: encodes the state and writes it aside.

#pragma once

#include "src/net/asio.h"

#include <crocusmill/statemachine.h>
#include <crocusmill/storage.h>

#include <boost/asio/thread_pool.hpp>

#include <functional>
#include <memory>

namespace crocusmill
{

class SnapshotMaker
{
public:
    using PreparedHandler = std::function<void(Result<void>)>;

    /// `done` runs on the control thread when a snapshot was prepared or could not be.
    SnapshotMaker(asio::io_context &control, Storage &storage, PreparedHandler handler);

    /// From begin() until what it made was taken.
    [[nodiscard]] bool isBusy() const;
    /// `snapshot` states index, term and membership; its data is made from `image`.
    void start(Snapshot snapshot, StateImage image);
    /// What was prepared and not taken yet; null when there is none.
    [[nodiscard]] SnapshotPtr takePrepared();
    /// Waits for the work in hand.
    void stop();

private:
    void onPrepared(const SnapshotPtr &snapshot, const Result<void> &outcome);

    asio::io_context &control_;
    Storage &storage_;
    PreparedHandler handler_;
    asio::thread_pool thread_ {1};
    bool isBusy_ = false;
    SnapshotPtr prepared_;
};

} // namespace crocusmill
