#include "steering/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace medlarway
{

namespace
{

// Limit of the samples kept between two sweeps: a host handles a few hundred requests a second. Further ones would change no mean.
constexpr std::size_t kMaxIncoming = 1024;

// A batch is closed with this many samples: their quantile scatters by 1.3 x 0.5 / sqrt(8) = 0.23, a third of kDisturbedLogRatio.
constexpr std::size_t kBatchSamples = 8;

// A batch with fewer samples is closed after this time, so that a host with little traffic learns from them too.
constexpr Duration kMaxBatchTime = std::chrono::seconds{5};

// Samples needed to tell from a quantile whether most responses were slow.
constexpr std::size_t kMinSamplesForQuantile = 4;

// A batch was disturbed if all but this share of its responses are off by more than a factor of two.
constexpr double kReferenceShare = 0.4;
const double kDisturbedLogRatio = std::log(2.0);

// The route means follow a lasting change only after this many disturbed batches, so that a disturbance of seconds leaves no trace in them.
constexpr std::uint32_t kDisturbedBatchesToLearn = 3;

// Weight of a sample in a route's mean: the last 50 samples, or the last five after a lasting change. While a mean follows a change of all
// upstreams, the ones sampled first would seem slow.
constexpr double kRouteSampleWeight = 0.02;
constexpr double kChangedRouteSampleWeight = 0.2;

// Samples needed before a route's mean is compared with: it then scatters by 0.5 / sqrt(8) = 0.18.
constexpr double kMinRouteSamples = 8;

constexpr double kMedian = 0.5; // share of the values below the median

// Limits of a single sample: the log ratio of a response ten times slower or faster than the mean.
const double kMaxLogRatio = std::log(10.0);

// A response takes longer than four times the mean once in a thousand times if the logarithms scatter by 0.5.
constexpr double kOverdueRatio = 4;

constexpr double kMicrosecond = 1e-6; // in seconds

// Weight, in samples, of the assumption that an upstream is as fast as the others. A response of 2.7 times the mean, which one of 40 takes,
// raises the slowness of an upstream with three usual ones to 1.2; the first two of an upstream that is five times slower raise it to 2.9.
constexpr double kRatioPriorSamples = 1;

// Limits of the time in which the weight of a sample halves as later ones arrive. A host on its own in a large fleet has a sample of an
// upstream in two seconds or more and needs the longer time. With the observations of other hosts it is shortened in proportion to the
// samples beyond kMaxEvidence, so that a change is not outweighed by hundreds of earlier samples.
constexpr Duration kMaxSampleHalfLife = 2 * kSlownessHalfLife;
constexpr Duration kMinSampleHalfLife = std::chrono::seconds{1};

// Limit of one host's evidence on an upstream, so that a change shows within as many responses even if they are frequent.
constexpr double kMaxEvidence = 8;

// Without samples for this long an upstream counts as not observed: the distance to 1 has fallen to a sixty-fourth.
constexpr Duration kObservationLifetime = 6 * kSlownessHalfLife;

// From this slowness on an upstream counts as clearly slow. Estimates of equally fast upstreams scatter by about 0.15.
constexpr double kClearlySlow = 1.5;

// After a pause the socket holds the packets that arrived meanwhile; their times say nothing.
constexpr Duration kPauseSettling = std::chrono::milliseconds{500};

// A told sum with more samples of one upstream is not believed: no host sends that many requests to one between two messages.
constexpr std::uint32_t kMaxToldSamples = 10'000;

// Limit of the other hosts whose observations are kept.
constexpr std::size_t kMaxTellers = 64;

// Number of reporting hosts from which on one of them counts for at most a third of the evidence.
constexpr std::size_t kReportersForCap = 3;

// A reporting host is ignored if its own median is over twice that of the others: its own link or a pause is the cause.
const double kMaxTellerLogExcess = std::log(2.0);

double halvings(Duration age, Duration halfLife)
{
    return std::exp2(-std::max(0.0, static_cast<double>(age.count())) / static_cast<double>(halfLife.count()));
}

// The evidence as it weighs at a later time.
SpeedEvidence agedTo(SpeedEvidence evidence, Time when, Duration halfLife)
{
    const double factor = halvings(when - evidence.lastSample, halfLife);
    evidence.samples *= factor;
    evidence.logRatioSum *= factor;
    return evidence;
}

void addTo(SpeedEvidence &evidence, double samples, double logRatioSum, Time when, Duration halfLife)
{
    const auto last = std::max(evidence.lastSample, when);
    evidence = agedTo(evidence, last, halfLife);
    evidence.samples += samples;
    evidence.logRatioSum += logRatioSum;
    evidence.lastSample = last;
    if (evidence.samples > kMaxEvidence) {
        evidence.logRatioSum *= kMaxEvidence / evidence.samples;
        evidence.samples = kMaxEvidence;
    }
}

// The value that a share of the others is below. Values must not be empty.
double quantileOf(std::vector<double> values, double share)
{
    const auto found = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), found, values.end());
    return *found;
}

