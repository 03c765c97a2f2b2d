#pragma once

#include "proxy/service_runner.h"

namespace medlarway
{

/// Serves one caller's HTTP/1.1 connection, one request after the other, until it ends.
void startHttpSession(const std::shared_ptr<ServiceRunner> &runner, tcp::socket caller);

} // namespace medlarway
