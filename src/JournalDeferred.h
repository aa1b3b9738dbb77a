#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "JournalRequest.h"

namespace Bergamotramp {

/** An answer that may be given once records up to a sequence number are durable. */
struct JournalDeferredAnswer {
    std::uint64_t request = 0;
    JournalAnswer answer;
    std::string key;
    absl::Time arrived;
    /** The request caused the record with its sequence number. */
    bool owner = false;
};

/** Answers that wait for records to become durable. */
class JournalDeferred
{
public:
    /** Whether a permission to run still stands, or was never recorded. */
    using Check = std::function<bool(const JournalDeferredAnswer &, std::uint64_t sequence)>;

    void add(std::uint64_t sequence, JournalDeferredAnswer answer);
    /** Gives the answers up to @p sequence; a permission to run that doesn't stand any more becomes UNAVAILABLE. */
    void release(std::uint64_t sequence, const Check &stands, JournalActions &actions);
    /**
     * Answers UNAVAILABLE where a request arrived at or before @p limit, with never_started where @p neverStarted holds.
     * Returns the sequence numbers of the intents that nobody waits for any more.
     */
    std::vector<std::uint64_t> expire(absl::Time limit, const Check &neverStarted, JournalActions &actions);
    /** Answers UNAVAILABLE to all that wait for the record at @p sequence, which was taken back. */
    void refuse(std::uint64_t sequence, JournalActions &actions);
    /** Answers @p state to all. */
    void refuseAll(wire::JournalState state, JournalActions &actions);
    void clear();

private:
    std::multimap<std::uint64_t, JournalDeferredAnswer> answers;
};

} // namespace Bergamotramp
