#include "UpstreamAttempt.h"

namespace Bergamotramp {

namespace {

constexpr int firstSuccessStatus = 200;
constexpr int firstRedirectStatus = 300;
constexpr int firstServerErrorStatus = 500;
// An upstream may drop an idle connection without notice and then resets it on the next request. A request that must not be
// sent again therefore uses a connection that was in use within this time, or a new one.
constexpr absl::Duration maxIdleForNonRepeatable = absl::Milliseconds(200);

AttemptOutcome outcomeOf(const HttpHead &head)
{
    return head.status >= firstServerErrorStatus ? AttemptOutcome::Failed : AttemptOutcome::Completed;
}

} // namespace

UpstreamAttempt::UpstreamAttempt(const AttemptContext &context, UpstreamInfo upstream, bool batch, bool stream, Hooks hooks)
    : context(context), target(std::move(upstream)), batch(batch), stream(stream), hooks(std::move(hooks)), events([this](const StreamEvent &event) {
        this->onEvent(event);
    })
{
    this->context.load.addRequest(this->target.id, this->batch);
    this->lastActivityAt = this->context.loop.now();
}

UpstreamAttempt::~UpstreamAttempt()
{
    this->stop();
}

void UpstreamAttempt::stop()
{
    this->hooks = {};
    this->call.cancel();
    this->takeBody();
    if (std::exchange(this->countedInLoad, false)) {
        this->context.load.removeRequest(this->target.id, this->batch);
    }
}

void UpstreamAttempt::stopAndDestroyLater(EventLoop &loop, std::unique_ptr<UpstreamAttempt> attempt)
{
    if (attempt) {
        attempt->stop();
        loop.post([keptAlive = std::shared_ptr<UpstreamAttempt>(std::move(attempt))] {});
    }
}

void UpstreamAttempt::send(const HttpRequest &request, const std::string &requestId, bool repeatable)
{
    if (this->context.requestSent) {
        this->context.requestSent(this->target);
    }
    this->call = this->context.client.send(this->target.address,
                                           request,
                                           {.matchesRequest = [matchesRequest = this->context.protocol.matchesRequest,
                                                               requestId](const HttpHead &received) { return matchesRequest(received, requestId); },
                                            .head = [this](const HttpHead &received) { this->onHead(received); },
                                            .body = [this](std::string_view bytes) { this->onBody(bytes); },
                                            .completed = [this] { this->onCompleted(); },
                                            .failed = [this](HttpCallError error) { this->onFailed(error); },
                                            .isDistinguishable = [this] { return this->copyIsDistinguishable(); }},
                                           repeatable ? absl::InfiniteDuration() : maxIdleForNonRepeatable);
}

// After a refusal or an error the same request, with the same id, may be sent to the upstream again. The id then does not tell a late
// copy of the earlier answer from the answer to the later request.
bool UpstreamAttempt::copyIsDistinguishable() const
{
    return this->context.protocol.namesRequest(this->head) && !this->context.protocol.statesNotRun(this->head) && this->head.status < firstServerErrorStatus;
}

const UpstreamInfo &UpstreamAttempt::upstream() const
{
    return this->target;
}

absl::Time UpstreamAttempt::lastActivity() const
{
    return this->lastActivityAt;
}

void UpstreamAttempt::onHead(const HttpHead &received)
{
    this->lastActivityAt = this->context.loop.now();
    this->context.health.recordActivity(this->target.id, this->lastActivityAt);
    this->head = received;
    this->reportIfLeaving(received);
    this->reportLimit(received);
    this->streaming = this->stream && received.status >= firstSuccessStatus && received.status < firstRedirectStatus;
    if (this->streaming && this->hooks.streamStarted) {
        this->hooks.streamStarted(this->head);
    }
}

void UpstreamAttempt::reportIfLeaving(const HttpHead &received) const
{
    if (this->context.statedLeaving && this->context.protocol.statesLeaving(received)) {
        this->context.statedLeaving({.expected = this->target, .sender = this->context.protocol.respondingUpstream(received)});
    }
}

void UpstreamAttempt::reportLimit(const HttpHead &received) const
{
    if (this->context.statedLimit && !this->context.protocol.misdirected(received)) {
        this->context.statedLimit({.upstream = this->target, .requestsPerSecond = this->context.protocol.statedLimit(received)});
    }
}

void UpstreamAttempt::onBody(std::string_view bytes)
{
    const absl::Time now = this->context.loop.now();
    this->context.health.recordActivity(this->target.id, now);
    bool accepted = true;
    if (this->streaming) {
        accepted = this->events.feed(bytes);
    } else {
        this->lastActivityAt = now;
        this->answerBegun = true;
        accepted = this->collect(bytes);
    }
    if (!accepted) {
        this->call.cancel();
        this->onFailed(HttpCallError::BadResponse);
    }
}

bool UpstreamAttempt::collect(std::string_view bytes)
{
    if (this->body.size() + bytes.size() > maxCollectedBytes || !this->context.collectedBytes.add(this->body.size(), bytes.size())) {
        return false;
    }
    this->body.append(bytes);
    return true;
}

// An attempt that was stopped may be destroyed after the host that counts the bytes, so it no longer uses the count.
std::string UpstreamAttempt::takeBody()
{
    if (this->body.empty()) {
        return {};
    }
    this->context.collectedBytes.remove(this->body.size());
    return std::exchange(this->body, {});
}

void UpstreamAttempt::onEvent(const StreamEvent &event)
{
    if (event.id || !event.data.empty()) {
        this->lastActivityAt = this->context.loop.now();
        this->answerBegun = true;
    }
    if (this->hooks.event) {
        const auto report = this->hooks.event;
        report(event);
    }
}

void UpstreamAttempt::onCompleted()
{
    AttemptResult result{.outcome = AttemptOutcome::Completed, .head = this->head, .body = this->takeBody()};
    if (this->context.protocol.statesNotRun(this->head)) {
        result.outcome = AttemptOutcome::NotRun;
        result.misdirected = this->context.protocol.misdirected(this->head);
        if (!result.misdirected) {
            this->context.health.recordFull(this->target.id, this->context.loop.now());
        }
    } else if (!this->streaming) {
        result.outcome = outcomeOf(this->head);
    } else if (!this->events.atBoundary()) {
        // The response is complete as HTTP but ends in the middle of an event, so the stream was cut off.
        result.outcome = AttemptOutcome::MayHaveRun;
    }
    this->finish(std::move(result));
}

void UpstreamAttempt::onFailed(HttpCallError error)
{
    const absl::Time now = this->context.loop.now();
    AttemptResult result{.outcome = AttemptOutcome::MayHaveRun};
    result.connectionLost = error != HttpCallError::BadResponse;
    if (error == HttpCallError::NotSent) {
        result.outcome = AttemptOutcome::NotRun;
        this->context.health.recordFailure(this->target.id, now);
    }
    this->finish(std::move(result));
}

void UpstreamAttempt::finish(AttemptResult result)
{
    result.answerBegun = this->answerBegun;
    this->takeBody();
    if (std::exchange(this->countedInLoad, false)) {
        this->context.load.removeRequest(this->target.id, this->batch);
    }
    const auto ended = std::move(this->hooks.ended);
    this->hooks = {};
    if (ended) {
        ended(result);
    }
}

} // namespace Bergamotramp
