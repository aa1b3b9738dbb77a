#include "ModelExchange.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <glog/logging.h>

#include "EventLog.h"
#include "Metrics.h"
#include "ModelAttempt.h"
#include "SlotTypes.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration probeTimeout = absl::Milliseconds(500);
constexpr int statusUnprocessable = 422;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr int statusClientClosed = 499;

} // namespace

CallerError denialError(const std::string &service, const SlotDenial &denial, bool mayHaveRun)
{
    const RunState state = mayHaveRun ? RunState::Unknown : RunState::NotRun;
    if (denial.code == SlotDenialCode::quarantined) {
        return CallerError({statusUnprocessable, "quarantined", "requests like this one crashed several upstreams; it is not run again", state});
    }
    return CallerError({statusUnavailable, denial.code, absl::StrCat("no slot for service ", service, ": ", denial.code), state, denial.retryAfter});
}

wire::SlotResult failedSlotResult(UpstreamClient &upstreams, const std::string &address, CallOutcome outcome)
{
    if (outcome == CallOutcome::Cancelled) {
        return wire::SLOT_RESULT_CANCELLED;
    }
    // Only a refused new connection proves that the upstream's process is gone. A lost or silent connection must not make its
    // requests suspects.
    const bool crashed = outcome == CallOutcome::ConnectionLost && upstreams.probe(address, probeTimeout) == ProbeResult::Refused;
    return crashed ? wire::SLOT_RESULT_UPSTREAM_DIED : wire::SLOT_RESULT_FAILED;
}

/** Event queue from all attempts to the thread that calls next(); outlives the exchange while attempts run. */
struct ModelExchange::Channel {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<AttemptEvent> events;
    bool cancelled = false;
};

struct ModelExchange::Attempt {
    AttemptPlan plan;
    CallCancellation cancellation;
    std::string upstream;
    /** Characters of the answer that this attempt has sent, including those of the attempt that it resumes. */
    std::size_t position = 0;
    std::uint32_t tokens = 0;
    bool running = true;
    bool hedge = false;
};

ModelExchange::ModelExchange(ModelRequest request, ExchangeDependencies dependencies)
    : request(std::move(request))
    , dependencies(std::move(dependencies))
    , channel(std::make_shared<Channel>())
    , answerMerge(this->request.kind)
    , mayHaveRun(this->request.earlierMayHaveRun)
{
}

ModelExchange::~ModelExchange()
{
    for (const std::shared_ptr<Attempt> &attempt : this->attempts) {
        if (attempt->running) {
            attempt->cancellation.cancel();
        }
    }
}

const ModelAnswer &ModelExchange::answer() const
{
    return this->answerMerge.answer();
}

void ModelExchange::cancel()
{
    const std::lock_guard<std::mutex> lock(this->channel->mutex);
    this->channel->cancelled = true;
    this->channel->changed.notify_all();
}

std::optional<std::string> ModelExchange::next()
{
    if (this->attempts.empty()) {
        this->startAttempt(false);
    }
    while (!this->complete) {
        const std::optional<AttemptEvent> event = this->waitForEvent();
        if (!event) {
            this->hedgeIfDue();
            this->hedgeSlowStreamIfDue();
            continue;
        }
        std::optional<std::string> data = this->handleEvent(*event);
        if (data) {
            return data;
        }
    }
    return std::nullopt;
}

std::optional<std::string> ModelExchange::handleEvent(const AttemptEvent &event)
{
    this->attempts[event.attempt]->upstream = event.upstream;
    if (event.kind == AttemptEvent::Kind::Data) {
        return this->handleData(event);
    }
    if (event.kind != AttemptEvent::Kind::Started) {
        this->finishAttempt(event);
    }
    return std::nullopt;
}

