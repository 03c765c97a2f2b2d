#pragma once

#include "proxy/service_runner.h"

namespace medlarway
{

/// Connects one caller's stream to an upstream and relays bytes in both directions until both sides have closed.
void startStream(const std::shared_ptr<ServiceRunner> &runner, tcp::socket caller);

} // namespace medlarway
