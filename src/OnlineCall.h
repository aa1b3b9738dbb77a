#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "CallAttempts.h"
#include "CallHedge.h"
#include "CrashQuarantine.h"
#include "EntryMetrics.h"
#include "HttpServer.h"
#include "JsonLog.h"
#include "PromptPartQuarantine.h"
#include "RetryPolicy.h"
#include "ServingProtocol.h"
#include "StreamOrigins.h"
#include "UpstreamSelector.h"

namespace Bergamotramp {

/** Services of the entry host that OnlineCall uses. */
struct OnlineContext {
    AttemptContext attempts;
    const UpstreamSelector &choice;
    const UpstreamTable &upstreams;
    CrashQuarantine &suspects;
    PromptPartQuarantine &promptParts;
    JsonLog &log;
    EntryMetrics &metrics;
    /** Announces changed crash counts of request fingerprints to the other hosts; 0 when the request has completed. */
    std::function<void(const std::vector<CrashCount> &)> announceCrashes;
    /** Announces the changed state of these parts of prompts to the other hosts. */
    std::function<void(const std::vector<std::uint64_t> &)> announcePromptParts;
    /** How long after the time at which a trial of this part is due the host may start it. */
    std::function<absl::Duration(std::uint64_t part)> trialDelay;
    /** Remembers what began the stream of a caller's attempt, here and at other hosts. */
    std::function<void(const std::string &requestId, const StreamOrigin &origin)> recordBegin;
    /**
     * Finds what began the stream of a caller's attempt. Without a record, that is concluded from the versions of @p service, unless it is
     * empty because several services can have begun it. Gives nothing if it is not known.
     */
    std::function<void(const std::string &requestId, const std::string &service, std::function<void(const std::optional<StreamOrigin> &)>)> findOrigin;
    /** When a refused caller should come back, if the limits of all upstreams of the service are the reason for the refusal. */
    std::function<std::optional<absl::Duration>(const std::string &service)> reserveReturn;
    /** Null if requests are not hedged. */
    HedgePlanner *hedges = nullptr;
    std::function<bool()> stopping{};
};

/** One online request, from its arrival to the end of its response, over all its attempts at upstreams. */
class OnlineCall : public std::enable_shared_from_this<OnlineCall>
{
public:
    /** @p services are the route's targets in the order in which this call uses them (targetOrder()). @p onEnded is called once, when the call has ended. */
    OnlineCall(const OnlineContext &context,
               std::shared_ptr<HttpExchange> exchange,
               CallerCall call,
               Route route,
               CallerOrganisation organisation,
               std::vector<std::string> services,
               std::function<void()> onEnded);

