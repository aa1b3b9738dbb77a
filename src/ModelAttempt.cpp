#include "ModelAttempt.h"

#include <algorithm>
#include <atomic>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include "Metrics.h"
#include "SseReader.h"
#include "StreamPace.h"

namespace Bergamotramp {

namespace {

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr absl::Duration minSilenceTimeout = absl::Milliseconds(500);
// A stream that sends nothing for this many times the longer of its latency objectives is aborted as timed out.
constexpr int silenceFactor = 10;

/** Runs one attempt: acquires a slot, calls the upstream and measures the stream. */
class AttemptRun
{
public:
    AttemptRun(const AttemptPlan &plan,
               const ExchangeDependencies &dependencies,
               CallCancellation &cancellation,
               const std::function<void(AttemptEvent)> &report)
        : plan(plan), dependencies(dependencies), cancellation(cancellation), report(report)
    {
    }

    void run()
    {
        const absl::Time requestedAt = absl::Now();
        const auto withdrawn = std::make_shared<std::atomic<bool>>(false);
        SlotDemand demand = this->plan.demand;
        demand.withdrawn = withdrawn;
        if (!this->cancellation.attach([withdrawn] { *withdrawn = true; })) {
            *withdrawn = true;
        }
        // The revocation hook is called on another thread while the call runs.
        const auto acquired = this->dependencies.slots->acquire(demand, [this] {
            this->preempted = true;
            this->cancellation.cancel();
        });
        this->cancellation.detach();
        if (const auto *denial = std::get_if<SlotDenial>(&acquired)) {
            AttemptEvent event = this->newEvent(AttemptEvent::Kind::Denied);
            event.denial = *denial;
            this->report(std::move(event));
            return;
        }
        this->ticket = std::get<SlotTicket>(acquired);
        this->callStart = absl::Now();
        this->dependencies.metrics->slotWait(this->plan.demand.service, this->plan.demand.workClass, this->callStart - requestedAt);
        this->report(this->newEvent(AttemptEvent::Kind::Started));
        const bool resumes = !this->plan.resumeId.empty() && this->plan.resumeUpstream == this->ticket.upstream;
        CallResult result = this->call(resumes);
        if (resumes && result.outcome == CallOutcome::Completed && result.status == statusConflict) {
            result = this->call(false);
        }
        this->finish(std::move(result));
    }

private:
    AttemptEvent newEvent(AttemptEvent::Kind kind) const
    {
        AttemptEvent event;
        event.attempt = this->plan.index;
        event.kind = kind;
        event.upstream = this->ticket.upstream;
        event.preempted = this->preempted;
        return event;
    }

    UpstreamCall buildCall(bool resumes) const
    {
        UpstreamCall call;
        call.path = this->plan.request.path;
        nlohmann::json body = this->plan.request.body;
        body["stream"] = true;
        call.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        call.headers = {{"X-Request-Id", this->plan.id}, {"Accept", "text/event-stream"}};
        if (resumes) {
            call.headers.emplace_back("X-Resume-Stream", this->plan.resumeId);
            call.headers.emplace_back("X-Resume-From", absl::StrCat(this->plan.resumeTokens));
        }
        const OnlineObjective &objective = this->plan.request.service.online;
        call.silenceTimeout = std::max({minSilenceTimeout, objective.firstToken * silenceFactor, objective.betweenTokens * silenceFactor});
        return call;
    }

    CallResult call(bool resumes)
    {
        std::string errorBody;
        int status = 0;
        SseReader reader([this, resumes](std::string_view data) { this->handleEvent(data, resumes); });
        const UpstreamClient::Receiver receiver{[&status](int received, const std::string &) { status = received; },
                                                [&](std::string_view piece) {
                                                    if (status == statusOk) {
                                                        reader.feed(piece);
                                                    } else {
                                                        errorBody.append(piece);
                                                    }
                                                    return true;
                                                }};
        CallResult result = this->dependencies.upstreams->stream(this->ticket.address, this->buildCall(resumes), this->cancellation, receiver);
        result.body = std::move(errorBody);
        return result;
    }