void ModelExchange::startAttempt(bool hedge)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->hedge = hedge;
    AttemptPlan &plan = attempt->plan;
    plan.index = this->attempts.size();
    plan.id = absl::StrCat(this->request.id, "-", plan.index + 1);
    plan.request = this->request;
    plan.demand.service = this->request.service.name;
    plan.demand.workClass = this->request.workClass;
    plan.demand.organisation = this->request.organisation;
    plan.demand.deadline = this->request.deadline;
    plan.demand.due = this->request.due;
    plan.demand.fingerprint = this->request.fingerprint;
    plan.demand.expectedTokens = this->request.body.value("max_tokens", 0U);
    plan.demand.excludedUpstreams = this->excluded;
    for (const std::shared_ptr<Attempt> &other : this->attempts) {
        if (other->running && !other->upstream.empty()) {
            plan.demand.excludedUpstreams.push_back(other->upstream);
        }
    }
    if (this->resumeFrom) {
        plan.resumeId = this->resumeFrom->plan.id;
        plan.resumeUpstream = this->resumeFrom->upstream;
        plan.resumeTokens = this->resumeFrom->tokens;
        plan.resumePosition = this->resumeFrom->position;
    }
    ++this->countedAttempts;
    this->attempts.push_back(attempt);
    // The worker shares ownership of the channel and the attempt, so that the exchange may be destroyed before the call has ended.
    this->dependencies.workers->post([attempt, channel = this->channel, dependencies = this->dependencies] {
        runModelAttempt(attempt->plan, dependencies, attempt->cancellation, [&channel](AttemptEvent event) {
            const std::lock_guard<std::mutex> lock(channel->mutex);
            channel->events.push_back(std::move(event));
            channel->changed.notify_all();
        });
    });
    if (plan.index == 0) {
        this->firstAttemptAt = absl::Now();
        this->dependencies.retryLimiter->onRequest(this->request.service);
        const bool online = this->request.workClass == wire::WORK_CLASS_ONLINE;
        this->hedgeAt = online ? this->firstAttemptAt + this->dependencies.retryLimiter->hedgeDelay(this->request.service) : absl::InfiniteFuture();
    }
}

absl::Duration ModelExchange::nextWakeUp() const
{
    const bool mayHedge = !this->selectedAttempt && this->attempts.size() == 1;
    const absl::Time slowStreamHedgeAt = this->mayHedgeSlowStream() ? this->slowAt : absl::InfiniteFuture();
    return std::min({this->request.deadline, mayHedge ? this->hedgeAt : absl::InfiniteFuture(), slowStreamHedgeAt}) - absl::Now();
}

std::optional<AttemptEvent> ModelExchange::waitForEvent()
{
    std::unique_lock<std::mutex> lock(this->channel->mutex);
    const auto ready = [this] { return !this->channel->events.empty() || this->channel->cancelled; };
    const absl::Duration wait = this->nextWakeUp();
    if (wait == absl::InfiniteDuration()) {
        this->channel->changed.wait(lock, ready);
    } else if (wait > absl::ZeroDuration()) {
        this->channel->changed.wait_for(lock, absl::ToChronoMicroseconds(wait), ready);
    }
    if (this->channel->cancelled) {
        throw CallerError({statusClientClosed, "cancelled", "the request was cancelled", this->mayHaveRun ? RunState::Unknown : RunState::NotRun});
    }
    if (this->channel->events.empty()) {
        if (absl::Now() >= this->request.deadline) {
            lock.unlock();
            this->failAtDeadline();
        }
        return std::nullopt;
    }
    AttemptEvent event = std::move(this->channel->events.front());
    this->channel->events.pop_front();
    return event;
}

void ModelExchange::failAtDeadline()
{
    // An attempt that has not ended may have a slot and be executed by its upstream, even if it has sent nothing yet.
    const bool anyRunning = std::any_of(this->attempts.begin(), this->attempts.end(), [](const auto &attempt) { return attempt->running; });
    throw CallerError({statusGatewayTimeout,
                       "deadline_exceeded",
                       "the answer was not complete at the deadline",
                       anyRunning || this->mayHaveRun ? RunState::Unknown : RunState::NotRun});
}

void ModelExchange::hedgeIfDue()
{
    if (absl::Now() < this->hedgeAt || this->selectedAttempt || this->attempts.size() != 1) {
        return;
    }
    this->hedgeAt = absl::InfiniteFuture();
    if (!this->dependencies.retryLimiter->takeHedge(this->request.service, absl::Now() - this->firstAttemptAt, this->request.deadline)) {
        return;
    }
    this->startHedge("no first token");
}

bool ModelExchange::mayHedgeSlowStream() const
{
    return this->selectedAttempt && !this->slowStreamHedged && this->request.workClass == wire::WORK_CLASS_ONLINE
           && !this->othersRunning(*this->selectedAttempt);
}

