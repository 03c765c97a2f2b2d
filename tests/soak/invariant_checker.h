#pragma once

#include "base/time.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace medlarway::soak
{

/// Tracks which parts of the system are disturbed by injected faults, and collects violations of the invariants. A part is called a
/// subject. Thread-safe.
class InvariantChecker
{
public:
    /// Time after a disturbance during which the requirements guarantee nothing.
    static constexpr Duration kSettlingTime = std::chrono::seconds{4};

    explicit InvariantChecker(Time startedAt);

    /// Marks the subject as disturbed until endDisturbance() has been called as often as this.
    void beginDisturbance(const std::string &subject);
    void endDisturbance(const std::string &subject);

    /// Whether the subject has been undisturbed for kSettlingTime plus the time before.
    bool isStable(const std::string &subject, Duration before = {}) const;

    /// Whether every subject is stable.
    bool allStable(Duration before = {}) const;

    /// Records a violated invariant.
    void reportViolation(const std::string &what);

    /// Adds an event to the log.
    void record(const std::string &what);

    std::vector<std::string> violations() const;

    /// Events and violations, one per line, prefixed with the seconds since the start.
    std::string log() const;

private:
    struct Subject {
        int disturbances = 0; ///< number of disturbances now
        Time undisturbedSince;
    };

    static bool isStable(const Subject &subject, Duration before);
    std::string line(const std::string &what) const;

    mutable std::mutex mutex_;
    Time startedAt_;
    std::map<std::string, Subject> subjects_;
    std::vector<std::string> violations_;
    std::string log_;
};

/// Names of the subjects. Planned work disturbs only a host's hostSubject, failures also its livenessSubject.
std::string hostSubject(int host);
std::string livenessSubject(int host);
std::string upstreamSubject(const std::string &id);
inline const std::string kStoreSubject = "store";
inline const std::string kLinksSubject = "links";

} // namespace medlarway::soak
