#pragma once

#include "steering/flow_steering.h"

namespace medlarway
{

/// Logs which upstreams began or ended to warm up under a limit since the last call.
void logWarmUps(FlowSteering &steering, Time now);

} // namespace medlarway
