#include "PeerMessages.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Bergamotramp {

namespace {

constexpr double thousandths = 1000.0;
// Higher limits are sent as this one, in requests per second.
constexpr double maxSentLimit = 1e9;

std::uint32_t toMilliseconds(absl::Duration duration)
{
    const std::int64_t limit = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(absl::ToInt64Milliseconds(duration), 0, limit));
}

} // namespace

void encodePart(const PartReport &report, absl::Time now, peer::PromptPart &entry)
{
    entry.set_part(report.part);
    for (const PartCrash &crash : report.crashes) {
        peer::PromptPartCrash *encoded = entry.add_crashes();
        encoded->set_upstream_start(crash.upstreamStart);
        encoded->set_lost_ms(toMilliseconds(now - crash.lost));
        encoded->set_ran_ms(toMilliseconds(crash.lost - crash.sent));
    }
    if (report.clearedAt > absl::InfinitePast()) {
        entry.set_cleared_ms(toMilliseconds(now - report.clearedAt));
    }
    if (report.trialAt > absl::InfinitePast()) {
        entry.set_trial_ms(toMilliseconds(now - report.trialAt));
    }
    entry.set_requested_ms(toMilliseconds(now - report.requestedAt));
}

PartReport decodePart(const peer::PromptPart &entry, absl::Time now)
{
    PartReport report;
    report.part = entry.part();
    for (const peer::PromptPartCrash &crash : entry.crashes()) {
        const absl::Time lost = now - absl::Milliseconds(crash.lost_ms());
        report.crashes.push_back({.lost = lost, .sent = lost - absl::Milliseconds(crash.ran_ms()), .upstreamStart = crash.upstream_start()});
    }
    if (entry.has_cleared_ms()) {
        report.clearedAt = now - absl::Milliseconds(entry.cleared_ms());
    }
    if (entry.has_trial_ms()) {
        report.trialAt = now - absl::Milliseconds(entry.trial_ms());
    }
    report.requestedAt = now - absl::Milliseconds(entry.requested_ms());
    return report;
}

void encodeCrashCount(const CrashCount &count, peer::CrashCount &message)
{
    message.set_fingerprint(count.fingerprint);
    message.set_crashes(count.crashes);
    for (const UpstreamCrashes &upstream : count.upstreams) {
        peer::CrashedUpstream *entry = message.add_upstreams();
        entry->set_upstream(upstream.upstream);
        entry->set_crashes(upstream.crashes);
    }
}

CrashCount decodeCrashCount(const peer::CrashCount &message)
{
    CrashCount count{.fingerprint = message.fingerprint(), .crashes = message.crashes()};
    for (const peer::CrashedUpstream &upstream : message.upstreams()) {
        count.upstreams.push_back({.upstream = upstream.upstream(), .crashes = upstream.crashes()});
    }
    return count;
}

void encodeLimit(const LimitReport &report, absl::Time now, peer::UpstreamLimit &entry)
{
    entry.set_run(report.run);
    if (report.requestsPerSecond) {
        entry.set_requests_per_1000_s(static_cast<std::uint64_t>(std::llround(std::min(*report.requestsPerSecond, maxSentLimit) * thousandths)));
    }
    entry.set_observed_ms(toMilliseconds(now - report.observed));
}

LimitReport decodeLimit(const peer::UpstreamLimit &entry, absl::Time now)
{
    LimitReport report{.run = entry.run(), .requestsPerSecond = std::nullopt, .observed = now - absl::Milliseconds(entry.observed_ms())};
    if (entry.has_requests_per_1000_s()) {
        report.requestsPerSecond = std::min(static_cast<double>(entry.requests_per_1000_s()) / thousandths, maxSentLimit);
    }
    return report;
}

} // namespace Bergamotramp
