#include "CallHedge.h"

#include <utility>

namespace Bergamotramp {

namespace {

std::string nameOf(HedgeRefusal refusal)
{
    switch (refusal) {
    case HedgeRefusal::Suspect:
        return "suspect";
    case HedgeRefusal::Attempts:
        return "attempts";
    case HedgeRefusal::Stopping:
        return "stopping";
    case HedgeRefusal::NoSpareUpstream:
        return "no_spare_upstream";
    case HedgeRefusal::Budget:
        return "budget";
    }
    return "";
}

} // namespace

CallHedge::CallHedge(const HedgeContext &context, std::string requestId, HedgeSubject subject)
    : context(context), requestId(std::move(requestId)), subject(std::move(subject))
{
}

void CallHedge::setService(const std::string &service)
{
    this->subject.service = service;
}

void CallHedge::onAttempt(bool isRetry)
{
    const absl::Time now = this->context.loop.now();
    if (!std::exchange(this->requestCounted, true)) {
        this->context.planner.onRequest(this->subject.service, now);
    }
    if (isRetry) {
        this->context.planner.recordRetry(this->subject.service, now);
    }
}

void CallHedge::watch(const RunningAttempt &attempt, std::function<void()> due)
{
    if (this->hedgeNumber != 0 || this->hasAnswer) {
        return;
    }
    const absl::Time now = this->context.loop.now();
    if (const auto delay = this->context.planner.delay(this->subject, attempt.attempt->upstream().id, now)) {
        this->timer = this->context.loop.after(attempt.started + *delay - now, std::move(due));
    }
}

bool CallHedge::isDue(const RunningAttempt &attempt, std::function<void()> due)
{
    const absl::Time now = this->context.loop.now();
    const auto delay = this->context.planner.delay(this->subject, attempt.attempt->upstream().id, now);
    if (delay && now - attempt.started >= *delay) {
        return true;
    }
    this->watch(attempt, std::move(due));
    return false;
}

bool CallHedge::take(const RunningAttempt &attempt, absl::Time deadline)
{
    const absl::Time now = this->context.loop.now();
    return this->context.planner.tryHedge(this->subject, attempt.attempt->upstream().id, now - attempt.started, now, deadline);
}

void CallHedge::onStarted(int number, const std::string &upstream, const RunningAttempt &first)
{
    this->hedgeNumber = number;
    this->context.metrics.recordHedge(this->subject.service, "started");
    this->context.log.write("hedge_started",
                            {{"request", this->requestId},
                             {"upstream", upstream},
                             {"first", first.attempt->upstream().id},
                             {"waitedMs", this->context.loop.now() - first.started}});
}

void CallHedge::onRefused(HedgeRefusal refusal)
{
    this->context.metrics.recordHedgeRefusal(this->subject.service, nameOf(refusal));
}

void CallHedge::onAnswer(int number, const std::string &upstream, absl::Time started, bool measured)
{
    if (std::exchange(this->hasAnswer, true)) {
        return;
    }
    this->timer.cancel();
    const absl::Time now = this->context.loop.now();
    if (measured) {
        this->context.planner.recordAnswer(this->subject, upstream, now - started, now);
    }
    if (number == this->hedgeNumber) {
        this->conclude("won");
    }
}

// How long a hedge ran before the first attempt answered says nothing, because it is shorter than an ordinary answer.
void CallHedge::onLost(const RunningAttempt &attempt)
{
    const absl::Time now = this->context.loop.now();
    if (attempt.number == this->hedgeNumber) {
        this->conclude("cancelled");
    } else {
        this->context.planner.recordLost(this->subject, attempt.attempt->upstream().id, now - attempt.started, now);
    }
}

void CallHedge::onFailed(int number)
{
    if (number == this->hedgeNumber) {
        this->conclude("failed");
    }
}

void CallHedge::onCallEnded()
{
    this->timer.cancel();
    this->conclude("cancelled");
}

bool CallHedge::answered() const
{
    return this->hasAnswer;
}

void CallHedge::conclude(const std::string &end)
{
    if (this->hedgeNumber == 0 || std::exchange(this->concluded, true)) {
        return;
    }
    this->context.metrics.recordHedge(this->subject.service, end);
    this->context.log.write("hedge_ended", {{"request", this->requestId}, {"end", end}});
}

} // namespace Bergamotramp
