#include "SlotMessages.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

// Zero means no deadline, so a deadline that has passed is sent as the shortest time left, 1 µs.
std::int64_t microsecondsUntil(absl::Time time, absl::Time now)
{
    return time == absl::InfiniteFuture() ? 0 : std::max<std::int64_t>(1, absl::ToInt64Microseconds(time - now));
}

absl::Time timeAfter(std::int64_t microseconds, absl::Time now)
{
    return microseconds <= 0 ? absl::InfiniteFuture() : now + absl::Microseconds(microseconds);
}

} // namespace

wire::Envelope toMessage(const std::string &pool, const PoolRequest &request, absl::Time now)
{
    wire::Envelope envelope;
    wire::SlotRequest *message = envelope.mutable_slot_request();
    message->set_service(pool);
    message->set_work_class(request.workClass);
    message->set_organisation(request.organisation);
    message->set_time_left_us(microsecondsUntil(request.grantDeadline, now));
    message->set_fingerprint(request.fingerprint);
    message->set_expected_tokens(request.expectedTokens);
    for (const std::string &upstream : request.excludedUpstreams) {
        message->add_excluded_upstreams(upstream);
    }
    message->set_grant(request.id.number);
    message->set_time_to_due_us(microsecondsUntil(request.completionDeadline, now));
    return envelope;
}

PoolRequest fromMessage(const std::string &host, const wire::SlotRequest &message, absl::Time now)
{
    PoolRequest request;
    request.id = {host, message.grant()};
    request.workClass = message.work_class();
    request.organisation = message.organisation();
    request.grantDeadline = timeAfter(message.time_left_us(), now);
    request.fingerprint = message.fingerprint();
    request.expectedTokens = message.expected_tokens();
    request.excludedUpstreams.assign(message.excluded_upstreams().begin(), message.excluded_upstreams().end());
    request.completionDeadline = timeAfter(message.time_to_due_us(), now);
    return request;
}

wire::Envelope toMessage(const SlotGranted &granted)
{
    wire::Envelope envelope;
    wire::SlotReply *message = envelope.mutable_slot_reply();
    message->set_grant(granted.id.number);
    message->set_granted(true);
    message->set_upstream(granted.upstream);
    message->set_address(granted.address);
    return envelope;
}

wire::Envelope toMessage(const SlotDenied &denied)
{
    wire::Envelope envelope;
    wire::SlotReply *message = envelope.mutable_slot_reply();
    message->set_grant(denied.id.number);
    message->set_denial_code(denied.code);
    message->set_retry_after_us(absl::ToInt64Microseconds(denied.retryAfter));
    return envelope;
}

wire::Envelope queuedMessage(const GrantId &id)
{
    return toMessage(SlotDenied{id, queuedCode, absl::ZeroDuration()});
}

wire::Envelope toMessage(const std::string &pool, const SlotRevoked &revoked)
{
    wire::Envelope envelope;
    envelope.mutable_slot_revoke()->set_service(pool);
    envelope.mutable_slot_revoke()->set_grant(revoked.id.number);
    return envelope;
}

wire::Envelope toMessage(const std::string &service, const CrashCount &count)
{
    wire::Envelope envelope;
    wire::SuspectNotice *message = envelope.mutable_suspect_notice();
    message->set_service(service);
    message->set_fingerprint(count.fingerprint);
    message->set_crashes(count.crashes);
    for (const UpstreamCrashes &crashed : count.upstreams) {
        wire::CrashedUpstream *upstream = message->add_upstreams();
        upstream->set_upstream(crashed.upstream);
        upstream->set_crashes(crashed.crashes);
    }
    return envelope;
}

CrashCount fromMessage(const wire::SuspectNotice &message)
{
    CrashCount count{message.fingerprint(), message.crashes()};
    for (const wire::CrashedUpstream &crashed : message.upstreams()) {
        count.upstreams.push_back({crashed.upstream(), crashed.crashes()});
    }
    return count;
}

wire::Envelope toMessage(const std::string &pool, std::uint64_t grant, const GrantOutcome &outcome)
{
    wire::Envelope envelope;
    wire::SlotRelease *message = envelope.mutable_slot_release();
    message->set_service(pool);
    message->set_grant(grant);
    message->set_result(outcome.result);
    message->set_first_token_us(absl::ToInt64Microseconds(outcome.firstToken));
    message->set_between_tokens_us(absl::ToInt64Microseconds(outcome.betweenTokens));
    message->set_tokens(outcome.tokens);
    return envelope;
}

GrantOutcome fromMessage(const wire::SlotRelease &message)
{
    return {message.result(), absl::Microseconds(message.first_token_us()), absl::Microseconds(message.between_tokens_us()), message.tokens()};
}

wire::Envelope toMessage(const std::string &pool, const std::vector<HeldGrant> &held)
{
    wire::Envelope envelope;
    wire::HeldSlots *message = envelope.mutable_held_slots();
    message->set_service(pool);
    for (const HeldGrant &grant : held) {
        wire::HeldSlot *slot = message->add_slots();
        slot->set_grant(grant.number);
        slot->set_upstream(grant.upstream);
        slot->set_work_class(grant.workClass);
        slot->set_fingerprint(grant.fingerprint);
        slot->set_organisation(grant.organisation);
        slot->set_tokens(grant.tokens);
    }
    return envelope;
}

std::vector<HeldGrant> fromMessage(const wire::HeldSlots &message)
{
    std::vector<HeldGrant> held;
    for (const wire::HeldSlot &slot : message.slots()) {
        held.push_back({slot.grant(), slot.upstream(), slot.work_class(), slot.fingerprint(), slot.organisation(), slot.tokens()});
    }
    return held;
}

} // namespace Bergamotramp
