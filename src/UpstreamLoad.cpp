#include "UpstreamLoad.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

// Batch requests probe more often than online requests, because no caller notices that a batch request is slow.
constexpr absl::Duration batchProbePeriod = absl::Seconds(1);
constexpr absl::Duration onlineProbePeriod = absl::Seconds(5);
// Used while no upstream is usable: only probes can run then.
constexpr absl::Duration urgentProbePeriod = absl::Milliseconds(200);

bool takesWork(const UpstreamLoad::Entry &entry)
{
    return !entry.spec.leaving && !entry.removed;
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

void UpstreamLoad::setUpstreams(const std::vector<PoolUpstream> &specs)
{
    for (auto &[name, entry] : this->upstreams) {
        entry.removed = true;
    }
    std::vector<std::string> names;
    for (const PoolUpstream &spec : specs) {
        Entry &entry = this->upstreams[spec.name];
        entry.spec = spec;
        entry.removed = false;
        names.push_back(spec.name);
    }
    std::erase_if(this->upstreams, [](const auto &item) { return item.second.removed && item.second.inFlight == 0; });
    this->scores.setUpstreams(names);
}

void UpstreamLoad::add(const std::string &upstream, bool probe, absl::Time now)
{
    const auto [found, created] = this->upstreams.try_emplace(upstream);
    Entry &entry = found->second;
    if (created) {
        entry.spec.name = upstream;
        entry.removed = true;
    }
    ++entry.inFlight;
    if (probe) {
        ++entry.probes;
        entry.lastProbe = now;
    }
}

void UpstreamLoad::remove(const std::string &upstream, bool probe)
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end()) {
        return;
    }
    --found->second.inFlight;
    if (probe) {
        --found->second.probes;
    }
    if (found->second.removed && found->second.inFlight == 0) {
        this->upstreams.erase(found);
    }
}

void UpstreamLoad::setIsolated(const std::string &upstream, bool isolated)
{
    const auto found = this->upstreams.find(upstream);
    if (found != this->upstreams.end()) {
        found->second.isolated = isolated;
    }
}

void UpstreamLoad::setDraining(std::string_view upstream)
{
    for (auto &[name, entry] : this->upstreams) {
        entry.draining = name == upstream;
    }
}

