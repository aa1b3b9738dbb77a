#pragma once

#include <absl/time/time.h>

namespace Bergamotramp {

/** What is known of an attempt once it has ended. */
enum class AttemptEnd {
    /** The upstream answered with success. */
    Completed,
    /** The upstream ran the request and answered with a failure. */
    Failed,
    /** The request has certainly not run and won't. */
    NotRun,
    /** The request may have run, or may still. */
    MayHaveRun,
};

/** What is known of a call as a whole, over all its attempts. */
enum class CallState {
    NotRun,
    MayHaveRun,
};

/** Decides whether a call is sent to another upstream. */
class RepeatPolicy
{
public:
    /** Refusals after which a call is given up; each is answered at once, so that they take little time. */
    static constexpr int maxRefusals = 8;
    /** A call with less time left is not sent again. */
    static constexpr absl::Duration minTimeLeft = absl::Milliseconds(15);

    /** @p maxAttempts bounds the upstreams that may run the call. */
    RepeatPolicy(bool repeatable, int maxAttempts, absl::Time deadline);

    /** Takes the end of an attempt; true when the call may be sent to another upstream. */
    bool mayRepeat(AttemptEnd end, absl::Time now);
    /** Whether an attempt that is under way may be replaced by one elsewhere. */
    [[nodiscard]] bool mayReplace(absl::Time now) const;
    /** Counts an attempt that was replaced while it was under way. */
    void replaced();
    [[nodiscard]] CallState state() const;

private:
    bool repeatable;
    int maxAttempts;
    absl::Time deadline;
    int runs = 0;
    int refusals = 0;
};

} // namespace Bergamotramp
