#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <absl/time/time.h>

#include "CallerServer.h"
#include "JournalService.h"

namespace Bergamotramp {

/** The journal's side of one request; without an idempotency key it does nothing. */
class JournalledRequest
{
public:
    /** @p key is the caller's key, empty for none. */
    JournalledRequest(JournalService &journal, const std::string &organisation, const std::string &service, const std::string &key);

    /** Name under which the journal keeps a caller's key. */
    static std::string scopedKey(const std::string &organisation, const std::string &service, const std::string &key);

    /** Records the intent. Returns a result that stands already; throws CallerError when the request may not be run. */
    std::optional<WholeAnswer> begin(std::uint64_t fingerprint, bool idempotent, absl::Duration timeLeft);
    /** Records @p answer and returns the answer that stands; throws CallerError when it isn't durable yet. */
    WholeAnswer finish(const WholeAnswer &answer);
    /** Ends an attempt without an answer. The key may be used again at once where nothing has run or the work is idempotent. */
    void abandon(RunState state);
    /** Whether an earlier attempt may have run the request. */
    [[nodiscard]] bool earlierMayHaveRun() const;

private:
    JournalService &journal;
    std::string key;
    std::uint32_t attempt = 0;
    bool idempotent = false;
    bool earlierAttempts = false;
};

} // namespace Bergamotramp