// Limits each reporter's samples so that none has more than a third of the sum: the two largest are lowered until the rest is as large as
// one of them.
void capReporters(std::vector<SpeedEvidence> &reporters)
{
    if (reporters.size() < kReportersForCap) {
        return;
    }
    std::sort(reporters.begin(), reporters.end(), [](const auto &a, const auto &b) { return a.samples > b.samples; });
    double rest = 0;
    for (auto reporter = reporters.begin() + 2; reporter != reporters.end(); ++reporter) {
        rest += reporter->samples;
    }
    const double second = reporters[1].samples;
    const double cap = rest < second ? rest : (second + rest) / 2;
    for (auto &reporter : std::span(reporters).first(2)) {
        if (reporter.samples > cap) {
            reporter.logRatioSum *= cap / reporter.samples;
            reporter.samples = cap;
        }
    }
}

bool isValid(const SpeedSum &sum)
{
    return sum.samples > 0 && sum.samples <= kMaxToldSamples && std::isfinite(sum.logRatioSum)
           && std::abs(sum.logRatioSum) <= (kMaxLogRatio + 0.01) * sum.samples;
}

} // namespace

UpstreamSpeeds::UpstreamSpeeds()
{
    incoming_.reserve(kMaxIncoming); // addResponse() must not allocate
}

void UpstreamSpeeds::addResponse(UpstreamIndex upstream, std::uint32_t route, Duration elapsed, Time now)
{
    if (now - elapsed < ignoreBefore_ || incoming_.size() == kMaxIncoming) {
        return;
    }
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count();
    incoming_.push_back({upstream, route, static_cast<std::uint32_t>(std::max<std::int64_t>(1, microseconds))});
}

bool UpstreamSpeeds::isRouteKnown(std::uint32_t route) const
{
    return route < routes_.size() && routes_[route].samples >= kMinRouteSamples;
}

bool UpstreamSpeeds::isOverdue(std::uint32_t route, Duration elapsed) const
{
    return isRouteKnown(route) && std::chrono::duration<double>(elapsed).count() > kOverdueRatio * std::exp(routes_[route].logSeconds);
}

void UpstreamSpeeds::onPause(Time now)
{
    ignoreBefore_ = now + kPauseSettling;
    incoming_.clear();
    services_.clear();
}

void UpstreamSpeeds::sweep(UpstreamDirectory &directory, Time now)
{
    forgetReplaced(directory);
    expireTellers(now);
    distribute(directory, now);
    for (auto &[name, service] : services_) {
        if (service.open.samples.size() >= kBatchSamples || now - service.open.start >= kMaxBatchTime) {
            closeBatch(service, directory, now);
        }
    }
    boost::unordered::erase_if(services_,
                               [](const auto &item) { return item.second.open.samples.empty() && item.second.pending.samples.empty(); });
    const auto tellers = trustedTellers();
    std::vector<Rating> ratings;
    for (UpstreamIndex index = 0; index < directory.all().size(); ++index) {
        auto &record = directory.at(index);
        record.slowness = 1;
        if (record.entry.id.empty() || record.presence != Presence::Listed) {
            continue;
        }
        if (const auto slowness = estimate(record, index, tellers, now)) {
            ratings.push_back({record.entry.service, index, *slowness});
        }
    }
    std::sort(ratings.begin(), ratings.end(),
              [](const auto &a, const auto &b) { return a.service != b.service ? a.service < b.service : a.slowness > b.slowness; });
    for (std::size_t first = 0; first < ratings.size();) {
        auto end = first;
        while (end < ratings.size() && ratings[end].service == ratings[first].service) {
            ++end;
        }
        rateService(directory, std::span(ratings).subspan(first, end - first));
        first = end;
    }
}

