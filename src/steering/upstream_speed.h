#pragma once

#include "base/host.h"
#include "steering/directory.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// Bound of an upstream's slowness: it keeps an eighth of its weight, so that new flows show when it has recovered.
inline constexpr double kMaxSlowness = 8;

/// Share of a service's slots that may count as slow. If more are, the service or this host's link is slow, not some upstreams.
inline constexpr double kMaxSlowShare = 0.4;

/// Without samples, the distance of an upstream's slowness to 1 halves in this time, so that a recovered upstream returns in steps.
inline constexpr Duration kSlownessHalfLife = std::chrono::seconds{5};

/// Limit of the upstreams in one message of takeSpeedSums(): 12 bytes each, within a datagram.
inline constexpr std::size_t kMaxSpeedSums = 40;

/// Response times of an upstream as one host observed them.
struct SpeedSum {
    FlowToken upstream = 0;
    std::uint32_t samples = 0;
    float logRatioSum = 0; ///< sum of the natural logarithms of response time / mean of the route

    friend bool operator==(const SpeedSum &, const SpeedSum &) = default;
};

/// Samples of an upstream by one host. Their weight halves with age as later samples arrive.
struct SpeedEvidence {
    double samples = 0;
    double logRatioSum = 0;
    Time lastSample;

    friend bool operator==(const SpeedEvidence &, const SpeedEvidence &) = default;
};

/// Learns how slow each upstream is compared with the other upstreams of its service. Not thread-safe.
class UpstreamSpeeds
{
public:
    UpstreamSpeeds();

    /// Records the time from a request's first packet to the first acknowledgment of its response. route is the index of the route's usage
    /// record.
    void addResponse(UpstreamIndex upstream, std::uint32_t route, Duration elapsed, Time now);

    /// Whether a request has been outstanding for so long that this shows the upstream to be slow; see addResponse().
    bool isOverdue(std::uint32_t route, Duration elapsed) const;

    /// Discards the samples that are not yet evaluated, and ignores requests that were outstanding during the pause of this host.
    void onPause(Time now);

    /// Evaluates the samples and sets the slowness of every upstream. To be called once a second.
    void sweep(UpstreamDirectory &directory, Time now);

    /// What this host observed since the last call, for other hosts; at most kMaxSpeedSums, those with the most evidence first.
    std::vector<SpeedSum> takeSpeedSums(const UpstreamDirectory &directory);

    /// Adds what another host observed. Invalid sums are ignored.
    void applySpeedSums(HostId teller, std::span<const SpeedSum> sums, const UpstreamDirectory &directory, Time now);

    /// Number of batches of samples that were discarded because most of their responses were slow at once, or fast.
    std::uint64_t discardedBatches() const
    {
        return discardedBatches_;
    }

private:
    struct Sample {
        UpstreamIndex upstream = kNoUpstream;
        std::uint32_t route = 0;
        std::uint32_t microseconds = 0;
    };

    /// The samples of a service that are judged together.
    struct Batch {
        Time start;
        std::vector<Sample> samples;
    };

    /// Samples of a service that do not count yet.
    struct ServiceSamples {
        Batch open; ///< the batch that new samples are added to
        Batch pending; ///< the batch before, held until the next one shows whether a disturbance had begun
        Time lastDisturbedAt; ///< when its last disturbed batch was closed
        std::uint32_t disturbedInSequence = 0; ///< number of successive disturbed batches until now
    };

    /// Mean of a route's response times.
    struct RouteMean {
        double logSeconds = 0;
        double samples = 0; ///< number of samples so far
    };

    /// State of an upstream under its index in the directory.
    struct Observed {
        FlowToken token = 0; ///< whose state this is
        std::uint64_t startMs = 0; ///< which process of the upstream
        Duration sampleHalfLife{}; ///< in which the weight of samples of any host halves
        SpeedEvidence own;
        SpeedSum unreported; ///< for takeSpeedSums()
    };

    /// What another host observed.
    struct Teller {
        Time lastHeard;
        boost::unordered_flat_map<FlowToken, SpeedEvidence> upstreams;
    };

    struct Rating {
        std::string_view service;
        UpstreamIndex upstream = kNoUpstream;
        double slowness = 1;
    };

    void distribute(const UpstreamDirectory &directory, Time now);
    void closeBatch(ServiceSamples &service, const UpstreamDirectory &directory, Time now);
    bool canBeJudged(const Batch &batch) const;
    bool isDisturbed(const Batch &batch) const;
    void learnRouteMeans(const Batch &batch, double sampleWeight);
    void applySamples(const Batch &batch, const UpstreamDirectory &directory, Time now);
    double logRatioOf(const Sample &sample) const;
    bool isRouteKnown(std::uint32_t route) const;
    void forgetReplaced(const UpstreamDirectory &directory);
    void discardSamples(UpstreamIndex upstream);
    void expireTellers(Time now);
    std::vector<HostId> trustedTellers() const;
    double ownMedian() const;
    std::optional<double> estimate(const UpstreamRecord &record, UpstreamIndex index, std::span<const HostId> tellers, Time now);
    static void rateService(UpstreamDirectory &directory, std::span<Rating> ratings);

    std::vector<Sample> incoming_; ///< samples since the last sweep
    boost::unordered_flat_map<std::string, ServiceSamples> services_;
    Time ignoreBefore_; ///< requests that began earlier are not sampled
    Time lastDisturbedAt_; ///< when the last disturbed batch of any service was closed
    std::uint64_t discardedBatches_ = 0;
    std::vector<RouteMean> routes_; ///< by index of the route's usage record
    std::vector<Observed> observed_; ///< by upstream index
    boost::unordered_flat_map<HostId, Teller, std::hash<HostId>> tellers_;
};

} // namespace medlarway
