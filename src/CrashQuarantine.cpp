#include "CrashQuarantine.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

std::optional<std::uint32_t> CrashQuarantine::recordCrash(std::uint64_t fingerprint, std::string_view upstream, absl::Time started, absl::Time now)
{
    if (fingerprint == 0 || this->isHarmless(fingerprint, now)) {
        return std::nullopt;
    }
    if (const Record *known = this->find(fingerprint, now)) {
        const auto crashed = known->upstreams.find(upstream);
        if (crashed != known->upstreams.end() && started <= crashed->second.lastCrash) {
            return std::nullopt;
        }
    }
    Record &record = this->findOrCreate(fingerprint, now);
    record.lastCrash = now;
    UpstreamRecord &crashed = record.upstreams[std::string(upstream)];
    ++crashed.crashes;
    crashed.lastCrash = now;
    return ++record.crashes;
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
    Record &record = this->findOrCreate(fingerprint, now);
    record.crashes = crashes;
    record.lastCrash = now;
    return true;
}

// Each host counts the crashes that its own requests see. The number of an upstream's crash identifies it: hosts that count the same crash
// give it the same number, and the maximum by upstream is the union of what they saw. With only the maximum of the totals, two hosts that
// each counted one crash of different upstreams had one crash together, and a crashing request crashed a fourth upstream.
bool CrashQuarantine::merge(const CrashCount &count, absl::Time now)
{
    if (count.crashes == 0 || count.fingerprint == 0 || this->isHarmless(count.fingerprint, now)) {
        return this->merge(count.fingerprint, count.crashes, now);
    }
    bool changed = false;
    for (const UpstreamCrashes &announced : count.upstreams) {
        Record &record = this->findOrCreate(count.fingerprint, now);
        UpstreamRecord &known = record.upstreams[announced.upstream];
        if (announced.crashes > known.crashes) {
            record.crashes += announced.crashes - known.crashes;
            record.lastCrash = now;
            known = {announced.crashes, now};
            changed = true;
        }
    }
    return this->merge(count.fingerprint, count.crashes, now) || changed;
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

CrashCount CrashQuarantine::count(std::uint64_t fingerprint) const
{
    const auto found = this->records.find(fingerprint);
    return found == this->records.end() ? CrashCount{fingerprint} : countOf(fingerprint, found->second);
}

std::vector<CrashCount> CrashQuarantine::list() const
{
    std::vector<CrashCount> all;
    for (const auto &[fingerprint, record] : this->records) {
        all.push_back(countOf(fingerprint, record));
    }
    std::ranges::sort(all, {}, &CrashCount::fingerprint);
    return all;
}

CrashCount CrashQuarantine::countOf(std::uint64_t fingerprint, const Record &record)
{
    CrashCount count{fingerprint, record.crashes};
    for (const auto &[upstream, crashed] : record.upstreams) {
        count.upstreams.push_back({upstream, crashed.crashes});
    }
    return count;
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

CrashQuarantine::Record &CrashQuarantine::findOrCreate(std::uint64_t fingerprint, absl::Time now)
{
    if (this->find(fingerprint, now) == nullptr) {
        this->records.erase(fingerprint);
        if (this->records.size() >= maxFingerprints) {
            this->evictOldest();
        }
    }
    return this->records[fingerprint];
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
