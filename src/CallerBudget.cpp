#include "CallerBudget.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

namespace {

constexpr std::size_t megabyte = 1024 * 1024;
// Assumed for settings that are not known. They leave room for more callers than one host serves.
constexpr std::int64_t defaultMemoryMb = 512;
constexpr std::int64_t defaultDescriptors = 8192;
// For the host itself, without any caller.
constexpr std::int64_t idleMemoryMb = 16;
// Upstreams' answers, jobs and copies of requests on their way to upstreams need the rest of the memory.
constexpr std::int64_t callersMemoryDivisor = 3;
// A body of the usual limit, 4 MB, is held twice while its request is in progress, and has to fit into the part for large bodies.
constexpr std::size_t minBytes = 16 * megabyte;
// Larger bodies are read only while a quarter of the budget is free for the others.
constexpr std::size_t smallBodyBytes = 64 * 1024;
constexpr std::size_t minConnections = 8;
// A connection holds its descriptor's objects and buffers also when nothing was received on it.
constexpr std::size_t connectionBytes = 4 * 1024;
constexpr absl::Duration progressPeriod = absl::Seconds(2);
// A connection that moved nothing for this long may be closed for the body of another one.
constexpr absl::Duration stalledTime = absl::Seconds(1);
// A new connection is not closed for the next one before its request can have arrived.
constexpr absl::Duration minIdleTime = absl::Milliseconds(250);
constexpr absl::Duration reportPeriod = absl::Seconds(1);
// Weight of a connection without progress against one that moves little.
constexpr double progressOffset = 4096.0;

std::size_t indexOf(CallerLimit limit)
{
    return static_cast<std::size_t>(limit);
}

} // namespace

const char *callerLimitName(CallerLimit limit)
{
    switch (limit) {
    case CallerLimit::Connections:
        return "connections";
    case CallerLimit::BodyRefused:
        return "body_refused";
    case CallerLimit::Bytes:
        return "bytes";
    case CallerLimit::Rate:
        return "rate";
    }
    return "";
}

CallerLimits CallerLimits::derive(CallerClass callerClass, std::int64_t memoryMb, std::int64_t maxDescriptors)
{
    const std::int64_t usableMb = (memoryMb > 0 ? memoryMb : defaultMemoryMb) - idleMemoryMb;
    const std::size_t bytes = std::max(minBytes, static_cast<std::size_t>(std::max<std::int64_t>(0, usableMb / callersMemoryDivisor)) * megabyte);
    const auto descriptors = static_cast<std::size_t>(maxDescriptors > 0 ? maxDescriptors : defaultDescriptors);
    CallerLimits limits;
    switch (callerClass) {
    case CallerClass::Caller:
        limits = {.bytes = bytes / 4 * 3, .connections = descriptors / 2};
        break;
    case CallerClass::Host:
        limits = {.bytes = bytes / 16 * 3, .connections = descriptors / 8};
        break;
    case CallerClass::Check:
        limits = {.bytes = bytes / 16, .connections = descriptors / 32};
        break;
    }
    limits.connections = std::max(limits.connections, minConnections);
    // Hundreds of callers may share one address behind a proxy.
    limits.connectionsPerAddress = limits.connections / 4 * 3;
    return limits;
}

RecentProgress::RecentProgress(absl::Duration period, absl::Time now) : period(period), periodStart(now)
{
}

void RecentProgress::add(std::size_t bytes, absl::Time now)
{
    if (now >= this->periodStart + this->period) {
        this->previous = now < this->periodStart + 2 * this->period ? this->current : 0;
        this->current = 0;
        this->periodStart = now;
    }
    this->current += bytes;
}

std::size_t RecentProgress::bytes(absl::Time now) const
{
    if (now >= this->periodStart + 2 * this->period) {
        return 0;
    }
    return this->current + (now < this->periodStart + this->period ? this->previous : 0);
}

void LeastRate::start(absl::Time now)
{
    this->windowStart = now;
    this->moved = 0;
}

void LeastRate::stop()
{
    this->windowStart = absl::InfiniteFuture();
}

bool LeastRate::active() const
{
    return this->windowStart < absl::InfiniteFuture();
}

void LeastRate::add(std::size_t bytes)
{
    this->moved += bytes;
}

bool LeastRate::tooSlow(absl::Time now)
{
    if (!this->active() || now < this->windowStart + window) {
        return false;
    }
    const bool slow = this->moved < minBytes;
    this->start(now);
    return slow;
}

CallerBudget::CallerBudget(std::int64_t memoryMb, std::int64_t maxDescriptors, Report report) : report(std::move(report))
{
    for (const CallerClass callerClass : {CallerClass::Caller, CallerClass::Host, CallerClass::Check}) {
        this->part(callerClass).limits = CallerLimits::derive(callerClass, memoryMb, maxDescriptors);
    }
    this->reportedAt.fill(absl::InfinitePast());
}

CallerBudget::Id CallerBudget::open(CallerClass callerClass, const std::string &address, absl::Time now, std::function<void(CallerLimit)> close)
{
    Part &part = this->part(callerClass);
    const auto ofAddress = part.connectionsByAddress.find(address);
    const bool addressFull = ofAddress != part.connectionsByAddress.end() && ofAddress->second >= part.limits.connectionsPerAddress;
    if (addressFull || (part.connections >= part.limits.connections && !this->closeIdlest(callerClass, now))) {
        this->reportLimit(CallerLimit::Connections, address, now);
        return 0;
    }
    const Id id = this->nextId++;
    this->registered.emplace(
        id,
        Connection{
            .callerClass = callerClass, .address = address, .close = std::move(close), .lastMoved = now, .progress = RecentProgress(progressPeriod, now)});
    ++part.connections;
    ++part.connectionsByAddress[address];
    this->hold(id, 0, true, now);
    return id;
}

