#include "soak/judge.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarway::soak
{

Judge::Judge(Time begun)
    : begun_(begun)
{
}

void Judge::disturb(const std::string &subject)
{
    const std::lock_guard lock(mutex_);
    ++subjects_[subject].disturbances;
}

void Judge::calm(const std::string &subject)
{
    const std::lock_guard lock(mutex_);
    auto &found = subjects_[subject];
    --found.disturbances;
    found.calmSince = monotonicNow();
}

bool Judge::isCalm(const Subject &subject, Duration before)
{
    return subject.disturbances == 0 && monotonicNow() - subject.calmSince >= kSettling + before;
}

bool Judge::isCalm(const std::string &subject, Duration before) const
{
    const std::lock_guard lock(mutex_);
    const auto found = subjects_.find(subject);
    return found == subjects_.end() || isCalm(found->second, before);
}

bool Judge::allCalm(Duration before) const
{
    const std::lock_guard lock(mutex_);
    return std::all_of(subjects_.begin(), subjects_.end(), [before](const auto &row) { return isCalm(row.second, before); });
}

std::string Judge::line(const std::string &what) const
{
    return fmt::format("{:7.3f} {}", std::chrono::duration<double>(monotonicNow() - begun_).count(), what);
}

void Judge::blame(const std::string &what)
{
    const std::lock_guard lock(mutex_);
    broken_.push_back(line(what));
    story_ += line("BROKEN: " + what) + "\n";
}

void Judge::note(const std::string &what)
{
    const std::lock_guard lock(mutex_);
    story_ += line(what) + "\n";
}

std::vector<std::string> Judge::broken() const
{
    const std::lock_guard lock(mutex_);
    return broken_;
}

std::string Judge::story() const
{
    const std::lock_guard lock(mutex_);
    return story_;
}

std::string hostSubject(int host)
{
    return fmt::format("host {}", host);
}

std::string lifeSubject(int host)
{
    return fmt::format("life of host {}", host);
}

std::string upstreamSubject(const std::string &id)
{
    return "upstream " + id;
}

} // namespace medlarway::soak
