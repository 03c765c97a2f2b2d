#include "startup/start_cost.h"

#include "base/log.h"
#include "base/version.h"

#include <sys/resource.h>
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
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto asDuration = [](const timeval &time) { return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec); };
    return {monotonicNow() - startedAt(), asDuration(usage.ru_utime) + asDuration(usage.ru_stime)};
}

} // namespace medlarway
