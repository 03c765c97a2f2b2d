#pragma once

#include "proxy/service_runner.h"

namespace medlarway
{

/// Connects one caller's stream to an upstream and carries bytes both ways until both have ended.
void startStream(const std::shared_ptr<ServiceRunner> &runner, tcp::socket caller);

} // namespace medlarway