void CallerBudget::closed(Id id)
{
    const auto found = this->registered.find(id);
    if (found == this->registered.end()) {
        return;
    }
    Part &part = this->part(found->second.callerClass);
    part.bytes -= found->second.bytes;
    --part.connections;
    const auto ofAddress = part.connectionsByAddress.find(found->second.address);
    if (--ofAddress->second == 0) {
        part.connectionsByAddress.erase(ofAddress);
    }
    this->registered.erase(found);
}

bool CallerBudget::closeIdlest(CallerClass callerClass, absl::Time now)
{
    Id idlest = 0;
    absl::Time since = now - minIdleTime;
    for (const auto &[id, connection] : this->registered) {
        if (connection.callerClass == callerClass && connection.closable && connection.close && connection.lastMoved <= since) {
            idlest = id;
            since = connection.lastMoved;
        }
    }
    if (idlest == 0) {
        return false;
    }
    this->close(idlest, CallerLimit::Connections, now);
    return true;
}

void CallerBudget::hold(Id id, std::size_t bytes, bool closable, absl::Time now)
{
    const auto found = this->registered.find(id);
    if (found == this->registered.end()) {
        return;
    }
    const CallerClass callerClass = found->second.callerClass;
    Part &part = this->part(callerClass);
    const std::size_t held = bytes + connectionBytes;
    part.bytes = part.bytes - found->second.bytes + held;
    found->second.bytes = held;
    found->second.closable = closable;
    while (part.bytes > part.limits.bytes) {
        const Id victim = this->highestBytesPerProgress(callerClass, now, false);
        if (victim == 0) {
            return;
        }
        this->close(victim, CallerLimit::Bytes, now);
    }
}

void CallerBudget::moved(Id id, std::size_t bytes, absl::Time now)
{
    if (const auto found = this->registered.find(id); found != this->registered.end()) {
        found->second.progress.add(bytes, now);
        found->second.lastMoved = now;
    }
}

bool CallerBudget::admitBody(Id id, std::size_t bytes, absl::Time now)
{
    const auto found = this->registered.find(id);
    if (found == this->registered.end()) {
        return true;
    }
    const CallerClass callerClass = found->second.callerClass;
    const Part &part = this->part(callerClass);
    const std::size_t limit = bytes <= smallBodyBytes ? part.limits.bytes : part.limits.bytes / 4 * 3;
    while (part.bytes + bytes > limit) {
        const Id victim = this->highestBytesPerProgress(callerClass, now, true);
        if (victim == 0 || victim == id) {
            this->reportLimit(CallerLimit::BodyRefused, found->second.address, now);
            return false;
        }
        this->close(victim, CallerLimit::Bytes, now);
    }
    return true;
}

void CallerBudget::reportSlow(Id id, absl::Time now)
{
    if (const auto found = this->registered.find(id); found != this->registered.end()) {
        this->reportLimit(CallerLimit::Rate, found->second.address, now);
    }
}

CallerBudget::Id CallerBudget::highestBytesPerProgress(CallerClass callerClass, absl::Time now, bool stalledOnly) const
{
    Id worst = 0;
    double worstScore = 0;
    for (const auto &[id, connection] : this->registered) {
        const bool stalled = connection.lastMoved <= now - stalledTime && connection.bytes > connectionBytes;
        if (connection.callerClass != callerClass || !connection.closable || !connection.close || (stalledOnly && !stalled)) {
            continue;
        }
        const double score = static_cast<double>(connection.bytes) / (static_cast<double>(connection.progress.bytes(now)) + progressOffset);
        if (score > worstScore) {
            worst = id;
            worstScore = score;
        }
    }
    return worst;
}

void CallerBudget::close(Id id, CallerLimit limit, absl::Time now)
{
    const auto found = this->registered.find(id);
    // The hook is taken out, because a connection that is closing stays registered until its socket is closed.
    const auto close = std::exchange(found->second.close, nullptr);
    this->reportLimit(limit, found->second.address, now);
    Part &part = this->part(found->second.callerClass);
    part.bytes -= found->second.bytes;
    found->second.bytes = 0;
    close(limit);
}

void CallerBudget::reportLimit(CallerLimit limit, const std::string &address, absl::Time now)
{
    const std::size_t index = indexOf(limit);
    ++this->counts[index];
    if (now < this->reportedAt[index] + reportPeriod) {
        ++this->leftOut[index];
        return;
    }
    this->reportedAt[index] = now;
    this->report(limit, address, std::exchange(this->leftOut[index], 0));
}

std::size_t CallerBudget::bytes(CallerClass callerClass) const
{
    return this->part(callerClass).bytes;
}

std::size_t CallerBudget::connections(CallerClass callerClass) const
{
    return this->part(callerClass).connections;
}

std::uint64_t CallerBudget::count(CallerLimit limit) const
{
    return this->counts[indexOf(limit)];
}

CallerBudget::Part &CallerBudget::part(CallerClass callerClass)
{
    return this->parts[static_cast<std::size_t>(callerClass)];
}

const CallerBudget::Part &CallerBudget::part(CallerClass callerClass) const
{
    return this->parts[static_cast<std::size_t>(callerClass)];
}

} // namespace Bergamotramp
