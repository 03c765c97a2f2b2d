#pragma once

#include "proxy/service_runner.h"

namespace medlarway
{

/// Serves the requests on one caller's HTTP/1.x connection, one after the other, until it is closed.
void startHttpSession(const std::shared_ptr<ServiceRunner> &runner, tcp::socket caller);

} // namespace medlarway