// Without this hedge, an answer that began before its upstream slowed down would stay on that upstream to the end.
void ModelExchange::hedgeSlowStreamIfDue()
{
    const absl::Time now = absl::Now();
    if (!this->mayHedgeSlowStream() || now < this->slowAt) {
        return;
    }
    StreamProgress progress;
    progress.tokens = this->streamPace.tokens();
    progress.expectedTokens = this->request.body.value("max_tokens", 0U);
    progress.tokenInterval = this->streamPace.tokenInterval(now);
    this->slowStreamHedged = this->dependencies.retryLimiter->takeSlowStreamHedge(this->request.service, progress, this->request.deadline);
    if (this->slowStreamHedged) {
        this->startHedge("slow stream");
    } else {
        // Checked again later, because a longer wait or further tokens can change the decision.
        this->slowAt = now + progress.tokenInterval;
    }
}

void ModelExchange::startHedge(const char *reason)
{
    this->dependencies.metrics->hedged(this->request.service.name);
    this->dependencies.events->record("hedge", {{"request", this->request.id}, {"service", this->request.service.name}, {"reason", reason}});
    this->startAttempt(true);
}

std::optional<std::string> ModelExchange::handleData(const AttemptEvent &event)
{
    Attempt &attempt = *this->attempts[event.attempt];
    this->mayHaveRun = true;
    if (!attempt.running) {
        return std::nullopt;
    }
    if (event.resumed && attempt.tokens == 0) {
        // The resumed attempt may have sent less text than the caller already has from an earlier attempt. The stream therefore
        // continues at the position of the resumed attempt.
        attempt.position = attempt.plan.resumePosition;
        attempt.tokens = attempt.plan.resumeTokens;
    }
    ++attempt.tokens;
    try {
        const AnswerMerge::Result piece = this->answerMerge.addEvent(attempt.position, event.data);
        if (piece.outcome == AnswerMerge::Outcome::Mismatch) {
            this->dropMismatchingAttempt(attempt);
            return std::nullopt;
        }
        if (!this->selectedAttempt || piece.outcome == AnswerMerge::Outcome::NewText) {
            this->selectAttempt(event);
        }
        this->updateStreamPace(event);
        return piece.outcome == AnswerMerge::Outcome::NewText ? std::optional<std::string>(piece.event) : std::nullopt;
    } catch (const nlohmann::json::exception &error) {
        LOG(WARNING) << "request " << this->request.id << ": upstream " << event.upstream << " sent an event that cannot be read: " << error.what();
        throw CallerError({statusBadGateway, "bad_upstream_answer", "the upstream's answer can't be read", RunState::Run});
    }
}

// A hedge that was started because the selected stream was slow replaces it once it has sent more text than the caller has.
void ModelExchange::selectAttempt(const AttemptEvent &event)
{
    if (this->selectedAttempt && *this->selectedAttempt == event.attempt) {
        return;
    }
    this->selectedAttempt = event.attempt;
    this->streamPace = StreamPace();
    this->cancelOthers(event.attempt);
}

void ModelExchange::updateStreamPace(const AttemptEvent &event)
{
    if (*this->selectedAttempt == event.attempt) {
        this->streamPace.onToken(event.at);
        this->slowAt = this->streamPace.exceedsAt(this->dependencies.retryLimiter->slowInterval(this->request.service));
    }
}

// An engine that samples gives a different text in each attempt. Only the attempt whose text the caller has can complete such
// an answer.
void ModelExchange::dropMismatchingAttempt(Attempt &attempt)
{
    if (!this->othersRunning(attempt.plan.index)) {
        throw CallerError(
            {statusBadGateway, "answer_interrupted", "the upstream failed in mid-answer and another attempt gave a different answer", RunState::Run});
    }
    attempt.running = false;
    attempt.cancellation.cancel();
}

