#include "soak/invariant_checker.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarway::soak
{

InvariantChecker::InvariantChecker(Time startedAt)
    : startedAt_(startedAt)
{
}

void InvariantChecker::beginDisturbance(const std::string &subject)
{
    const std::lock_guard lock(mutex_);
    ++subjects_[subject].disturbances;
}

void InvariantChecker::endDisturbance(const std::string &subject)
{
    const std::lock_guard lock(mutex_);
    auto &found = subjects_[subject];
    --found.disturbances;
    found.undisturbedSince = monotonicNow();
}

bool InvariantChecker::isStable(const Subject &subject, Duration before)
{
    return subject.disturbances == 0 && monotonicNow() - subject.undisturbedSince >= kSettlingTime + before;
}

bool InvariantChecker::isStable(const std::string &subject, Duration before) const
{
    const std::lock_guard lock(mutex_);
    const auto found = subjects_.find(subject);
    return found == subjects_.end() || isStable(found->second, before);
}

bool InvariantChecker::allStable(Duration before) const
{
    const std::lock_guard lock(mutex_);
    return std::all_of(subjects_.begin(), subjects_.end(), [before](const auto &entry) { return isStable(entry.second, before); });
}

std::string InvariantChecker::line(const std::string &what) const
{
    return fmt::format("{:7.3f} {}", std::chrono::duration<double>(monotonicNow() - startedAt_).count(), what);
}

void InvariantChecker::reportViolation(const std::string &what)
{
    const std::lock_guard lock(mutex_);
    violations_.push_back(line(what));
    log_ += line("VIOLATION: " + what) + "\n";
}

void InvariantChecker::record(const std::string &what)
{
    const std::lock_guard lock(mutex_);
    log_ += line(what) + "\n";
}

std::vector<std::string> InvariantChecker::violations() const
{
    const std::lock_guard lock(mutex_);
    return violations_;
}

std::string InvariantChecker::log() const
{
    const std::lock_guard lock(mutex_);
    return log_;
}

std::string hostSubject(int host)
{
    return fmt::format("host {}", host);
}

std::string livenessSubject(int host)
{
    return fmt::format("liveness of host {}", host);
}

std::string upstreamSubject(const std::string &id)
{
    return "upstream " + id;
}

} // namespace medlarway::soak
