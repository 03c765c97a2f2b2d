#pragma once

#include "base/time.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace medlarway::soak
{

/// Knows what is disturbed and since when it is calm, and collects what went wrong. Thread-safe.
class Judge
{
public:
    /// How long after a disturbance nothing is promised, as the users' rules have it.
    static constexpr Duration kSettling = std::chrono::seconds{4};

    explicit Judge(Time begun);

    /// Something happens to the subject from now until calm is called for it as often as this was.
    void disturb(const std::string &subject);
    void calm(const std::string &subject);

    /// Whether nothing has happened to the subject for the settling time and the span before it.
    bool isCalm(const std::string &subject, Duration before = {}) const;

    /// The same for every subject.
    bool allCalm(Duration before = {}) const;

    /// A promise was broken.
    void blame(const std::string &what);

    /// What happens, to be read beside what went wrong.
    void note(const std::string &what);

    std::vector<std::string> broken() const;

    /// What happened, a line each, the seconds since the start in front.
    std::string story() const;

private:
    struct Subject {
        int disturbances = 0; ///< at this moment
        Time calmSince;
    };

    static bool isCalm(const Subject &subject, Duration before);
    std::string line(const std::string &what) const;

    mutable std::mutex mutex_;
    Time begun_;
    std::map<std::string, Subject> subjects_;
    std::vector<std::string> broken_;
    std::string story_;
};

/// The names of subjects. A host is disturbed by planned work on it too, its life only by failures.
std::string hostSubject(int host);
std::string lifeSubject(int host);
std::string upstreamSubject(const std::string &id);
inline const std::string kStoreSubject = "store";
inline const std::string kLinksSubject = "links";

} // namespace medlarway::soak
