#pragma once

#include <string>
#include <vector>

#include <absl/time/time.h>

#include "SlotTypes.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** Denial code by which the holder of a pool acknowledges that a request is queued. */
inline constexpr const char *queuedCode = "queued";

/** Deadlines are sent as the time left, because the clocks of hosts differ. */
wire::Envelope toMessage(const std::string &pool, const PoolRequest &request, absl::Time now);
PoolRequest fromMessage(const std::string &host, const wire::SlotRequest &message, absl::Time now);

wire::Envelope toMessage(const SlotGranted &granted);
wire::Envelope toMessage(const SlotDenied &denied);
/** The acknowledgement that the request is queued. */
wire::Envelope queuedMessage(const GrantId &id);
wire::Envelope toMessage(const std::string &pool, const SlotRevoked &revoked);
wire::Envelope toMessage(const std::string &service, const CrashCount &count);
CrashCount fromMessage(const wire::SuspectNotice &message);

wire::Envelope toMessage(const std::string &pool, std::uint64_t grant, const GrantOutcome &outcome);
GrantOutcome fromMessage(const wire::SlotRelease &message);

wire::Envelope toMessage(const std::string &pool, const std::vector<HeldGrant> &held);
std::vector<HeldGrant> fromMessage(const wire::HeldSlots &message);

} // namespace Bergamotramp