void ModelExchange::finishAttempt(const AttemptEvent &event)
{
    Attempt &attempt = *this->attempts[event.attempt];
    const bool wasRunning = attempt.running;
    attempt.running = false;
    if (!wasRunning) {
        return;
    }
    switch (event.kind) {
    case AttemptEvent::Kind::Done:
        this->mayHaveRun = true;
        if (!this->selectedAttempt || *this->selectedAttempt == event.attempt || this->answerMerge.caughtUp(attempt.position)) {
            this->cancelOthers(event.attempt);
            this->complete = true;
        }
        return;
    case AttemptEvent::Kind::Denied:
        this->handleDenial(event);
        return;
    default:
        this->handleFailedAttempt(event);
    }
}

void ModelExchange::handleDenial(const AttemptEvent &event)
{
    if (this->othersRunning(event.attempt)) {
        return;
    }
    this->recordEvent("denied", event);
    throw denialError(this->request.service.name, event.denial, this->mayHaveRun);
}

void ModelExchange::handleFailedAttempt(const AttemptEvent &event)
{
    this->recordEvent("attempt-ended", event);
    this->mayHaveRun = this->mayHaveRun || event.result.outcome != CallOutcome::NotSent;
    if (event.preempted) {
        this->restartPreempted(event);
        return;
    }
    if (this->selectedAttempt && *this->selectedAttempt == event.attempt) {
        this->selectedAttempt.reset();
    }
    this->excluded.push_back(event.upstream);
    if (this->othersRunning(event.attempt)) {
        return;
    }
    this->retryOrFail(event, event.result.outcome);
}

void ModelExchange::restartPreempted(const AttemptEvent &event)
{
    const std::shared_ptr<Attempt> previous = this->attempts[event.attempt];
    this->dependencies.metrics->preempted(this->request.service.name);
    this->selectedAttempt.reset();
    --this->countedAttempts;
    this->resumeFrom = previous;
    this->startAttempt(false);
    this->resumeFrom.reset();
}

void ModelExchange::retryOrFail(const AttemptEvent &event, CallOutcome outcome)
{
    AttemptFacts facts;
    facts.outcome = outcome;
    facts.status = event.result.status;
    facts.idempotent = true;
    facts.attempts = this->countedAttempts;
    facts.maxAttempts = this->request.service.repeat.maxAttempts;
    facts.timeLeft = absl::Now() < this->request.deadline;
    facts.earlierMayHaveRun = this->mayHaveRun;
    const bool repeatable = facts.attempts < facts.maxAttempts && facts.timeLeft && (outcome != CallOutcome::Completed || isRetryableStatus(facts.status));
    facts.budgetLeft = repeatable && this->dependencies.retryLimiter->takeRetry(this->request.service, this->request.deadline);
    switch (decideAfterAttempt(facts)) {
    case AttemptDecision::Retry:
        this->dependencies.metrics->retried(this->request.service.name);
        this->startAttempt(false);
        return;
    case AttemptDecision::ForwardResponse:
        throw CallerError({facts.status, "upstream_error", event.result.body.substr(0, 500), RunState::Run});
    case AttemptDecision::FailNotRun:
        throw CallerError({statusUnavailable, "upstream_unreachable", "no upstream could be reached", RunState::NotRun, absl::Seconds(1)});
    case AttemptDecision::FailUnknown:
        break;
    }
    throw CallerError({statusBadGateway, "upstream_failed", "the upstream failed before its answer was complete", RunState::Unknown, absl::Seconds(1)});
}

bool ModelExchange::othersRunning(std::size_t attempt) const
{
    for (const std::shared_ptr<Attempt> &other : this->attempts) {
        if (other->running && other->plan.index != attempt) {
            return true;
        }
    }
    return false;
}

void ModelExchange::cancelOthers(std::size_t selectedIndex)
{
    for (const std::shared_ptr<Attempt> &attempt : this->attempts) {
        if (attempt->running && attempt->plan.index != selectedIndex) {
            attempt->running = false;
            attempt->cancellation.cancel();
        }
    }
}

void ModelExchange::recordEvent(const char *name, const AttemptEvent &event) const
{
    this->dependencies.events->record(name,
                                      {{"request", this->request.id},
                                       {"attempt", event.attempt + 1},
                                       {"service", this->request.service.name},
                                       {"upstream", event.upstream},
                                       {"outcome", static_cast<int>(event.result.outcome)},
                                       {"status", event.result.status},
                                       {"preempted", event.preempted},
                                       {"denial", event.denial.code}});
}

} // namespace Bergamotramp
