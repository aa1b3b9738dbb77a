#include "PromptPartQuarantine.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace Bergamotramp {

namespace {

// Time from the newest crash or trial to the next trial, by the number of trials made. Each trial of a part that really crashes upstreams
// costs one of them.
constexpr std::array trialDelays{absl::Seconds(10), absl::Minutes(1), absl::Minutes(5), absl::Minutes(10), absl::Minutes(20), absl::Minutes(30)};
// Reports of one trial differ by less than this, and two trials are further apart.
constexpr absl::Duration minTrialDistance = absl::Seconds(5);
// Within this time the requests of the host show whether a part also comes with fewer quarantined parts beside it.
constexpr absl::Duration fewestTogetherPeriod = absl::Minutes(1);

} // namespace

bool PartCrash::operator<(const PartCrash &other) const
{
    return std::tie(this->lost, this->sent, this->upstreamStart) < std::tie(other.lost, other.sent, other.upstreamStart);
}

PartChange PromptPartQuarantine::recordCrash(std::uint64_t part, const PartCrash &crash, absl::Time now)
{
    return this->merge({.part = part, .crashes = {crash}, .requestedAt = now}, now);
}

PartChange PromptPartQuarantine::recordAnswer(std::uint64_t part, absl::Time now)
{
    // The answer also raises the threshold of the part, so what counted before it is looked up first.
    const std::size_t before = this->crashes(part, now);
    const bool quarantined = this->isQuarantined(part, now);
    this->addProven(part, now);
    const auto found = this->records.find(part);
    if (found == this->records.end() || newestCrash(found->second) <= found->second.clearedAt) {
        return PartChange::None;
    }
    found->second.clearedAt = std::max(found->second.clearedAt, now);
    found->second.ownClearedAt = now;
    return this->changeSince(before, quarantined, part, now);
}

PartChange PromptPartQuarantine::merge(const PartReport &report, absl::Time now)
{
    if (now - report.requestedAt >= quarantineLifetime && report.clearedAt == absl::InfinitePast()) {
        return PartChange::None;
    }
    const std::size_t before = this->crashes(report.part, now);
    const bool quarantined = this->isQuarantined(report.part, now);
    Record &record = this->recordOf(report.part, now);
    for (const PartCrash &crash : report.crashes) {
        insert(record, crash);
    }
    record.clearedAt = std::max(record.clearedAt, report.clearedAt);
    recordTrial(record, report.trialAt);
    record.requestedAt = std::max(record.requestedAt, report.requestedAt);
    return this->changeSince(before, quarantined, report.part, now);
}

PartChange PromptPartQuarantine::changeSince(std::size_t countBefore, bool quarantinedBefore, std::uint64_t part, absl::Time now) const
{
    const bool quarantined = this->isQuarantined(part, now);
    const std::size_t after = this->crashes(part, now);
    if (quarantined != quarantinedBefore) {
        return quarantined ? PartChange::Quarantined : PartChange::Lifted;
    }
    if (after == countBefore) {
        return PartChange::None;
    }
    return after > countBefore ? PartChange::Charged : PartChange::Cleared;
}

PartAdmission PromptPartQuarantine::admit(const std::vector<std::uint64_t> &parts,
                                          bool mayBeTrial,
                                          const std::function<absl::Duration(std::uint64_t)> &trialDelay,
                                          absl::Time now)
{
    PartAdmission admission;
    std::ranges::copy_if(parts, std::back_inserter(admission.quarantined), [this, now](std::uint64_t part) { return this->isQuarantined(part, now); });
    std::sort(admission.quarantined.begin(), admission.quarantined.end());
    admission.quarantined.erase(std::unique(admission.quarantined.begin(), admission.quarantined.end()), admission.quarantined.end());
    if (admission.quarantined.empty()) {
        return admission;
    }
    const std::size_t together = admission.quarantined.size();
    absl::Time due = absl::InfinitePast();
    bool fewest = true;
    for (const std::uint64_t part : admission.quarantined) {
        Record &record = this->records[part];
        noteRefusal(record, together, now);
        due = std::max(due, nextTrial(record));
        fewest = fewest && together <= record.fewestTogether;
    }
    // A request with a deadly part beside wrongly suspected ones would fail the trial of all, so the requests with the fewest
    // quarantined parts go first.
    if (mayBeTrial && fewest && now >= due + trialDelay(admission.quarantined.front())) {
        for (const std::uint64_t part : admission.quarantined) {
            Record &record = this->records[part];
            recordTrial(record, now);
            record.ownTrialAt = now;
        }
        admission.verdict = PartVerdict::Trial;
        return admission;
    }
    admission.verdict = PartVerdict::Refused;
    admission.retryAfter = std::max(minRetryAfter, due - now);
    return admission;
}

