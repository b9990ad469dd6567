/// Encodes snapshots of the state and prepares them in storage, off the control thread.

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

    /// `handler` runs on the control thread when preparation succeeded or failed.
    SnapshotMaker(asio::io_context &control, Storage &storage, PreparedHandler handler);

    /// Returns whether a snapshot is in progress: from start() until it was taken.
    [[nodiscard]] bool isBusy() const;
    /// `snapshot` gives index, term and membership; `image` is encoded as its data.
    void start(Snapshot snapshot, StateImage image);
    /// Returns the prepared snapshot once; null when there is none.
    [[nodiscard]] SnapshotPtr takePrepared();
    /// Waits for the snapshot in progress.
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
