#include "RateLimit.h"

#include <algorithm>

namespace Bergamotramp {

RateLimit::RateLimit(double requestsPerSecond, double burst) : rate(requestsPerSecond), burst(burst)
{
}

bool RateLimit::tryAcquire(std::string_view organisation, absl::Time now)
{
    Bucket &bucket = this->bucketOf(organisation, now);
    if (bucket.tokens < 1.0) {
        return false;
    }
    bucket.tokens -= 1.0;
    ++bucket.localUse;
    return true;
}

absl::Duration RateLimit::retryAfter(std::string_view organisation, absl::Time now) const
{
    const auto found = this->buckets.find(organisation);
    const double missing = found == this->buckets.end() ? 0.0 : 1.0 - this->tokensAt(found->second, now);
    return missing <= 0.0 ? absl::ZeroDuration() : absl::Seconds(missing / this->rate);
}

std::map<std::string, std::uint64_t> RateLimit::takeLocalUse()
{
    std::map<std::string, std::uint64_t> use;
    for (auto &[organisation, bucket] : this->buckets) {
        if (bucket.localUse > 0) {
            use.emplace(organisation, bucket.localUse);
            bucket.localUse = 0;
        }
    }
    return use;
}

void RateLimit::addRemoteUse(std::string_view organisation, std::uint64_t requests, absl::Time now)
{
    Bucket &bucket = this->bucketOf(organisation, now);
    // The debt is limited to one burst, so that a late report does not block an organisation for long.
    bucket.tokens = std::max(-this->burst, bucket.tokens - static_cast<double>(requests));
}

double RateLimit::tokensAt(const Bucket &bucket, absl::Time now) const
{
    return std::min(this->burst, bucket.tokens + this->rate * std::max(0.0, absl::ToDoubleSeconds(now - bucket.refilled)));
}

RateLimit::Bucket &RateLimit::bucketOf(std::string_view organisation, absl::Time now)
{
    const auto found = this->buckets.find(organisation);
    if (found != this->buckets.end()) {
        found->second.tokens = this->tokensAt(found->second, now);
        found->second.refilled = std::max(found->second.refilled, now);
        return found->second;
    }
    if (this->buckets.size() >= maxOrganisations) {
        this->forgetFullest(now);
    }
    return this->buckets.emplace(organisation, Bucket{this->burst, now, 0}).first->second;
}

void RateLimit::forgetFullest(absl::Time now)
{
    const auto fullest = std::max_element(this->buckets.begin(), this->buckets.end(), [this, now](const auto &left, const auto &right) {
        return this->tokensAt(left.second, now) < this->tokensAt(right.second, now);
    });
    this->buckets.erase(fullest);
}

} // namespace Bergamotramp