    void start();
    /** Sends the request to another upstream if the current one has been silent for too long. Called periodically. */
    void checkProgress(absl::Time now);
    /** Answers a call whose response has not begun, because the host ends. */
    void answerBeforeStop();
    /** Whether no upstream can have the request or have had it. */
    [[nodiscard]] bool hasCertainlyNotRun() const;

private:
    /** Continues a stream that the caller takes up, or refuses it if that could join two software versions. */
    void takeUp(const std::optional<StreamOrigin> &found);
    void startNextAttempt();
    /** An upstream for an attempt: of the first of the call's services that has one with room besides those in @p excluded; or null. */
    [[nodiscard]] const UpstreamInfo *chooseUpstream(const std::set<std::string> &excluded, absl::Time now) const;
    /** Why there is no upstream for the next attempt. */
    [[nodiscard]] std::string noUpstreamReason() const;
    [[nodiscard]] UpstreamSelector::VersionFilter requiredVersion() const;
    void startAttempt(const UpstreamInfo &upstream);
    void startFurtherAttempt(const UpstreamInfo &upstream);
    /** Starts a hedge if the only running attempt has waited long enough for its answer and nothing forbids it. */
    void hedgeWhenDue();
    [[nodiscard]] std::optional<HedgeRefusal> hedgeRefusal(absl::Time now) const;
    /** Whether the request, or a part of its prompt, may crash upstreams. */
    [[nodiscard]] bool mayCrashUpstreams(absl::Time now) const;
    /** Makes the answer of an attempt the one that the caller gets, and cancels the other attempt. */
    void settle(int winner, const std::string &upstream, absl::Time started, bool measured);
    /** Puts an upstream that sends nothing to any request into backoff. */
    void recordIfSilent(const RunningAttempt &running);
    void onStreamStarted(int number, const HttpHead &head);
    void onEvent(int number, const StreamEvent &event);
    /** Whether the event is the next one for the caller. Ends an attempt that has left out events. */
    bool acceptEventId(int number, std::uint64_t id);
    /** Remembers what began the stream, with its first event. */
    void recordOrigin(const UpstreamInfo &upstream);
    /** Records what writes the stream; only upstreams of its service can continue it. */
    void setOrigin(const StreamOrigin &writer);
    /** Sets the service that the next attempts are sent to. */
    void useService(const std::string &used);
    void forwardEvent(int number, const StreamEvent &event);
    void onAttemptEnded(int number, const AttemptResult &result);
    /** Logs and counts an attempt that has ended without an answer for the caller. */
    void recordUnfinished(int number, const AttemptResult &result, const UpstreamInfo &upstream, absl::Time started);
    /** Starts the next attempt after one without an answer, or ends the call, unless another attempt still runs. */
    void continueAfter(const AttemptResult &result);
    /** Whether the upstream may have crashed before it began the answer. */
    [[nodiscard]] bool lostBeforeAnswer(const AttemptResult &result) const;
    void updateCrashRecord(const AttemptResult &result, const std::string &upstream, absl::Time started);
    /** Whether the parts of the prompt allow an attempt. Ends the call if they don't. */
    bool admitPromptParts();
    void startTrial(const PartAdmission &admission);
    void chargePromptParts(const UpstreamInfo &upstream, absl::Time started);
    /** Records that an upstream has begun the answer: it did not crash on the parts of the prompt. */
    void onAnswerBegun(const std::string &upstream);
    /** Logs and announces the parts that changed. */
    void reportPartChanges(const std::vector<std::pair<std::uint64_t, PartChange>> &changes, std::string_view upstream);
    /** Whether another attempt would risk too many upstreams. */
    [[nodiscard]] bool retryWouldRiskUpstreams(AttemptOutcome outcome) const;
    void finishStream(const HttpHead &streamHead);
    void deliverResponse(const AttemptResult &result);
    /** Ends the call without an upstream's response: aborts a started response, else answers with an error of this host. */
    void giveUp(const std::string &reason);
    void onDeadline();
    /** Ends the call now. The answer says "not run" only if no upstream can have the request. */
    void cutShort(const std::string &reason, const std::string &message);
    void onCallerDisconnected();
    /** Answers that the request has not run; @p reason is for the log. */
    void refuse(const std::string &code, const std::string &message, absl::Duration after, const std::string &reason);
    void answer(const HttpResponse &response, const std::string &reason);
    void end(int status, const std::string &reason);
    /** How long an upstream may be silent before it is replaced. */
    [[nodiscard]] absl::Duration silenceLimit(const std::string &upstream, absl::Time now) const;
    [[nodiscard]] absl::Duration retryAfter();

    OnlineContext context;
    std::shared_ptr<HttpExchange> exchange;
    CallerCall call;
    Route route;
    CallerOrganisation organisation;
    /** The services that may run the request, in order of preference; never empty. */
    std::vector<std::string> services;
    /** The one that the request was last sent to, or goes to first. */
    std::string service;
    std::function<void()> onEnded;
    absl::Time deadline;
    RetryPolicy retryPolicy;
    /** Hash of the request's target and body. */
    std::uint64_t fingerprint;
    std::set<std::string> triedUpstreams;
    /** Those of them that did not refuse the request but failed, or were too slow. */
    std::set<std::string> failedUpstreams;
    CallAttempts attempts;
    /** Null if the call is not hedged. */
    std::unique_ptr<CallHedge> hedge;
    std::optional<std::uint64_t> lastEventId;
    /** What wrote the events that the caller has. */
    std::optional<StreamOrigin> origin;
    /** Attempts that their upstreams have certainly not run. */
    int refusedAttempts = 0;
    /** Attempts whose upstream was lost before it began the answer. */
    int lostAttempts = 0;
    /** Whether an upstream has begun the answer. */
    bool answerBegun = false;
    /** The quarantined parts of a request that runs as their trial. */
    std::vector<std::uint64_t> trialParts;
    bool finished = false;
    LoopTimer deadlineTimer;
};

} // namespace Bergamotramp
