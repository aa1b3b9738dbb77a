#include "HedgePlanner.h"

#include <algorithm>
#include <bit>

namespace Bergamotramp {

namespace {

// Upstreams on older hardware are slower by about this much at least.
constexpr double slowerScore = 1.3;
// LatencyScore ejects an upstream at the same score.
constexpr double degradedScore = 2.5;
// Prompts of one class differ by up to a factor of four in size.
constexpr int bitsPerPromptStep = 2;

LatencyClass classOf(const HedgeSubject &subject, UpstreamSpeed speed)
{
    return {.route = subject.route, .promptStep = static_cast<int>(std::bit_width(subject.promptTokens)) / bitsPerPromptStep, .speed = speed};
}

/** A degraded upstream is compared with ordinary ones, because it is to be hedged. */
UpstreamSpeed speedOf(double score)
{
    return score >= slowerScore && score < degradedScore ? UpstreamSpeed::Slower : UpstreamSpeed::Ordinary;
}

} // namespace

HedgePlanner::HedgePlanner(const HedgeLimits &limits) : limits(limits)
{
}

HedgePlanner::Service &HedgePlanner::serviceOf(const std::string &name)
{
    std::unique_ptr<Service> &service = this->services[name];
    if (!service) {
        service = std::make_unique<Service>(
            Service{.policy = HedgePolicy(this->limits.percentile, RetryBudget::overWindow(this->limits.share)), .speeds = {}, .upstreams = {}});
    }
    return *service;
}

void HedgePlanner::onRequest(const std::string &service, absl::Time now)
{
    this->serviceOf(service).policy.onRequest(now);
}

void HedgePlanner::recordRetry(const std::string &service, absl::Time now)
{
    this->serviceOf(service).policy.recordRetry(now);
}

void HedgePlanner::recordAnswer(const HedgeSubject &subject, const std::string &upstream, absl::Duration latency, absl::Time now)
{
    Service &service = this->serviceOf(subject.service);
    if (const auto relative = relativeLatency(service, subject, latency)) {
        addUpstream(service, upstream);
        service.speeds.record(upstream, absl::Seconds(*relative), absl::ZeroDuration(), now);
    }
    recordInClass(service, subject, upstream, latency, now);
}

// Without these samples, the percentile would be that of the answers that were not hedged, and fall with each hedge.
void HedgePlanner::recordLost(const HedgeSubject &subject, const std::string &upstream, absl::Duration waited, absl::Time now)
{
    Service &service = this->serviceOf(subject.service);
    if (const auto relative = relativeLatency(service, subject, waited)) {
        addUpstream(service, upstream);
        service.speeds.recordCancelled(upstream, absl::Seconds(*relative), absl::ZeroDuration(), now);
    }
    recordInClass(service, subject, upstream, waited, now);
}

// With the answers of a degraded upstream, the percentile would become its latency, and none of its requests would be hedged.
void HedgePlanner::recordInClass(Service &service, const HedgeSubject &subject, const std::string &upstream, absl::Duration latency, absl::Time now)
{
    const double score = service.speeds.score(upstream, now);
    if (score < degradedScore) {
        service.policy.recordFirstToken(latency, classOf(subject, speedOf(score)));
    }
}

std::optional<double> HedgePlanner::relativeLatency(const Service &service, const HedgeSubject &subject, absl::Duration latency)
{
    const auto median = service.policy.medianFirstToken(classOf(subject, UpstreamSpeed::Ordinary));
    return median ? std::optional<double>(absl::FDivDuration(latency, *median)) : std::nullopt;
}

void HedgePlanner::addUpstream(Service &service, const std::string &upstream)
{
    if (std::ranges::find(service.upstreams, upstream) != service.upstreams.end()) {
        return;
    }
    if (service.upstreams.size() >= maxUpstreams) {
        service.upstreams.clear();
    }
    service.upstreams.push_back(upstream);
    service.speeds.setUpstreams(service.upstreams);
}

// The class of an upstream that has just become slower, or that gets few requests, has too few answers yet.
LatencyClass HedgePlanner::measuredClass(const Service &service, const HedgeSubject &subject, double score)
{
    const LatencyClass own = classOf(subject, speedOf(score));
    return service.policy.delay(own) ? own : classOf(subject, UpstreamSpeed::Ordinary);
}

std::optional<absl::Duration> HedgePlanner::delay(const HedgeSubject &subject, const std::string &upstream, absl::Time now) const
{
    const auto found = this->services.find(subject.service);
    if (found == this->services.end()) {
        return std::nullopt;
    }
    const Service &service = *found->second;
    const double score = service.speeds.score(upstream, now);
    const LatencyClass latencyClass = measuredClass(service, subject, score);
    const auto delay = service.policy.delay(latencyClass);
    return delay && latencyClass.speed != speedOf(score) ? *delay * score : delay;
}

bool HedgePlanner::tryHedge(const HedgeSubject &subject, const std::string &upstream, absl::Duration waited, absl::Time now, absl::Time deadline)
{
    const auto delay = this->delay(subject, upstream, now);
    if (!delay || waited < *delay) {
        return false;
    }
    Service &service = this->serviceOf(subject.service);
    return service.policy.tryHedge(true, waited, now, deadline, measuredClass(service, subject, service.speeds.score(upstream, now)));
}

} // namespace Bergamotramp
