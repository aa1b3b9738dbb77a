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
 * The request journal as one host uses and serves it. Keys hash to shards; the live host that ranks first for a shard
 * holds it, and requests for other holders' shards go to them as messages. Thread-safe.
 */
class JournalService
{
public:
    explicit JournalService(const HostContext &context);
    ~JournalService();
    JournalService(const JournalService &) = delete;
    JournalService &operator=(const JournalService &) = delete;

    /**
     * Records the intent to run the request @p key, which is scoped by organisation and service already, and says what stands
     * under it. Blocks for a bounded time. Only the state NEW allows the caller to run the request, until @p timeLeft has passed.
     * The state UNAVAILABLE says nothing about the key unless never_started is set.
     */
    wire::JournalBegun begin(const std::string &key, std::uint64_t fingerprint, bool idempotent, absl::Duration timeLeft);
    /**
     * Records the result of an attempt and returns the result that stands. With @p notRun the attempt sent nothing, and the key
     * becomes free. Blocks for a few seconds; then returns UNAVAILABLE and keeps retrying in the background.
     */
    wire::JournalFinished finish(const std::string &key, std::uint32_t attempt, const wire::RecordedResult &result, bool notRun);
    /** Ends an attempt of an idempotent request that may have run but has no result; another one may start at once. */
    void endAttempt(const std::string &key, std::uint32_t attempt);
    /** What stands under @p key. Blocks for a bounded time. */
    wire::JournalRecord read(const std::string &key);
    /** Takes a JOURNAL_* request of a peer. Called on the transport's thread; doesn't block. */
    void handle(const wire::Envelope &envelope);
    [[nodiscard]] nlohmann::json status() const;
    /** Finishes queued writes and stops holding shards. Requests for other holders' shards are still served. */
    void drain();

private:
    class Implementation;

    std::unique_ptr<Implementation> implementation;
};

} // namespace Bergamotramp
