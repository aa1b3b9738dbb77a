#include "UpstreamAttempt.h"

namespace Bergamotramp {

namespace {

constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;
constexpr int firstServerError = 500;
// An upstream may forget an idle connection without notice and resets what is sent on it next. A request that can't be sent
// again goes over a connection that was in use a moment ago, or over a new one.
constexpr absl::Duration longestIdleForOnce = absl::Milliseconds(200);

AttemptEnd endOf(const HttpHead &head)
{
    return head.status >= firstServerError ? AttemptEnd::Failed : AttemptEnd::Completed;
}

} // namespace

UpstreamAttempt::UpstreamAttempt(const AttemptContext &context, UpstreamInfo upstream, bool batch, bool stream, Hooks hooks)
    : context(context), target(std::move(upstream)), batch(batch), stream(stream), hooks(std::move(hooks)), events([this](const StreamEvent &event) {
        if (this->hooks.event) {
            const auto report = this->hooks.event;
            report(event);
        }
    })
{
    this->context.load.add(this->target.id, this->batch);
    this->progress = this->context.loop.now();
}

UpstreamAttempt::~UpstreamAttempt()
{
    this->stop();
}

void UpstreamAttempt::stop()
{
    this->hooks = {};
    this->call.cancel();
    if (std::exchange(this->counted, false)) {
        this->context.load.remove(this->target.id, this->batch);
    }
}

void UpstreamAttempt::retire(EventLoop &loop, std::unique_ptr<UpstreamAttempt> attempt)
{
    if (attempt) {
        attempt->stop();
        loop.post([ended = std::shared_ptr<UpstreamAttempt>(std::move(attempt))] {});
    }
}

void UpstreamAttempt::send(const HttpRequest &request, const std::string &requestId, bool repeatable)
{
    this->call = this->context.client.send(
        this->target.address,
        request,
        {.belongs = [belongs = this->context.protocol.belongs, requestId](const HttpHead &received) { return belongs(received, requestId); },
         .head = [this](const HttpHead &received) { this->onHead(received); },
         .body = [this](std::string_view bytes) { this->onBody(bytes); },
         .completed = [this] { this->onCompleted(); },
         .failed = [this](HttpCallError error) { this->onFailed(error); }},
        repeatable ? absl::InfiniteDuration() : longestIdleForOnce);
}

const UpstreamInfo &UpstreamAttempt::upstream() const
{
    return this->target;
}

absl::Time UpstreamAttempt::lastProgress() const
{
    return this->progress;
}

void UpstreamAttempt::onHead(const HttpHead &received)
{
    this->progress = this->context.loop.now();
    this->context.health.heard(this->target.id, this->progress);
    this->head = received;
    this->streaming = this->stream && received.status >= firstSuccess && received.status < firstRedirect;
    if (this->streaming && this->hooks.streamStarted) {
        this->hooks.streamStarted(this->head);
    }
}

void UpstreamAttempt::onBody(std::string_view bytes)
{
    this->progress = this->context.loop.now();
    this->context.health.heard(this->target.id, this->progress);
    if (!this->streaming) {
        this->body.append(bytes);
        return;
    }
    this->events.feed(bytes);
}

void UpstreamAttempt::onCompleted()
{
    AttemptResult result{.end = AttemptEnd::Completed, .head = this->head, .body = std::move(this->body)};
    if (this->context.protocol.statesNotRun(this->head)) {
        result.end = AttemptEnd::NotRun;
        result.misdirected = this->context.protocol.misdirected(this->head);
        if (!result.misdirected) {
            this->context.health.full(this->target.id, this->context.loop.now());
        }
    } else if (!this->streaming) {
        result.end = endOf(this->head);
    } else if (!this->events.atBoundary()) {
        // The stream was cut inside an event although its framing looks complete.
        result.end = AttemptEnd::MayHaveRun;
    }
    this->finish(std::move(result));
}

void UpstreamAttempt::onFailed(HttpCallError error)
{
    const absl::Time now = this->context.loop.now();
    AttemptResult result{.end = AttemptEnd::MayHaveRun};
    result.disconnected = error != HttpCallError::BadResponse;
    if (error == HttpCallError::NotSent) {
        result.end = AttemptEnd::NotRun;
        this->context.health.failed(this->target.id, now);
    }
    this->finish(std::move(result));
}

void UpstreamAttempt::finish(AttemptResult result)
{
    if (std::exchange(this->counted, false)) {
        this->context.load.remove(this->target.id, this->batch);
    }
    const auto ended = std::move(this->hooks.ended);
    this->hooks = {};
    if (ended) {
        ended(result);
    }
}

} // namespace Bergamotramp
