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
// A stream this many times slower than its objective is taken for a silent connection and probed.
constexpr int silenceFactor = 10;

/** The parts of one attempt: its slot, its call and what it measures. */
class AttemptRun
{
public:
    AttemptRun(const AttemptPlan &plan, const ExchangeParts &parts, CallCancellation &cancellation, const std::function<void(AttemptEvent)> &report)
        : plan(plan), parts(parts), cancellation(cancellation), report(report)
    {
    }

    void run()
    {
        const absl::Time asked = absl::Now();
        const auto withdrawn = std::make_shared<std::atomic<bool>>(false);
        SlotDemand demand = this->plan.demand;
        demand.withdrawn = withdrawn;
        if (!this->cancellation.attach([withdrawn] { *withdrawn = true; })) {
            *withdrawn = true;
        }
        // The holder may revoke from another thread while the call runs.
        const auto held = this->parts.slots->acquire(demand, [this] {
            this->preempted = true;
            this->cancellation.cancel();
        });
        this->cancellation.detach();
        if (const auto *denial = std::get_if<SlotDenial>(&held)) {
            AttemptEvent event = this->newEvent(AttemptEvent::Kind::Denied);
            event.denial = *denial;
            this->report(std::move(event));
            return;
        }
        this->ticket = std::get<SlotTicket>(held);
        this->start = absl::Now();
        this->parts.metrics->slotWait(this->plan.demand.service, this->plan.demand.workClass, this->start - asked);
        this->report(this->newEvent(AttemptEvent::Kind::Started));
        const bool resumes = !this->plan.resumeId.empty() && this->plan.resumeUpstream == this->ticket.upstream;
        CallResult result = this->call(resumes);
        if (resumes && result.outcome == CallOutcome::Completed && result.status == statusConflict) {
            result = this->call(false);
        }
        this->end(std::move(result));
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
        SseReader reader([this, resumes](std::string_view data) { this->takeEvent(data, resumes); });
        const UpstreamClient::Receiver receiver{[&status](int received, const std::string &) { status = received; },
                                                [&](std::string_view piece) {
                                                    if (status == statusOk) {
                                                        reader.feed(piece);
                                                    } else {
                                                        errorBody.append(piece);
                                                    }
                                                    return true;
                                                }};
        CallResult result = this->parts.upstreams->stream(this->ticket.address, this->buildCall(resumes), this->cancellation, receiver);
        result.body = std::move(errorBody);
        return result;
    }

    void takeEvent(std::string_view data, bool resumed)
    {
        if (data == sseEndMarker) {
            this->done = true;
            return;
        }
        if (this->tokens == 0) {
            this->firstToken = absl::Now() - this->start;
            this->parts.repeats->recordFirstToken(this->plan.request.service, this->firstToken);
            this->parts.metrics->firstToken(this->plan.demand.service, this->plan.demand.workClass, this->firstToken);
        }
        ++this->tokens;
        this->lastToken = absl::Now();
        this->pace.onToken(this->lastToken);
        this->parts.slots->progress(this->ticket, this->tokens);
        AttemptEvent event = this->newEvent(AttemptEvent::Kind::Data);
        event.at = this->lastToken;
        event.data = std::string(data);
        event.resumed = resumed;
        this->report(std::move(event));
    }

    void end(CallResult result)
    {
        const bool whole = result.outcome == CallOutcome::Completed && this->done;
        if (result.outcome == CallOutcome::Completed && result.status == statusOk && !this->done) {
            result.outcome = CallOutcome::Broken;
        }
        const GrantOutcome slotOutcome = this->outcome(result, whole);
        if (slotOutcome.betweenTokens > absl::ZeroDuration()) {
            this->parts.metrics->betweenTokens(this->plan.demand.service, this->plan.demand.workClass, slotOutcome.betweenTokens);
        }
        this->parts.slots->release(this->ticket, slotOutcome);
        AttemptEvent event = this->newEvent(whole ? AttemptEvent::Kind::Done : AttemptEvent::Kind::Ended);
        event.result = std::move(result);
        this->report(std::move(event));
    }

    GrantOutcome outcome(const CallResult &result, bool whole) const
    {
        GrantOutcome outcome{};
        outcome.result = whole ? wire::SLOT_RESULT_COMPLETED : failedSlotResult(*this->parts.upstreams, this->ticket.address, result.outcome);
        // Until the first token, the wait so far is a lower bound.
        outcome.firstToken = this->tokens > 0 ? this->firstToken : absl::Now() - this->start;
        outcome.tokens = this->tokens;
        if (this->tokens > 1) {
            outcome.betweenTokens = (this->lastToken - this->start - this->firstToken) / (this->tokens - 1);
        }
        if (whole && this->tokens > 1) {
            this->parts.repeats->recordInterval(this->plan.request.service, outcome.betweenTokens);
        } else if (outcome.result == wire::SLOT_RESULT_CANCELLED && this->tokens > 1) {
            // A stream that was overtaken tells how slow the upstream is now, not over the stream's whole time.
            outcome.betweenTokens = this->pace.interval(this->lastToken);
        }
        return outcome;
    }

    const AttemptPlan &plan;
    const ExchangeParts &parts;
    CallCancellation &cancellation;
    const std::function<void(AttemptEvent)> &report;
    SlotTicket ticket{};
    absl::Time start;
    absl::Time lastToken;
    absl::Duration firstToken = absl::ZeroDuration();
    std::uint32_t tokens = 0;
    StreamPace pace;
    bool done = false;
    std::atomic<bool> preempted{false};
};

} // namespace

void runModelAttempt(const AttemptPlan &plan, const ExchangeParts &parts, CallCancellation &cancellation, const std::function<void(AttemptEvent)> &report)
{
    AttemptRun(plan, parts, cancellation, report).run();
}

} // namespace Bergamotramp
