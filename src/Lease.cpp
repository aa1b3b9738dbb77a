#include "Lease.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace Bergamotramp {

std::string LeaseRecord::toJsonText() const
{
    return nlohmann::json({{"holder", this->holder},
                           {"incarnation", this->incarnation},
                           {"epoch", this->epoch},
                           {"renewal", this->renewal},
                           {"length_us", absl::ToInt64Microseconds(this->length)},
                           {"expiry_us", absl::ToUnixMicros(this->expiry)}})
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<LeaseRecord> LeaseRecord::fromJsonText(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    try {
        LeaseRecord record;
        record.holder = json.at("holder");
        record.incarnation = json.at("incarnation");
        record.epoch = json.at("epoch");
        record.renewal = json.at("renewal");
        record.length = absl::Microseconds(json.at("length_us").get<std::int64_t>());
        record.expiry = absl::FromUnixMicros(json.at("expiry_us"));
        return record;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

Lease::Lease(LeaseSettings settings) : settings(std::move(settings))
{
}

std::optional<LeaseCall> Lease::tick(absl::Time now)
{
    if (this->outstandingCall != Call::None || now < this->nextCallTime) {
        return std::nullopt;
    }
    if (!this->storedKnown) {
        return this->releasing && !this->held ? std::nullopt : this->read();
    }
    if (this->releasing) {
        return this->held ? this->write(now) : std::nullopt;
    }
    return this->held || this->mayAcquire(now) ? this->write(now) : this->read();
}

std::optional<LeaseCall> Lease::read()
{
    this->outstandingCall = Call::Read;
    return LeaseCall{"lease/" + this->settings.name, std::nullopt, Precondition::none()};
}

std::optional<LeaseCall> Lease::write(absl::Time now)
{
    this->proposed = this->stored;
    this->proposed.holder = this->releasing ? "" : this->settings.host;
    this->proposed.incarnation = this->settings.incarnation;
    this->proposed.epoch += this->held ? 0 : 1;
    this->proposed.renewal = ++this->writeCount;
    this->proposed.length = this->settings.length;
    this->proposed.expiry = now + this->settings.length;
    this->sentAt = now;
    this->outstandingCall = Call::Write;
    if (this->releasing) {
        // The write may be applied at any time from here on, and then another host may acquire the lease.
        this->held = false;
        this->validUntil = absl::InfinitePast();
    }
    const Precondition precondition = this->version == 0 ? Precondition::absent() : Precondition::at(this->version);
    return LeaseCall{"lease/" + this->settings.name, this->proposed.toJsonText(), precondition};
}

// Clocks of hosts show different times, so only durations are comparable. The holder measures the lease length from when it sent its renewal,
// other hosts from when they first saw the renewal, which is later. The holder's lease therefore ends first.
bool Lease::mayAcquire(absl::Time now) const
{
    return this->version == 0 || this->stored.holder.empty() || now >= this->firstSeen + std::max(this->stored.length, this->settings.length);
}

bool Lease::isOwn(const LeaseRecord &record) const
{
    return record == this->proposed && record.renewal != 0;
}

void Lease::objectRead(const std::optional<StoredObject> &object, absl::Time now)
{
    this->outstandingCall = Call::None;
    const std::optional<LeaseRecord> record = object.has_value() ? LeaseRecord::fromJsonText(object->value) : std::nullopt;
    const std::uint64_t readVersion = object.has_value() ? object->version : 0;
    this->nextCallTime = now;
    if (record.has_value() && this->isOwn(*record) && !record->holder.empty()) {
        this->applyOwnWrite(readVersion, now);
        return;
    }
    if (this->held && readVersion == this->version) {
        // The renewal whose outcome is unknown has not been applied. Sending it again is safe, since the version condition holds for only one of the two.
        this->storedKnown = true;
        return;
    }
    this->held = false;
    this->validUntil = absl::InfinitePast();
    if (!this->storedKnown || readVersion != this->version) {
        this->firstSeen = readVersion == this->version && this->firstSeen != absl::InfiniteFuture() ? this->firstSeen : now;
    }
    this->storedKnown = true;
    this->version = readVersion;
    this->stored = record.value_or(LeaseRecord());
    this->nextCallTime = this->mayAcquire(now) ? now : now + this->settings.watchPeriod;
}

void Lease::readFailed(absl::Time now)
{
    this->outstandingCall = Call::None;
    this->nextCallTime = now + this->settings.retryPause;
}

void Lease::writeSettled(const WriteResult &result, absl::Time now)
{
    this->outstandingCall = Call::None;
    this->nextCallTime = now;
    switch (result.outcome) {
    case WriteOutcome::Applied:
        this->applyOwnWrite(result.version, now);
        break;
    case WriteOutcome::Conflict:
    case WriteOutcome::Unanswered:
        this->storedKnown = false;
        break;
    case WriteOutcome::Unavailable:
        this->nextCallTime = now + this->settings.retryPause;
        break;
    }
}

void Lease::applyOwnWrite(std::uint64_t newVersion, absl::Time now)
{
    this->storedKnown = true;
    this->version = newVersion;
    this->stored = this->proposed;
    this->firstSeen = now;
    if (this->stored.holder.empty()) {
        return;
    }
    if (!this->held) {
        this->acquisitionTime = now;
    }
    this->held = true;
    this->validUntil = this->sentAt + this->settings.length;
    this->nextCallTime = this->releasing ? now : now + this->settings.renewPeriod;
}

void Lease::release()
{
    this->releasing = true;
    this->nextCallTime = absl::InfinitePast();
}

bool Lease::isHeld(absl::Time now) const
{
    return this->held && now < this->validUntil;
}

absl::Time Lease::heldUntil() const
{
    return this->validUntil;
}

std::uint64_t Lease::epoch() const
{
    return this->stored.epoch;
}

absl::Time Lease::acquiredAt() const
{
    return this->acquisitionTime;
}

} // namespace Bergamotramp
