#pragma once

#include "platform/store_feed.h"
#include "replication/timing.h"

namespace medlarway
{

/// Timeouts and backoff of an entry host's calls to the store.
StoreTimeouts storeTimeouts(const ReplicationTiming &timing);

/// How often an entry host calls the store: urgent while callers wait for a change, alone if no other host is in its zone.
WatchPace storePace(const ReplicationTiming &timing, bool urgent, bool alone);

} // namespace medlarway