void PromptPartQuarantine::noteRefusal(Record &record, std::size_t together, absl::Time now)
{
    record.requestedAt = std::max(record.requestedAt, now);
    if (now - record.fewestSince >= fewestTogetherPeriod) {
        record.fewestTogether = together;
        record.fewestSince = now;
    }
    record.fewestTogether = std::min(record.fewestTogether, together);
}

std::size_t PromptPartQuarantine::crashes(std::uint64_t part, absl::Time now) const
{
    const auto found = this->records.find(part);
    return found == this->records.end() ? 0 : this->count(part, found->second, now);
}

bool PromptPartQuarantine::isQuarantined(std::uint64_t part, absl::Time now) const
{
    const auto found = this->records.find(part);
    return found != this->records.end() && this->count(part, found->second, now) >= this->threshold(part, now);
}

bool PromptPartQuarantine::isSuspect(std::uint64_t part, absl::Time now) const
{
    return !this->isProven(part, now) && this->crashes(part, now) > 0;
}

std::optional<PartReport> PromptPartQuarantine::report(std::uint64_t part) const
{
    const auto found = this->records.find(part);
    if (found == this->records.end()) {
        return std::nullopt;
    }
    // Hosts compute times from ages, which adds the delay of a datagram. Only the host's own times are reported, so that a time does not
    // grow with each host that passes it on; the time of a crash is the smallest one that any host has computed.
    const Record &record = found->second;
    std::vector<PartCrash> uncleared;
    std::ranges::copy_if(record.crashes, std::back_inserter(uncleared), [&record](const PartCrash &crash) { return crash.lost > record.clearedAt; });
    return PartReport{
        .part = part, .crashes = std::move(uncleared), .clearedAt = record.ownClearedAt, .trialAt = record.ownTrialAt, .requestedAt = record.requestedAt};
}

std::vector<std::uint64_t> PromptPartQuarantine::quarantinedParts(std::size_t maximum, absl::Time now) const
{
    std::vector<std::pair<absl::Time, std::uint64_t>> all;
    for (const auto &[part, record] : this->records) {
        if (this->count(part, record, now) >= this->threshold(part, now)) {
            all.emplace_back(record.requestedAt, part);
        }
    }
    std::sort(all.rbegin(), all.rend());
    all.resize(std::min(all.size(), maximum));
    std::vector<std::uint64_t> parts;
    std::ranges::transform(all, std::back_inserter(parts), [](const auto &entry) { return entry.second; });
    return parts;
}

std::size_t PromptPartQuarantine::size() const
{
    return this->records.size();
}

std::size_t PromptPartQuarantine::provenCount() const
{
    return this->proven.size() + this->provenBefore.size();
}

bool PromptPartQuarantine::isProven(std::uint64_t part, absl::Time now) const
{
    return now < this->provenSince + 2 * provenLifetime && (this->proven.contains(part) || this->provenBefore.contains(part));
}

void PromptPartQuarantine::addProven(std::uint64_t part, absl::Time now)
{
    if (now >= this->provenSince + provenLifetime || this->proven.size() >= maxProvenParts / 2) {
        this->provenBefore = std::exchange(this->proven, {});
        if (now >= this->provenSince + 2 * provenLifetime) {
            this->provenBefore.clear();
        }
        this->provenSince = now;
    }
    this->proven.insert(part);
}

// A part that all requests share also collects crashes: those of the upstreams that other parts of the same requests crash, and those of
// a rack that fails. Answers with it have begun before, so more and longer evidence is needed.
std::size_t PromptPartQuarantine::threshold(std::uint64_t part, absl::Time now) const
{
    return this->isProven(part, now) ? crashesToQuarantineProven : crashesToQuarantine;
}

