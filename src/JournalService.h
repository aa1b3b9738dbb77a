#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "HostContext.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/**
 * One host's access to the request journal, and its share of the journal. Keys hash to shards; the live host that ranks first for a shard
 * holds it. Requests for shards held by other hosts are sent to them as messages. Thread-safe.
 */
class JournalService
{
public:
    explicit JournalService(const HostContext &context);
    ~JournalService();
    JournalService(const JournalService &) = delete;
    JournalService &operator=(const JournalService &) = delete;

    /**
     * Records the intent to run the request @p key, or returns what the journal already holds for the key, which must include organisation
     * and service. Blocks for a bounded time. Only the state NEW allows the request to be run, until @p timeLeft has passed.
     * The state UNAVAILABLE says nothing about the key unless never_started is set.
     */
    wire::JournalBegun begin(const std::string &key, std::uint64_t fingerprint, bool idempotent, absl::Duration timeLeft);
    /**
     * Records the result of an attempt and returns the recorded result, which may be that of another attempt. @p notRun says that the
     * attempt sent nothing; the key becomes free. Blocks for a few seconds; then returns UNAVAILABLE and keeps retrying in the background.
     */
    wire::JournalFinished finish(const std::string &key, std::uint32_t attempt, const wire::RecordedResult &result, bool notRun);
    /** Ends an attempt of an idempotent request that may have run but has no result; the next attempt may start at once. */
    void endAttempt(const std::string &key, std::uint32_t attempt);
    /** Returns what the journal holds for @p key. Blocks for a bounded time. */
    wire::JournalRecord read(const std::string &key);
    /** Handles a peer's JournalBegin, JournalFinish or JournalRead message. Called on the transport's thread; doesn't block. */
    void handle(const wire::Envelope &envelope);
    [[nodiscard]] nlohmann::json status() const;
    /** Finishes queued writes and releases all shards. Calls for shards held by other hosts still work. */
    void drain();

private:
    class Implementation;

    std::unique_ptr<Implementation> implementation;
};

} // namespace Bergamotramp
