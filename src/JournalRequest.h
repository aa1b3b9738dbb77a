#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include <absl/time/time.h>

#include "JournalActions.h"
#include "JournalIndex.h"

namespace Bergamotramp {

/** An intent, a completion, a withdrawal, or the key to read. */
using JournalEvent = std::variant<JournalIntent, JournalCompletion, JournalWithdrawal, std::string>;

/** A request to a shard and when it arrived. */
struct JournalRequest {
    std::uint64_t requestId = 0;
    JournalEvent event;
    absl::Time arrived;
};

/** The key of the request @p event. */
const std::string &keyOf(const JournalEvent &event);
/** The answer to @p event that conveys @p decision. It includes @p result if the key is finished. */
JournalAnswer makeAnswer(const JournalEvent &event, const JournalDecision &decision, const wire::RecordedResult &result);
/** An answer to @p event with @p state and without a result. */
JournalAnswer makeRefusal(const JournalEvent &event, wire::JournalState state);
/** Clears @p answer and sets its state. */
void replaceWithState(JournalAnswer &answer, wire::JournalState state);
/** Whether the answer lets the caller run its request. */
bool grantsRun(const JournalAnswer &answer);

} // namespace Bergamotramp
