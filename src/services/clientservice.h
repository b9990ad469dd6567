/// Finds the leader and sends calls to it.

#pragma once

#include "src/net/asio.h"
#include "src/services/interfaces.h"

#include <crocusmill/settings.h>

#include <memory>

namespace crocusmill
{

[[nodiscard]] std::unique_ptr<Service> makeClientService(
    asio::io_context &control, const Settings &settings);

} // namespace crocusmill
