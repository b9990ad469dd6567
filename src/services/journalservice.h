/// Runs the replica of the journal: consensus, storage and state machine on the control thread.

#pragma once

#include "src/net/asio.h"
#include "src/net/metrics.h"
#include "src/services/interfaces.h"

#include <crocusmill/settings.h>
#include <crocusmill/storage.h>

#include <functional>
#include <memory>

namespace crocusmill
{

/// `storage` is null on a VM without a data folder; its journal holds no replica.
/// `stopProcess` is called when a write to the disk fails.
[[nodiscard]] std::unique_ptr<Service> makeJournalService(asio::io_context &control,
    const Settings &settings, Metrics &metrics, std::unique_ptr<Storage> storage,
    std::function<void()> stopProcess);

} // namespace crocusmill