// An index may belong to another upstream by now, or the upstream may have restarted.
void UpstreamSpeeds::forgetReplaced(const UpstreamDirectory &directory)
{
    observed_.resize(directory.all().size());
    for (UpstreamIndex index = 0; index < observed_.size(); ++index) {
        const auto &record = directory.at(index);
        if (observed_[index].token != record.token || observed_[index].startMs != record.entry.startMs) {
            if (observed_[index].token != 0) {
                discardSamples(index);
            }
            observed_[index] = Observed{record.token, record.entry.startMs, kMaxSampleHalfLife, {}, {}};
        }
    }
}

void UpstreamSpeeds::discardSamples(UpstreamIndex upstream)
{
    const auto isOfUpstream = [upstream](const Sample &sample) { return sample.upstream == upstream; };
    std::erase_if(incoming_, isOfUpstream);
    for (auto &[name, service] : services_) {
        std::erase_if(service.open.samples, isOfUpstream);
        std::erase_if(service.pending.samples, isOfUpstream);
    }
}

void UpstreamSpeeds::distribute(const UpstreamDirectory &directory, Time now)
{
    for (const auto &sample : incoming_) {
        const auto &record = directory.at(sample.upstream);
        // An upstream that warms up is slow for the moment, which placement knows without samples.
        if (record.entry.id.empty() || now < record.warmUntil) {
            continue;
        }
        const auto [service, isNew] = services_.try_emplace(record.entry.service);
        auto &open = service->second.open;
        open.start = isNew ? now : open.start;
        open.samples.push_back(sample);
    }
    incoming_.clear();
}

// A slow link or a slow service makes most responses slow at once, which says nothing about single upstreams. It may begin or end within a
// batch, so a batch counts only if the ones before and after it are undisturbed too. One with too few samples to be judged counts only if
// those of all services are undisturbed, as the link may be slow. The others are judged by their own service: one with requests of two
// kinds, short and long, is often disturbed and would hide the slow upstreams of all others.
void UpstreamSpeeds::closeBatch(ServiceSamples &service, const UpstreamDirectory &directory, Time now)
{
    const bool disturbed = isDisturbed(service.open);
    service.disturbedInSequence = disturbed ? service.disturbedInSequence + 1 : 0;
    if (disturbed) {
        service.lastDisturbedAt = now;
        lastDisturbedAt_ = now;
    }
    const auto lastDisturbedAt = canBeJudged(service.pending) ? service.lastDisturbedAt : lastDisturbedAt_;
    if (lastDisturbedAt == Time{} || lastDisturbedAt < service.pending.start) {
        applySamples(service.pending, directory, now);
    } else if (!service.pending.samples.empty()) {
        ++discardedBatches_;
    }
    if (!disturbed) {
        learnRouteMeans(service.open, kRouteSampleWeight);
    } else if (service.disturbedInSequence > kDisturbedBatchesToLearn) {
        learnRouteMeans(service.open, kChangedRouteSampleWeight);
    }
    std::swap(service.pending, service.open);
    service.open.samples.clear();
    service.open.start = now;
}

double UpstreamSpeeds::logRatioOf(const Sample &sample) const
{
    return std::clamp(std::log(sample.microseconds * kMicrosecond) - routes_[sample.route].logSeconds, -kMaxLogRatio, kMaxLogRatio);
}

bool UpstreamSpeeds::canBeJudged(const Batch &batch) const
{
    const auto known
        = std::count_if(batch.samples.begin(), batch.samples.end(), [this](const Sample &sample) { return isRouteKnown(sample.route); });
    return static_cast<std::size_t>(known) >= kMinSamplesForQuantile;
}

