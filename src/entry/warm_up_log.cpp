#include "entry/warm_up_log.h"

#include "base/log.h"

namespace medlarway
{

void logWarmUps(FlowSteering &steering, Time now)
{
    for (const auto index : steering.takeWarmUpChanges()) {
        const auto &upstream = steering.directory().at(index);
        const auto &warmUp = upstream.warmUp;
        if (warmUp.active) {
            logEvent(Event::WarmUpBegun,
                     {field("upstream", upstream.entry.id), field("zone", upstream.entry.zone.name),
                      field("remaining-ms", inMilliseconds(upstream.warmUntil - now)),
                      field("syns-per-second", warmUp.synLimit.value_or(0)), field("used-here", now < warmUp.usableUntil),
                      field("entry-revision", revisionToString(upstream.entry.revision))});
        } else {
            logEvent(Event::WarmUpEnded, {field("upstream", upstream.entry.id), field("zone", upstream.entry.zone.name),
                                          field("entry-revision", revisionToString(upstream.entry.revision))});
        }
    }
}

} // namespace medlarway
