#pragma once

#include <functional>
#include <string>

#include <absl/time/time.h>

#include "CallAttempts.h"
#include "EntryMetrics.h"
#include "EventLoop.h"
#include "HedgePlanner.h"
#include "JsonLog.h"

namespace Bergamotramp {

/** Why a request that has waited long enough gets no hedge; the value of the metric label "cause". */
enum class HedgeRefusal {
    /** The request, or a part of its prompt, may crash upstreams. */
    Suspect,
    /** maxAttempts of the route, or too little time before the deadline. */
    Attempts,
    /** The host stops. */
    Stopping,
    NoSpareUpstream,
    /** Hedges and retries have used up the share of the requests. */
    Budget,
};

/** Services of the entry host that CallHedge uses. */
struct HedgeContext {
    EventLoop &loop;
    HedgePlanner &planner;
    JsonLog &log;
    EntryMetrics &metrics;
};

/**
 * The hedge of one OnlineCall whose request may run more than once. Tells when a hedge is due, counts what becomes of it, and passes the
 * latencies of the call's attempts to HedgePlanner.
 */
class CallHedge
{
public:
    CallHedge(const HedgeContext &context, std::string requestId, HedgeSubject subject);

    /** Sets the service that the next attempts are sent to. */
    void setService(const std::string &service);
    /** Records that an attempt starts that is no hedge; @p isRetry tells whether an earlier one may have run. */
    void onAttempt(bool isRetry);
    /** Calls @p due when an attempt that has just started has waited so long that a hedge is useful; never after a hedge was started. */
    void watch(const RunningAttempt &attempt, std::function<void()> due);
    /** Whether the attempt has waited long enough. The delay may have grown since the timer was set; then @p due is called again later. */
    bool isDue(const RunningAttempt &attempt, std::function<void()> due);
    /** Takes a hedge from the budget; returns false if there is none. */
    bool take(const RunningAttempt &attempt, absl::Time deadline);
    /** Records that the next attempt, with this number, is the hedge. */
    void onStarted(int number, const std::string &upstream, const RunningAttempt &first);
    void onRefused(HedgeRefusal refusal);
    /** Records that the caller gets the answer of this attempt. @p measured tells whether its latency counts for later hedges. */
    void onAnswer(int number, const std::string &upstream, absl::Time started, bool measured);
    /** Records that an attempt is cancelled because the other one has answered. */
    void onLost(const RunningAttempt &attempt);
    /** Records that an attempt has ended without an answer for the caller. */
    void onFailed(int number);
    /** Records the end of the call. */
    void onCallEnded();
    /** Whether an answer has been recorded. */
    [[nodiscard]] bool answered() const;

private:
    /** Logs and counts the end of the hedge, once. */
    void conclude(const std::string &end);

    HedgeContext context;
    std::string requestId;
    HedgeSubject subject;
    LoopTimer timer;
    /** Number of the attempt that is the hedge; 0 if there is none. */
    int hedgeNumber = 0;
    bool hasAnswer = false;
    bool concluded = false;
    bool requestCounted = false;
};

} // namespace Bergamotramp
