#include "startup/start_cost.h"

#include "base/log.h"
#include "base/version.h"

#include <ctime>
#include <unistd.h>

namespace medlarway
{

namespace
{

Time &startedAt()
{
    static Time time;
    return time;
}

} // namespace

void beginStart()
{
    startedAt() = monotonicNow();
    logEvent(Event::Starting, {field("version", kVersion), field("process", getpid()), field("parent", getppid())});
}

StartCost startCost()
{
    const std::chrono::duration<double> processorTime(static_cast<double>(std::clock()) / CLOCKS_PER_SEC);
    return {monotonicNow() - startedAt(), std::chrono::duration_cast<Duration>(processorTime)};
}

} // namespace medlarway
