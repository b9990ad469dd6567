/// Snapshots on a thread of their own.

#include "src/services/snapshotmaker.h"

namespace crocusmill
{

SnapshotMaker::SnapshotMaker(asio::io_context &control, Storage &storage, Done done)
    : control_(control)
    , storage_(storage)
    , done_(std::move(done))
{
}

bool SnapshotMaker::busy() const
{
    return busy_;
}

void SnapshotMaker::begin(Snapshot snapshot, StateImage image)
{
    busy_ = true;
    const std::shared_ptr<Snapshot> made = std::make_shared<Snapshot>(std::move(snapshot));
    const std::shared_ptr<const StateImage> taken =
        std::make_shared<const StateImage>(std::move(image));
    asio::post(thread_, [this, made, taken]() {
        made->data = encodeImage(*taken);
        const Result<void> outcome = storage_.prepareSnapshot(*made);
        asio::post(control_, [this, made, outcome]() { finished(made, outcome); });
    });
}

void SnapshotMaker::finished(const SnapshotPtr &snapshot, const Result<void> &outcome)
{
    if (outcome) {
        prepared_ = snapshot;
    }
    done_(outcome);
}

SnapshotPtr SnapshotMaker::take()
{
    SnapshotPtr taken = std::exchange(prepared_, nullptr);
    busy_ = busy_ && !taken;
    return taken;
}

void SnapshotMaker::stop()
{
    thread_.join();
}

} // namespace crocusmill
