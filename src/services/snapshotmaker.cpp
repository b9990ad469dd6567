/// Makes snapshots on a separate thread.

#include "src/services/snapshotmaker.h"

namespace crocusmill
{

SnapshotMaker::SnapshotMaker(asio::io_context &control, Storage &storage, PreparedHandler handler)
    : control_(control)
    , storage_(storage)
    , handler_(std::move(handler))
{
}

bool SnapshotMaker::isBusy() const
{
    return isBusy_;
}

void SnapshotMaker::start(Snapshot snapshot, StateImage image)
{
    isBusy_ = true;
    const std::shared_ptr<Snapshot> newSnapshot = std::make_shared<Snapshot>(std::move(snapshot));
    const std::shared_ptr<const StateImage> taken =
        std::make_shared<const StateImage>(std::move(image));
    asio::post(thread_, [this, newSnapshot, taken]() {
        newSnapshot->data = encodeImage(*taken);
        const Result<void> outcome = storage_.prepareSnapshot(*newSnapshot);
        asio::post(control_, [this, newSnapshot, outcome]() { onPrepared(newSnapshot, outcome); });
    });
}

void SnapshotMaker::onPrepared(const SnapshotPtr &snapshot, const Result<void> &outcome)
{
    if (outcome) {
        prepared_ = snapshot;
    }
    handler_(outcome);
}

SnapshotPtr SnapshotMaker::takePrepared()
{
    SnapshotPtr taken = std::exchange(prepared_, nullptr);
    isBusy_ = isBusy_ && !taken;
    return taken;
}

void SnapshotMaker::stop()
{
    thread_.join();
}

} // namespace crocusmill
