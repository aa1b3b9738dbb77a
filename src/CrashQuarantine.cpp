#include "CrashQuarantine.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

std::vector<std::pair<std::uint64_t, std::uint32_t>> CrashQuarantine::recordCrash(std::vector<std::uint64_t> fingerprints, absl::Time now)
{
    // Two copies on one upstream count as one crash.
    std::sort(fingerprints.begin(), fingerprints.end());
    fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
    std::vector<std::pair<std::uint64_t, std::uint32_t>> counts;
    for (const std::uint64_t fingerprint : fingerprints) {
        if (fingerprint == 0) {
            continue;
        }
        const Record *known = this->find(fingerprint, now);
        const std::uint32_t crashes = known == nullptr ? 1 : known->crashes + 1;
        this->store(fingerprint, crashes, now);
        counts.emplace_back(fingerprint, crashes);
    }
    return counts;
}

std::optional<std::uint32_t> CrashQuarantine::recordCrash(std::uint64_t fingerprint, std::string_view upstream, absl::Time started, absl::Time now)
{
    if (fingerprint == 0 || this->isHarmless(fingerprint, now)) {
        return std::nullopt;
    }
    const Record *known = this->find(fingerprint, now);
    if (known != nullptr && known->upstream == upstream && started <= known->lastCrash) {
        return std::nullopt;
    }
    const std::uint32_t crashes = known == nullptr ? 1 : known->crashes + 1;
    this->store(fingerprint, crashes, now);
    this->records[fingerprint].upstream = upstream;
    return crashes;
}

bool CrashQuarantine::recordCompletion(std::uint64_t fingerprint, absl::Time now)
{
    if (fingerprint == 0) {
        return false;
    }
    if (now >= this->completedSince + completionLifetime || this->completed.size() >= maxFingerprints / 2) {
        this->completedBefore = std::exchange(this->completed, {});
        if (now >= this->completedSince + 2 * completionLifetime) {
            this->completedBefore.clear();
        }
        this->completedSince = now;
    }
    this->completed.insert(fingerprint);
    return this->records.erase(fingerprint) > 0;
}

bool CrashQuarantine::isHarmless(std::uint64_t fingerprint, absl::Time now) const
{
    if (now >= this->completedSince + 2 * completionLifetime) {
        return false;
    }
    return this->completed.contains(fingerprint) || this->completedBefore.contains(fingerprint);
}

bool CrashQuarantine::merge(std::uint64_t fingerprint, std::uint32_t crashes, absl::Time now)
{
    if (fingerprint == 0) {
        return false;
    }
    if (crashes == 0) {
        return this->clear(fingerprint);
    }
    if (this->isHarmless(fingerprint, now)) {
        return false;
    }
    const Record *known = this->find(fingerprint, now);
    if (known != nullptr && known->crashes >= crashes) {
        return false;
    }
    this->store(fingerprint, crashes, now);
    return true;
}

bool CrashQuarantine::clear(std::uint64_t fingerprint)
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end() || found->second.crashes >= crashesToQuarantine) {
        return false;
    }
    this->records.erase(found);
    return true;
}

bool CrashQuarantine::isSuspect(std::uint64_t fingerprint, absl::Time now) const
{
    const Record *record = this->find(fingerprint, now);
    return record != nullptr && record->crashes < crashesToQuarantine;
}

// A quarantine of batch items would end accepted items as failed because of crashes that something else caused.
bool CrashQuarantine::mustRunAlone(std::uint64_t fingerprint, absl::Time now) const
{
    const Record *record = this->find(fingerprint, now);
    return record != nullptr && now - record->lastCrash < suspectLifetime;
}

// A crash does not show its cause: upstreams also fail with their rack, or are restarted several times in a row. With
// quarantine after two crashes and only the short delay, two restarts within 0.6 s quarantined a harmless batch item.
bool CrashQuarantine::mayRetry(std::uint64_t fingerprint, absl::Time now) const
{
    const Record *record = this->find(fingerprint, now);
    return record == nullptr || now - record->lastCrash >= (record->crashes > 1 ? repeatedSuspectRetryDelay : suspectRetryDelay);
}

bool CrashQuarantine::isQuarantined(std::uint64_t fingerprint, absl::Time now) const
{
    const Record *record = this->find(fingerprint, now);
    return record != nullptr && record->crashes >= crashesToQuarantine;
}

std::size_t CrashQuarantine::size() const
{
    return this->records.size();
}

std::size_t CrashQuarantine::completedCount() const
{
    return this->completed.size() + this->completedBefore.size();
}

std::vector<std::pair<std::uint64_t, std::uint32_t>> CrashQuarantine::list() const
{
    std::vector<std::pair<std::uint64_t, std::uint32_t>> all;
    for (const auto &[fingerprint, record] : this->records) {
        all.emplace_back(fingerprint, record.crashes);
    }
    std::sort(all.begin(), all.end());
    return all;
}

const CrashQuarantine::Record *CrashQuarantine::find(std::uint64_t fingerprint, absl::Time now) const
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end()) {
        return nullptr;
    }
    const absl::Duration lifetime = found->second.crashes >= crashesToQuarantine ? quarantineLifetime : suspectLifetime;
    return now - found->second.lastCrash < lifetime ? &found->second : nullptr;
}

void CrashQuarantine::store(std::uint64_t fingerprint, std::uint32_t crashes, absl::Time now)
{
    if (!this->records.contains(fingerprint) && this->records.size() >= maxFingerprints) {
        this->evictOldest();
    }
    this->records[fingerprint] = Record{crashes, now};
}

void CrashQuarantine::evictOldest()
{
    const auto oldest = std::min_element(this->records.begin(), this->records.end(), [](const auto &left, const auto &right) {
        const bool leftQuarantined = left.second.crashes >= crashesToQuarantine;
        const bool rightQuarantined = right.second.crashes >= crashesToQuarantine;
        return leftQuarantined != rightQuarantined ? !leftQuarantined : left.second.lastCrash < right.second.lastCrash;
    });
    this->records.erase(oldest);
}

} // namespace Bergamotramp
