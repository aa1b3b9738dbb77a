#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include <absl/time/time.h>

#include "JournalActions.h"
#include "JournalIndex.h"

namespace Bergamotramp {

/** An intent, a completion, or the key to read. */
using JournalEvent = std::variant<JournalIntent, JournalCompletion, std::string>;

/** A request to a shard and when it arrived. */
struct JournalRequest {
    std::uint64_t request = 0;
    JournalEvent event;
    absl::Time arrived;
};

/** The key that @p event is about. */
const std::string &keyOf(const JournalEvent &event);
/** The answer that @p decision means for a request of the kind of @p event, with @p result where it is finished. */
JournalAnswer answerOf(const JournalEvent &event, const JournalDecision &decision, const wire::RecordedResult &result);
/** An answer without a result. */
JournalAnswer refusalOf(const JournalEvent &event, wire::JournalState state);
/** Replaces everything in @p answer by @p state. */
void setState(JournalAnswer &answer, wire::JournalState state);
/** Whether the answer lets the caller run its request. */
bool grantsRun(const JournalAnswer &answer);

} // namespace Bergamotramp
