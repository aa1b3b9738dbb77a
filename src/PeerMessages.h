#pragma once

#include <absl/time/time.h>

#include "CrashQuarantine.h"
#include "PromptPartQuarantine.h"
#include "StatedLimits.h"
#include "peer.pb.h"

namespace Bergamotramp {

// Conversion between what hosts announce to each other and its messages. Times are sent as ages, because the clocks of hosts differ.

void encodePart(const PartReport &report, absl::Time now, peer::PromptPart &entry);
PartReport decodePart(const peer::PromptPart &entry, absl::Time now);

void encodeCrashCount(const CrashCount &count, peer::CrashCount &message);
CrashCount decodeCrashCount(const peer::CrashCount &message);

void encodeLimit(const LimitReport &report, absl::Time now, peer::UpstreamLimit &entry);
LimitReport decodeLimit(const peer::UpstreamLimit &entry, absl::Time now);

} // namespace Bergamotramp
