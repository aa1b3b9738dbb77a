#include "CrashSuspects.h"

#include <algorithm>

namespace Bergamotramp {

std::vector<std::pair<std::uint64_t, std::uint32_t>> CrashSuspects::crashed(std::vector<std::uint64_t> fingerprints, absl::Time now)
{
    // Two copies on one upstream are one crash.
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

bool CrashSuspects::merge(std::uint64_t fingerprint, std::uint32_t crashes, absl::Time now)
{
    if (fingerprint == 0) {
        return false;
    }
    if (crashes == 0) {
        return this->clear(fingerprint);
    }
    const Record *known = this->find(fingerprint, now);
    if (known != nullptr && known->crashes >= crashes) {
        return false;
    }
    this->store(fingerprint, crashes, now);
    return true;
}

bool CrashSuspects::clear(std::uint64_t fingerprint)
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end() || found->second.crashes >= crashesToConvict) {
        return false;
    }
    this->records.erase(found);
    return true;
}

bool CrashSuspects::suspect(std::uint64_t fingerprint, absl::Time now) const
{
    const Record *record = this->find(fingerprint, now);
    return record != nullptr && record->crashes < crashesToConvict;
}

// A crash says nothing about its cause: upstreams also die with their rack, or are restarted several times in a row. With
// two crashes to convict and the short pause only, two restarts within 0.6 s convicted an innocent batch item.
bool CrashSuspects::pauseOver(std::uint64_t fingerprint, absl::Time now) const
{
    const Record *record = this->find(fingerprint, now);
    return record == nullptr || now - record->lastCrash >= (record->crashes > 1 ? repeatedSuspectPause : suspectPause);
}

bool CrashSuspects::convicted(std::uint64_t fingerprint, absl::Time now) const
{
    const Record *record = this->find(fingerprint, now);
    return record != nullptr && record->crashes >= crashesToConvict;
}

std::size_t CrashSuspects::size() const
{
    return this->records.size();
}

std::vector<std::pair<std::uint64_t, std::uint32_t>> CrashSuspects::list() const
{
    std::vector<std::pair<std::uint64_t, std::uint32_t>> all;
    for (const auto &[fingerprint, record] : this->records) {
        all.emplace_back(fingerprint, record.crashes);
    }
    std::sort(all.begin(), all.end());
    return all;
}

const CrashSuspects::Record *CrashSuspects::find(std::uint64_t fingerprint, absl::Time now) const
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end()) {
        return nullptr;
    }
    const absl::Duration lifetime = found->second.crashes >= crashesToConvict ? convictionLifetime : suspectLifetime;
    return now - found->second.lastCrash < lifetime ? &found->second : nullptr;
}

void CrashSuspects::store(std::uint64_t fingerprint, std::uint32_t crashes, absl::Time now)
{
    if (!this->records.contains(fingerprint) && this->records.size() >= maxFingerprints) {
        this->makeRoom();
    }
    this->records[fingerprint] = Record{crashes, now};
}

void CrashSuspects::makeRoom()
{
    const auto first = std::min_element(this->records.begin(), this->records.end(), [](const auto &left, const auto &right) {
        const bool leftConvicted = left.second.crashes >= crashesToConvict;
        const bool rightConvicted = right.second.crashes >= crashesToConvict;
        return leftConvicted != rightConvicted ? !leftConvicted : left.second.lastCrash < right.second.lastCrash;
    });
    this->records.erase(first);
}

} // namespace Bergamotramp
