#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "JournalRequest.h"

namespace Bergamotramp {

/** A reply that may be sent once the records up to a sequence number are durable. */
struct JournalDeferredReply {
    std::uint64_t requestId = 0;
    JournalAnswer answer;
    std::string key;
    absl::Time arrived;
    /** This request caused the record with that sequence number. */
    bool ownsRecord = false;
};

/** Replies that wait for records to become durable. */
class JournalDeferredReplies
{
public:
    /** A condition on a deferred reply and the sequence number that it waits for. */
    using Condition = std::function<bool(const JournalDeferredReply &, std::uint64_t sequence)>;

    void add(std::uint64_t sequence, JournalDeferredReply reply);
    /** Sends the replies up to @p sequence. A reply that grants a run is changed to UNAVAILABLE unless @p grantValid holds. */
    void release(std::uint64_t sequence, const Condition &grantValid, JournalActions &actions);
    /**
     * Answers UNAVAILABLE to requests that arrived at or before @p latestArrival, with never_started where @p neverStarted holds.
     * Returns the sequence numbers of the intents that these requests recorded.
     */
    std::vector<std::uint64_t> expire(absl::Time latestArrival, const Condition &neverStarted, JournalActions &actions);
    /** Answers UNAVAILABLE to all requests that wait for the record at @p sequence, which was withdrawn. */
    void refuse(std::uint64_t sequence, JournalActions &actions);
    /** Answers @p state to all waiting requests. */
    void refuseAll(wire::JournalState state, JournalActions &actions);
    void clear();

private:
    std::multimap<std::uint64_t, JournalDeferredReply> replies;
};

} // namespace Bergamotramp
