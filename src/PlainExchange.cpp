#include "PlainExchange.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include "EventLog.h"
#include "Metrics.h"

namespace Bergamotramp {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr absl::Duration minSilenceTimeout = absl::Milliseconds(500);
// A call that receives nothing for this many times its first-token objective is aborted as timed out.
constexpr int silenceFactor = 10;

/** Runs the attempts of one plain request, one after the other. */
class PlainExchange
{
public:
    PlainExchange(const PlainRequest &request, const ExchangeDependencies &dependencies, CallCancellation &cancellation)
        : request(request), dependencies(dependencies), cancellation(cancellation), mayHaveRun(request.earlierMayHaveRun)
    {
    }

    CompleteResponse run()
    {
        this->dependencies.retryLimiter->onRequest(this->request.service);
        while (true) {
            ++this->attempts;
            const SlotTicket ticket = this->acquire();
            CallResult result = this->call(ticket);
            this->mayHaveRun = this->mayHaveRun || result.outcome != CallOutcome::NotSent;
            switch (decideAfterAttempt(this->facts(result))) {
            case AttemptDecision::ForwardResponse:
                return {result.status, result.contentType, std::move(result.body)};
            case AttemptDecision::Retry:
                this->recordFailure(ticket, result);
                this->dependencies.metrics->retried(this->request.service.name);
                this->excluded.push_back(ticket.upstream);
                continue;
            case AttemptDecision::FailNotRun:
                this->recordFailure(ticket, result);
                throw CallerError({statusUnavailable, "upstream_unreachable", "no upstream could be reached", RunState::NotRun, absl::Seconds(1)});
            case AttemptDecision::FailUnknown:
                break;
            }
            this->recordFailure(ticket, result);
            this->failUnknown(result.outcome);
        }
    }

private:
    SlotTicket acquire()
    {
        SlotDemand demand;
        demand.service = this->request.service.name;
        demand.workClass = this->request.workClass;
        demand.organisation = this->request.organisation;
        demand.deadline = this->request.deadline;
        demand.fingerprint = this->request.fingerprint;
        demand.excludedUpstreams = this->excluded;
        // A plain call is short, so a revocation does not cancel it: the slot becomes free when the call ends.
        auto acquired = this->dependencies.slots->acquire(demand, [] {});
        if (const auto *denial = std::get_if<SlotDenial>(&acquired)) {
            throw denialError(this->request.service.name, *denial, this->mayHaveRun);
        }
        return std::get<SlotTicket>(std::move(acquired));
    }

    CallResult call(const SlotTicket &ticket)
    {
        UpstreamCall call;
        call.method = this->request.method;
        call.path = this->request.target;
        call.contentType = this->request.contentType.empty() ? "application/octet-stream" : this->request.contentType;
        call.body = this->request.body;
        call.headers.emplace_back("X-Request-Id", absl::StrCat(this->request.id, "-", this->attempts));
        if (!this->request.key.empty()) {
            call.headers.emplace_back("Idempotency-Key", this->request.key);
        }
        const absl::Duration silence = std::max(minSilenceTimeout, this->request.service.online.firstToken * silenceFactor);
        call.silenceTimeout = std::max(absl::Milliseconds(1), std::min(silence, this->request.deadline - absl::Now()));
        const absl::Time start = absl::Now();
        CallResult result = this->dependencies.upstreams->call(ticket.address, call, this->cancellation);
        GrantOutcome outcome;
        outcome.result = this->slotResult(ticket, result);
        outcome.firstToken = absl::Now() - start;
        this->dependencies.slots->release(ticket, outcome);
        return result;
    }

    wire::SlotResult slotResult(const SlotTicket &ticket, const CallResult &result)
    {
        if (result.outcome == CallOutcome::Completed) {
            return isRetryableStatus(result.status) ? wire::SLOT_RESULT_FAILED : wire::SLOT_RESULT_COMPLETED;
        }
        return failedSlotResult(*this->dependencies.upstreams, ticket.address, result.outcome);
    }

    AttemptFacts facts(const CallResult &result)
    {
        AttemptFacts facts;
        facts.outcome = result.outcome;
        facts.status = result.status;
        facts.idempotent = this->request.idempotent;
        facts.attempts = this->attempts;
        facts.maxAttempts = this->request.service.repeat.maxAttempts;
        facts.timeLeft = absl::Now() < this->request.deadline;
        facts.earlierMayHaveRun = this->mayHaveRun;
        // The retry budget is queried only if another attempt would follow, because the query consumes a retry.
        facts.budgetLeft = true;
        const bool wouldRetry = decideAfterAttempt(facts) == AttemptDecision::Retry;
        facts.budgetLeft = wouldRetry && this->dependencies.retryLimiter->takeRetry(this->request.service, this->request.deadline);
        return facts;
    }

    [[noreturn]] void failUnknown(CallOutcome outcome) const
    {
        if (absl::Now() >= this->request.deadline) {
            throw CallerError({statusGatewayTimeout, "deadline_exceeded", "no answer came before the deadline", RunState::Unknown});
        }
        if (outcome == CallOutcome::NotSent) {
            throw CallerError({statusUnavailable,
                               "upstream_unreachable",
                               "no upstream could be reached for another attempt; an earlier one may have run",
                               RunState::Unknown,
                               absl::Seconds(1)});
        }
        throw CallerError({statusBadGateway, "upstream_failed", "the upstream failed before it answered; the request may have run", RunState::Unknown});
    }

    void recordFailure(const SlotTicket &ticket, const CallResult &result) const
    {
        this->dependencies.events->record("attempt-ended",
                                          {{"request", this->request.id},
                                           {"attempt", this->attempts},
                                           {"service", this->request.service.name},
                                           {"upstream", ticket.upstream},
                                           {"outcome", static_cast<int>(result.outcome)},
                                           {"status", result.status}});
    }

    const PlainRequest &request;
    const ExchangeDependencies &dependencies;
    CallCancellation &cancellation;
    std::vector<std::string> excluded;
    std::int64_t attempts = 0;
    bool mayHaveRun;
};

} // namespace

CompleteResponse runPlainRequest(const PlainRequest &request, const ExchangeDependencies &dependencies, CallCancellation &cancellation)
{
    return PlainExchange(request, dependencies, cancellation).run();
}

} // namespace Bergamotramp