// Counts the most crashes of which each one's request was sent after the one before, so the result depends on the set of crashes and not
// on the order in which a host has learned of them.
std::size_t PromptPartQuarantine::count(std::uint64_t part, const Record &record, absl::Time now) const
{
    const bool isProven = this->isProven(part, now);
    const absl::Duration distance = isProven ? minCrashDistanceProven : minCrashDistance;
    std::size_t counted = 0;
    absl::Time previous = absl::InfinitePast();
    for (const PartCrash &crash : record.crashes) {
        if (crash.lost > record.clearedAt && std::min(crash.sent, crash.lost) >= previous + distance) {
            ++counted;
            previous = crash.lost;
        }
    }
    const bool reached = counted >= (isProven ? crashesToQuarantineProven : crashesToQuarantine);
    const absl::Time lastUse = reached ? std::max(record.requestedAt, newestCrash(record)) : newestCrash(record);
    return now - lastUse < (reached ? quarantineLifetime : suspectLifetime) ? counted : 0;
}

absl::Time PromptPartQuarantine::newestCrash(const Record &record)
{
    return record.crashes.empty() ? absl::InfinitePast() : record.crashes.back().lost;
}

absl::Time PromptPartQuarantine::nextTrial(const Record &record)
{
    const absl::Duration delay = trialDelays[std::min(record.trials, trialDelays.size() - 1)];
    return std::max(newestCrash(record), record.trialAt) + delay;
}

void PromptPartQuarantine::recordTrial(Record &record, absl::Time trialAt)
{
    if (record.trialAt <= record.clearedAt) {
        record.trials = 0;
    }
    // The age in an announcement has the delay of the datagram, so the same trial is seen at slightly different times.
    if (trialAt > record.clearedAt && trialAt > record.trialAt + minTrialDistance) {
        ++record.trials;
        record.trialAt = trialAt;
    }
}

void PromptPartQuarantine::insert(Record &record, const PartCrash &crash)
{
    const auto known = std::ranges::find(record.crashes, crash.upstreamStart, &PartCrash::upstreamStart);
    if (known == record.crashes.end()) {
        record.crashes.push_back(crash);
    } else {
        *known = std::min(*known, crash);
    }
    std::sort(record.crashes.begin(), record.crashes.end());
    if (record.crashes.size() > maxCrashesPerPart) {
        record.crashes.erase(leastInformative(record));
    }
}

// Dropping the oldest crash would let crashes in quick succession remove the ones that are far enough apart to count.
std::vector<PartCrash>::iterator PromptPartQuarantine::leastInformative(Record &record)
{
    absl::Time previous = absl::InfinitePast();
    for (auto crash = record.crashes.begin(); crash != record.crashes.end(); ++crash) {
        const bool counts = crash->lost > record.clearedAt && std::min(crash->sent, crash->lost) >= previous + minCrashDistanceProven;
        if (!counts) {
            return crash;
        }
        previous = crash->lost;
    }
    return record.crashes.begin();
}

PromptPartQuarantine::Record &PromptPartQuarantine::recordOf(std::uint64_t part, absl::Time now)
{
    if (!this->records.contains(part) && this->records.size() >= maxParts) {
        this->evictOldest(now);
    }
    return this->records[part];
}

// Drops a quarter at once: parts may come new with each request, and looking for a single part to drop takes a step for each part.
void PromptPartQuarantine::evictOldest(absl::Time now)
{
    std::vector<std::tuple<std::size_t, absl::Time, std::uint64_t>> ranked;
    for (const auto &[part, record] : this->records) {
        ranked.emplace_back(this->count(part, record, now), newestCrash(record), part);
    }
    const auto kept = ranked.begin() + static_cast<std::ptrdiff_t>(maxParts / 4);
    std::nth_element(ranked.begin(), kept, ranked.end());
    for (auto entry = ranked.begin(); entry != kept; ++entry) {
        this->records.erase(std::get<2>(*entry));
    }
}

} // namespace Bergamotramp