bool UpstreamSpeeds::isDisturbed(const Batch &batch) const
{
    if (!canBeJudged(batch)) {
        return false;
    }
    std::vector<double> ratios;
    for (const auto &sample : batch.samples) {
        if (isRouteKnown(sample.route)) {
            ratios.push_back(logRatioOf(sample));
        }
    }
    return quantileOf(ratios, kReferenceShare) > kDisturbedLogRatio || quantileOf(ratios, 1 - kReferenceShare) < -kDisturbedLogRatio;
}

// A single sample counts as at most a factor of e, so that a few slow upstreams hardly raise the mean.
void UpstreamSpeeds::learnRouteMeans(const Batch &batch, double sampleWeight)
{
    for (const auto &sample : batch.samples) {
        if (sample.route >= routes_.size()) {
            routes_.resize(sample.route + 1);
        }
        auto &route = routes_[sample.route];
        const bool known = isRouteKnown(sample.route);
        const double difference = route.samples == 0 ? std::log(sample.microseconds * kMicrosecond) : logRatioOf(sample);
        const double weight = std::max(sampleWeight, 1 / (route.samples + 1));
        route.logSeconds += weight * (known ? std::clamp(difference, -1.0, 1.0) : difference);
        ++route.samples;
    }
}

void UpstreamSpeeds::applySamples(const Batch &batch, const UpstreamDirectory &directory, Time now)
{
    for (const auto &sample : batch.samples) {
        auto &observed = observed_[sample.upstream];
        if (!isRouteKnown(sample.route) || directory.at(sample.upstream).entry.id.empty()) {
            continue;
        }
        const double logRatio = logRatioOf(sample);
        addTo(observed.own, 1, logRatio, now, observed.sampleHalfLife);
        ++observed.unreported.samples;
        observed.unreported.logRatioSum += static_cast<float>(logRatio);
    }
}

// The estimated slowness against the route means; nullopt if the upstream was not observed recently.
std::optional<double> UpstreamSpeeds::estimate(const UpstreamRecord &record, UpstreamIndex index, std::span<const HostId> tellers, Time now)
{
    auto &observed = observed_[index];
    std::vector<SpeedEvidence> reporters;
    Time last;
    const auto add = [&](const SpeedEvidence &evidence) {
        if (evidence.samples > 0) {
            reporters.push_back(evidence);
            last = std::max(last, evidence.lastSample);
        }
    };
    add(observed.own);
    for (const auto teller : tellers) {
        const auto &upstreams = tellers_.at(teller).upstreams;
        if (const auto found = upstreams.find(record.token); found != upstreams.end()) {
            add(found->second);
        }
    }
    if (reporters.empty() || now - last > kObservationLifetime) {
        return std::nullopt;
    }
    for (auto &reporter : reporters) {
        reporter = agedTo(reporter, last, observed.sampleHalfLife);
    }
    capReporters(reporters);
    double samples = kRatioPriorSamples;
    double logRatioSum = 0;
    for (const auto &reporter : reporters) {
        samples += reporter.samples;
        logRatioSum += reporter.logRatioSum;
    }
    const double share = std::min(1.0, kMaxEvidence / samples);
    observed.sampleHalfLife = std::max(kMinSampleHalfLife, std::chrono::duration_cast<Duration>(kMaxSampleHalfLife * share));
    return 1 + (std::exp(logRatioSum / samples) - 1) * halvings(now - last, kSlownessHalfLife);
}