std::optional<UpstreamLoad::Choice> UpstreamLoad::choose(wire::WorkClass workClass, const std::vector<std::string> &excluded, absl::Time now) const
{
    std::optional<Choice> probe = this->chooseProbe(workClass, excluded, now);
    if (probe.has_value()) {
        return probe;
    }
    const Entry *best = nullptr;
    double bestWait = 0.0;
    for (const Entry *entry : this->candidates(excluded)) {
        const double wait = this->expectedWait(*entry, now);
        if (best == nullptr || wait < bestWait) {
            best = entry;
            bestWait = wait;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return Choice{best->spec.name, best->spec.address, false};
}

std::optional<UpstreamLoad::Choice> UpstreamLoad::chooseOfTwo(
    wire::WorkClass workClass, const std::vector<std::string> &excluded, std::uint64_t firstRandom, std::uint64_t secondRandom, absl::Time now) const
{
    std::optional<Choice> probe = this->chooseProbe(workClass, excluded, now);
    if (probe.has_value()) {
        return probe;
    }
    const std::vector<const Entry *> found = this->candidates(excluded);
    if (found.empty()) {
        return std::nullopt;
    }
    const std::size_t first = firstRandom % found.size();
    // The offset from the first index is at least 1, so that the two differ whenever there are two candidates.
    const std::size_t second = found.size() == 1 ? first : (first + 1 + secondRandom % (found.size() - 1)) % found.size();
    const bool firstBetter = this->expectedWait(*found[first], now) <= this->expectedWait(*found[second], now);
    const Entry &best = firstBetter ? *found[first] : *found[second];
    return Choice{best.spec.name, best.spec.address, false};
}

// A retry, which has exclusions, is used as a probe only if no upstream is usable, because it has already lost time.
std::optional<UpstreamLoad::Choice> UpstreamLoad::chooseProbe(wire::WorkClass workClass, const std::vector<std::string> &excluded, absl::Time now) const
{
    if (!excluded.empty() && this->anyUsable({})) {
        return std::nullopt;
    }
    for (const auto &[name, entry] : this->upstreams) {
        if (this->probeDue(entry, workClass, now)) {
            return Choice{entry.spec.name, entry.spec.address, true};
        }
    }
    return std::nullopt;
}

// Without probes, requests that have to run alone would wait for ever if only they are queued after all upstreams crashed.
std::optional<UpstreamLoad::Choice> UpstreamLoad::chooseIdle(wire::WorkClass workClass, absl::Time now) const
{
    for (const auto &[name, entry] : this->upstreams) {
        if (takesWork(entry) && !entry.isolated && entry.inFlight == 0 && entry.spec.slots > 0 && !this->scores.ejected(name)) {
            return Choice{entry.spec.name, entry.spec.address, false};
        }
    }
    if (this->anyUsable({})) {
        return std::nullopt;
    }
    for (const auto &[name, entry] : this->upstreams) {
        if (entry.inFlight == 0 && this->probeDue(entry, workClass, now)) {
            return Choice{entry.spec.name, entry.spec.address, true};
        }
    }
    return std::nullopt;
}

std::optional<std::string> UpstreamLoad::chooseToDrain() const
{
    const Entry *best = nullptr;
    for (const auto &[name, entry] : this->upstreams) {
        if (!takesWork(entry) || entry.isolated || this->scores.ejected(name)) {
            continue;
        }
        if (entry.draining) {
            return name;
        }
        if (best == nullptr || entry.inFlight < best->inFlight) {
            best = &entry;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<std::string>(best->spec.name);
}

bool UpstreamLoad::anyTakesWork() const
{
    return std::any_of(this->upstreams.begin(), this->upstreams.end(), [](const auto &item) { return takesWork(item.second); });
}

bool UpstreamLoad::hasRoom(wire::WorkClass workClass, absl::Time now) const
{
    return std::any_of(this->upstreams.begin(), this->upstreams.end(), [&](const auto &item) {
        return (this->usable(item.second) && item.second.inFlight < item.second.spec.slots) || this->probeDue(item.second, workClass, now);
    });
}

std::int64_t UpstreamLoad::usableSlots() const
{
    std::int64_t sum = 0;
    for (const auto &[name, entry] : this->upstreams) {
        sum += this->usable(entry) ? entry.spec.slots : 0;
    }
    return sum;
}

std::int64_t UpstreamLoad::freeSlots() const
{
    std::int64_t sum = 0;
    for (const auto &[name, entry] : this->upstreams) {
        sum += this->usable(entry) ? std::max<std::int64_t>(0, entry.spec.slots - entry.inFlight) : 0;
    }
    return sum;
}

std::int64_t UpstreamLoad::excessRequests(const std::string &upstream) const
{
    const auto found = this->upstreams.find(upstream);
    return found == this->upstreams.end() ? 0 : std::max<std::int64_t>(0, found->second.inFlight - found->second.spec.slots);
}

bool UpstreamLoad::canUseFreedSlot(const std::string &upstream, const std::vector<std::string> &excluded) const
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end() || !takesWork(found->second) || found->second.draining) {
        return false;
    }
    // An ejected upstream only runs probes, and only if there is no other upstream, not even an isolated one.
    const bool anyHealthy = std::any_of(
        this->upstreams.begin(), this->upstreams.end(), [this](const auto &item) { return takesWork(item.second) && !this->scores.ejected(item.first); });
    if (this->scores.ejected(upstream) && anyHealthy) {
        return false;
    }
    return !contains(excluded, upstream) || !this->anyUsable(excluded);
}

LatencyScore &UpstreamLoad::latency()
{
    return this->scores;
}

const LatencyScore &UpstreamLoad::latency() const
{
    return this->scores;
}

const std::map<std::string, UpstreamLoad::Entry, std::less<>> &UpstreamLoad::entries() const
{
    return this->upstreams;
}

bool UpstreamLoad::usable(const Entry &entry) const
{
    return takesWork(entry) && !entry.isolated && !entry.draining && !this->scores.ejected(entry.spec.name);
}

bool UpstreamLoad::probeDue(const Entry &entry, wire::WorkClass workClass, absl::Time now) const
{
    if (!takesWork(entry) || entry.isolated || entry.probes > 0 || entry.inFlight >= entry.spec.slots || !this->scores.ejected(entry.spec.name)) {
        return false;
    }
    const absl::Duration period = !this->anyUsable({}) ? urgentProbePeriod : workClass == wire::WORK_CLASS_BATCH ? batchProbePeriod : onlineProbePeriod;
    return now - entry.lastProbe >= period;
}

// Exclusions are a preference: a retry at the same upstream is better than none.
std::vector<const UpstreamLoad::Entry *> UpstreamLoad::candidates(const std::vector<std::string> &excluded) const
{
    const bool exclude = this->anyUsable(excluded);
    std::vector<const Entry *> found;
    for (const auto &[name, entry] : this->upstreams) {
        if (this->usable(entry) && entry.inFlight < entry.spec.slots && !(exclude && contains(excluded, name))) {
            found.push_back(&entry);
        }
    }
    return found;
}

double UpstreamLoad::expectedWait(const Entry &entry, absl::Time now) const
{
    return static_cast<double>(entry.inFlight + 1) / static_cast<double>(entry.spec.slots) * this->scores.score(entry.spec.name, now);
}

bool UpstreamLoad::anyUsable(const std::vector<std::string> &excluded) const
{
    return std::any_of(
        this->upstreams.begin(), this->upstreams.end(), [&](const auto &item) { return this->usable(item.second) && !contains(excluded, item.first); });
}

} // namespace Bergamotramp
