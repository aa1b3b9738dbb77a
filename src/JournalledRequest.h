#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <absl/time/time.h>

#include "CallerServer.h"
#include "JournalService.h"

namespace Bergamotramp {

/** Records one request in the journal. Does nothing for a request without an idempotency key. */
class JournalledRequest
{
public:
    /** @p key is the caller's idempotency key, empty for none. */
    JournalledRequest(JournalService &journal, const std::string &organisation, const std::string &service, const std::string &key);

    /** The journal's key for a caller's idempotency key. */
    static std::string scopedKey(const std::string &organisation, const std::string &service, const std::string &key);

    /** Records the intent to run the request. Returns the recorded answer if there is one; throws CallerError when the request must not run. */
    std::optional<CompleteResponse> begin(std::uint64_t fingerprint, bool isIdempotent, absl::Duration timeLeft);
    /** Records @p answer and returns the recorded one, which may be of another attempt; throws CallerError when it isn't durable yet. */
    CompleteResponse finish(const CompleteResponse &answer);
    /** Ends an attempt without an answer. If nothing has run or the request is idempotent, the key may be used again at once. */
    void abandon(RunState state);
    /** Whether an earlier attempt may have run the request. */
    [[nodiscard]] bool earlierAttemptMayHaveRun() const;

private:
    JournalService &journal;
    std::string key;
    std::uint32_t attempt = 0;
    bool idempotent = false;
    bool earlierAttempts = false;
};

} // namespace Bergamotramp
