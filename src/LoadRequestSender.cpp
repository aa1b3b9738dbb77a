#include "LoadRequestSender.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include "HostClient.h"
#include "StreamedCompletion.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration connectTimeout = absl::Seconds(2);
// The host reports a missed deadline at the deadline itself. A caller that gave up at the same time would miss the typed error.
constexpr absl::Duration deadlineGrace = absl::Seconds(2);
constexpr const char *eventStreamContentType = "text/event-stream";

const char *errorCodeFor(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::NotSent:
        return "unreachable";
    case CallOutcome::ConnectionLost:
        return "connection_broken";
    case CallOutcome::TimedOut:
        return "connection_silent";
    case CallOutcome::Cancelled:
        return "caller_gave_up";
    case CallOutcome::Completed:
        break;
    }
    return "incomplete_answer";
}

} // namespace

/** The part of one response that has arrived so far. */
struct LoadRequestSender::ReceivedResponse {
    explicit ReceivedResponse(LoadRecord &record, absl::Time intendedTime)
        : completion([this, &record, intendedTime](std::string_view) { this->addToken(record, intendedTime); })
    {
    }

    void addToken(LoadRecord &record, absl::Time intendedTime)
    {
        const absl::Time now = absl::Now();
        if (record.tokens++ == 0) {
            record.firstTokenMs = absl::ToDoubleMilliseconds(now - intendedTime);
        } else {
            record.tokenGapsMs.push_back(static_cast<float>(absl::ToDoubleMilliseconds(now - this->lastToken)));
        }
        this->lastToken = now;
    }

    StreamedCompletion completion;
    bool isStream = false;
    std::string body;
    absl::Time lastToken;
};

LoadRequestSender::LoadRequestSender(const LoadPlan &plan, absl::Time start, ExpectedText expectedText)
    : plan(plan), start(start), expectedText(std::move(expectedText)), client(connectTimeout)
{
}

LoadRecord LoadRequestSender::makeRecord(const PlannedRequest &request) const
{
    LoadRecord record;
    record.stream = request.stream;
    record.number = request.number;
    record.straggler = request.straggler;
    record.intendedMs = absl::ToDoubleMilliseconds(request.intendedTime);
    record.sendDelayMs = absl::ToDoubleMilliseconds(absl::Now() - (this->start + request.intendedTime));
    return record;
}

LoadRecord LoadRequestSender::makeNotSentRecord(const PlannedRequest &request, const std::string &code) const
{
    LoadRecord record = this->makeRecord(request);
    record.endedMs = record.sendDelayMs;
    record.code = code;
    record.state = "not_run";
    return record;
}

LoadRecord LoadRequestSender::send(const PlannedRequest &request, const std::string &entry)
{
    const LoadStream &stream = this->plan.streams[request.stream];
    const absl::Time intendedTime = this->start + request.intendedTime;
    const absl::Time abortTime = absl::Now() + stream.deadline + deadlineGrace;
    LoadRecord record = this->makeRecord(request);
    record.entry = entry;
    ReceivedResponse received(record, intendedTime);
    const UpstreamClient::Receiver receiver{
        [&received](int, const std::string &contentType) { received.isStream = contentType.starts_with(eventStreamContentType); },
        [&received, abortTime](std::string_view bytes) {
            if (received.isStream) {
                received.completion.feed(bytes);
            } else {
                received.body.append(bytes);
            }
            return absl::Now() < abortTime;
        }};
    CallCancellation cancellation;
    const CallResult result = this->client.stream(entry, this->buildCall(request), cancellation, receiver);
    record.endedMs = absl::ToDoubleMilliseconds(absl::Now() - intendedTime);
    this->recordResult(request, result, received, record);
    return record;
}

UpstreamCall LoadRequestSender::buildCall(const PlannedRequest &request) const
{
    const LoadStream &stream = this->plan.streams[request.stream];
    const std::string id = requestId(this->plan, request);
    UpstreamCall call;
    call.silenceTimeout = stream.deadline + deadlineGrace;
    if (!stream.organisation.empty()) {
        call.headers.emplace_back("X-Organisation", stream.organisation);
    }
    if (stream.withIdempotencyKey || stream.kind == LoadKind::BatchItem) {
        call.headers.emplace_back("Idempotency-Key", id);
    }
    nlohmann::json body = {{"model", stream.service}, {"prompt", makePrompt(id, request.promptBytes)}, {"max_tokens", request.maxTokens}};
    if (stream.kind == LoadKind::BatchItem) {
        call.path = absl::StrCat("/v1/batches?service=", percentEncode(stream.service));
        call.contentType = "application/jsonl";
        call.body = nlohmann::json({{"custom_id", id}, {"body", body}}).dump() + '\n';
        return call;
    }
    call.headers.emplace_back("X-Deadline-Ms", absl::StrCat(absl::ToInt64Milliseconds(stream.deadline)));
    if (stream.kind == LoadKind::Plain) {
        call.method = stream.method;
        call.path = absl::StrCat("/s/", percentEncode(stream.service), stream.path);
        call.body = stream.method == "GET" ? "" : makePrompt(id, request.promptBytes);
        return call;
    }
    body["stream"] = true;
    call.path = "/v1/completions";
    call.body = body.dump();
    return call;
}

void LoadRequestSender::recordResult(const PlannedRequest &request, const CallResult &result, const ReceivedResponse &received, LoadRecord &record) const
{
    record.status = result.status;
    const bool responseComplete = result.outcome == CallOutcome::Completed;
    const std::string errorBody = received.isStream ? received.completion.error() : received.body;
    if (!errorBody.empty() && responseComplete && (received.isStream || result.status < 200 || result.status >= 300)) {
        const HostError hostError = parseHostError(result.status, errorBody);
        record.code = hostError.code;
        record.state = hostError.state;
        return;
    }
    record.state = result.outcome == CallOutcome::NotSent ? "not_run" : "unknown";
    record.code = responseComplete ? this->checkResponse(request, received) : errorCodeFor(result.outcome);
    if (!record.code.empty()) {
        return;
    }
    record.state = "run";
    record.answered = true;
    record.withinDeadline = record.endedMs <= absl::ToDoubleMilliseconds(this->plan.streams[request.stream].deadline);
}

// Returns an error code, or an empty string when the response is complete and belongs to the request.
std::string LoadRequestSender::checkResponse(const PlannedRequest &request, const ReceivedResponse &received) const
{
    const LoadStream &stream = this->plan.streams[request.stream];
    const std::string id = requestId(this->plan, request);
    if (stream.kind == LoadKind::Plain) {
        return stream.echo && received.body.find(id) == std::string::npos ? "wrong_answer" : "";
    }
    if (stream.kind == LoadKind::BatchItem) {
        return "";
    }
    if (!received.completion.complete()) {
        return "incomplete_answer";
    }
    if (!this->plan.verifyText || !this->expectedText) {
        return "";
    }
    return received.completion.text() == this->expectedText(makePrompt(id, request.promptBytes), request.maxTokens) ? "" : "wrong_answer";
}

} // namespace Bergamotramp