    void handleEvent(std::string_view data, bool resumed)
    {
        if (data == sseEndMarker) {
            this->endMarkerReceived = true;
            return;
        }
        if (this->tokens == 0) {
            this->firstToken = absl::Now() - this->callStart;
            this->dependencies.retryLimiter->recordFirstToken(this->plan.request.service, this->firstToken);
            this->dependencies.metrics->firstToken(this->plan.demand.service, this->plan.demand.workClass, this->firstToken);
        }
        ++this->tokens;
        this->lastToken = absl::Now();
        this->streamPace.onToken(this->lastToken);
        this->dependencies.slots->progress(this->ticket, this->tokens);
        AttemptEvent event = this->newEvent(AttemptEvent::Kind::Data);
        event.at = this->lastToken;
        event.data = std::string(data);
        event.resumed = resumed;
        this->report(std::move(event));
    }

    void finish(CallResult result)
    {
        const bool complete = result.outcome == CallOutcome::Completed && this->endMarkerReceived;
        if (result.outcome == CallOutcome::Completed && result.status == statusOk && !this->endMarkerReceived) {
            result.outcome = CallOutcome::ConnectionLost;
        }
        const GrantOutcome slotOutcome = this->outcome(result, complete);
        if (slotOutcome.betweenTokens > absl::ZeroDuration()) {
            this->dependencies.metrics->betweenTokens(this->plan.demand.service, this->plan.demand.workClass, slotOutcome.betweenTokens);
        }
        this->dependencies.slots->release(this->ticket, slotOutcome);
        AttemptEvent event = this->newEvent(complete ? AttemptEvent::Kind::Done : AttemptEvent::Kind::Ended);
        event.result = std::move(result);
        this->report(std::move(event));
    }

    GrantOutcome outcome(const CallResult &result, bool complete) const
    {
        GrantOutcome outcome{};
        outcome.result = complete ? wire::SLOT_RESULT_COMPLETED : failedSlotResult(*this->dependencies.upstreams, this->ticket.address, result.outcome);
        // Before the first token, the time waited so far is a lower bound.
        outcome.firstToken = this->tokens > 0 ? this->firstToken : absl::Now() - this->callStart;
        outcome.tokens = this->tokens;
        if (this->tokens > 1) {
            outcome.betweenTokens = (this->lastToken - this->callStart - this->firstToken) / (this->tokens - 1);
        }
        if (complete && this->tokens > 1) {
            this->dependencies.retryLimiter->recordInterval(this->plan.request.service, outcome.betweenTokens);
        } else if (outcome.result == wire::SLOT_RESULT_CANCELLED && this->tokens > 1) {
            // A stream may be cancelled because a hedge of the slow stream was faster. Its recent speed shows how slow the upstream is
            // now; the mean over the whole stream would not.
            outcome.betweenTokens = this->streamPace.tokenInterval(this->lastToken);
        }
        return outcome;
    }

    const AttemptPlan &plan;
    const ExchangeDependencies &dependencies;
    CallCancellation &cancellation;
    const std::function<void(AttemptEvent)> &report;
    SlotTicket ticket{};
    absl::Time callStart;
    absl::Time lastToken;
    absl::Duration firstToken = absl::ZeroDuration();
    std::uint32_t tokens = 0;
    StreamPace streamPace;
    bool endMarkerReceived = false;
    std::atomic<bool> preempted{false};
};

} // namespace

void runModelAttempt(const AttemptPlan &plan,
                     const ExchangeDependencies &dependencies,
                     CallCancellation &cancellation,
                     const std::function<void(AttemptEvent)> &report)
{
    AttemptRun(plan, dependencies, cancellation, report).run();
}

} // namespace Bergamotramp