// Ratings are sorted by slowness, the slowest first. They are compared with a quantile below the median, as a host observes mainly its own
// zone, where half of the upstreams may be slow although few of the service are.
void UpstreamSpeeds::rateService(UpstreamDirectory &directory, std::span<Rating> ratings)
{
    const auto count = ratings.size();
    const double reference = ratings[count - 1 - static_cast<std::size_t>(kReferenceShare * static_cast<double>(count - 1))].slowness;
    double slots = 0;
    for (const auto index : directory.listedUpstreams(std::string(ratings.front().service))) {
        slots += directory.at(index).entry.slots;
    }
    double clearlySlowSlots = 0;
    for (auto &rating : ratings) {
        rating.slowness = std::clamp(rating.slowness / reference, 1.0, kMaxSlowness);
        clearlySlowSlots += rating.slowness >= kClearlySlow ? directory.at(rating.upstream).entry.slots : 0;
    }
    double slowSlots = 0;
    for (const auto &rating : ratings) {
        auto &record = directory.at(rating.upstream);
        slowSlots += record.entry.slots;
        if (clearlySlowSlots <= kMaxSlowShare * slots && slowSlots <= kMaxSlowShare * slots) {
            record.slowness = rating.slowness;
        }
    }
}

std::vector<SpeedSum> UpstreamSpeeds::takeSpeedSums(const UpstreamDirectory &directory)
{
    std::vector<SpeedSum> sums;
    for (UpstreamIndex index = 0; index < observed_.size(); ++index) {
        auto &observed = observed_[index];
        // Sums of an upstream that shares its token would be taken for those of another one.
        const bool isCurrent = index < directory.all().size() && directory.at(index).token == observed.token;
        if (observed.unreported.samples > 0 && isCurrent && directory.findByToken(observed.token) == index) {
            observed.unreported.upstream = observed.token;
            sums.push_back(observed.unreported);
        }
        observed.unreported = SpeedSum{};
    }
    std::sort(sums.begin(), sums.end(), [](const auto &a, const auto &b) { return std::abs(a.logRatioSum) > std::abs(b.logRatioSum); });
    sums.resize(std::min(sums.size(), kMaxSpeedSums));
    return sums;
}

void UpstreamSpeeds::applySpeedSums(HostId teller, std::span<const SpeedSum> sums, const UpstreamDirectory &directory, Time now)
{
    if (sums.size() > kMaxSpeedSums || (!tellers_.contains(teller) && tellers_.size() == kMaxTellers)) {
        return;
    }
    auto &state = tellers_[teller];
    state.lastHeard = now;
    for (const auto &sum : sums) {
        const auto index = directory.findByToken(sum.upstream);
        if (isValid(sum) && index < observed_.size()) {
            addTo(state.upstreams[sum.upstream], sum.samples, sum.logRatioSum, now, observed_[index].sampleHalfLife);
        }
    }
}

void UpstreamSpeeds::expireTellers(Time now)
{
    boost::unordered::erase_if(tellers_, [now](const auto &item) { return now - item.second.lastHeard > kObservationLifetime; });
    for (auto &[host, teller] : tellers_) {
        boost::unordered::erase_if(teller.upstreams,
                                   [now](const auto &item) { return now - item.second.lastSample > kObservationLifetime; });
    }
}

// The median of this host's observations; 0 without any.
double UpstreamSpeeds::ownMedian() const
{
    std::vector<double> means;
    for (const auto &observed : observed_) {
        if (observed.own.samples > 0) {
            means.push_back(observed.own.logRatioSum / observed.own.samples);
        }
    }
    return means.empty() ? 0 : quantileOf(std::move(means), kMedian);
}

std::vector<HostId> UpstreamSpeeds::trustedTellers() const
{
    std::vector<std::pair<HostId, double>> medians;
    std::vector<double> all{ownMedian()};
    for (const auto &[host, teller] : tellers_) {
        std::vector<double> means;
        for (const auto &[token, evidence] : teller.upstreams) {
            means.push_back(evidence.logRatioSum / evidence.samples);
        }
        if (means.size() < kMinSamplesForQuantile) {
            medians.emplace_back(host, 0);
        } else {
            medians.emplace_back(host, quantileOf(std::move(means), kMedian));
            all.push_back(medians.back().second);
        }
    }
    const double common = quantileOf(std::move(all), kMedian);
    std::vector<HostId> trusted;
    for (const auto &[host, median] : medians) {
        if (median - common <= kMaxTellerLogExcess) {
            trusted.push_back(host);
        }
    }
    return trusted;
}

} // namespace medlarway
