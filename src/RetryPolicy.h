#pragma once

#include <absl/time/time.h>

namespace Bergamotramp {

/** What is known of an attempt that has ended. */
enum class AttemptOutcome {
    /** The upstream sent a complete response without a server error. */
    Completed,
    /** The upstream ran the request and responded with a server error. */
    Failed,
    /** The request has certainly not run and will not run. */
    NotRun,
    /** The request may have run, or may still be running. */
    MayHaveRun,
};

/** Whether any attempt of a call may have run. */
enum class CallState {
    NotRun,
    MayHaveRun,
};

/** Decides whether an OnlineCall may be sent to another upstream. ModelExchange and PlainExchange use AttemptPolicy.h instead. */
class RetryPolicy
{
public:
    /** A call fails after this many refusals. Upstreams refuse at once, so that even many refusals take little time. */
    static constexpr int maxRefusals = 8;
    /** A call with less time left until its deadline is not sent again. */
    static constexpr absl::Duration minTimeLeft = absl::Milliseconds(15);

    /** @p maxAttempts limits how many upstreams may run the call. */
    RetryPolicy(bool repeatable, int maxAttempts, absl::Time deadline);

    /** Records the outcome of an attempt; returns whether the call may be sent to another upstream. */
    bool mayRetry(AttemptOutcome outcome, absl::Time now);
    /**
     * Whether a further attempt may start at another upstream while @p running attempts run, in place of one of them or beside them. What
     * runs counts as if it had run.
     */
    [[nodiscard]] bool mayReplace(absl::Time now, int running = 1) const;
    /** Counts an attempt that was replaced or cancelled while it was running. */
    void recordReplacement();
    [[nodiscard]] CallState state() const;

private:
    bool repeatable;
    int maxAttempts;
    absl::Time deadline;
    int runs = 0;
    int refusals = 0;
};

} // namespace Bergamotramp
