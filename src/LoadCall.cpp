#include "LoadCall.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include "HostClient.h"
#include "StreamedCompletion.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration connectTimeout = absl::Seconds(2);
// The host answers at the deadline; a caller that gives up at the same moment would miss the typed error.
constexpr absl::Duration patience = absl::Seconds(2);
constexpr const char *streamType = "text/event-stream";

const char *codeOf(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::NotSent:
        return "unreachable";
    case CallOutcome::Broken:
        return "connection_broken";
    case CallOutcome::Silent:
        return "connection_silent";
    case CallOutcome::Cancelled:
        return "caller_gave_up";
    case CallOutcome::Completed:
        break;
    }
    return "incomplete_answer";
}

} // namespace

/** What has arrived of one answer. */
struct LoadCall::Progress {
    explicit Progress(LoadRecord &record, absl::Time intended) : completion([this, &record, intended](std::string_view) { this->token(record, intended); })
    {
    }

    void token(LoadRecord &record, absl::Time intended)
    {
        const absl::Time now = absl::Now();
        if (record.tokens++ == 0) {
            record.firstTokenMs = absl::ToDoubleMilliseconds(now - intended);
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

LoadCall::LoadCall(const LoadPlan &plan, absl::Time start, ExpectedText expectedText)
    : plan(plan), start(start), expectedText(std::move(expectedText)), client(connectTimeout)
{
}

LoadRecord LoadCall::begin(const PlannedRequest &request) const
{
    LoadRecord record;
    record.stream = request.stream;
    record.number = request.number;
    record.straggler = request.straggler;
    record.intendedMs = absl::ToDoubleMilliseconds(request.at);
    record.sendDelayMs = absl::ToDoubleMilliseconds(absl::Now() - (this->start + request.at));
    return record;
}

LoadRecord LoadCall::notSent(const PlannedRequest &request, const std::string &code) const
{
    LoadRecord record = this->begin(request);
    record.endedMs = record.sendDelayMs;
    record.code = code;
    record.state = "not_run";
    return record;
}

LoadRecord LoadCall::run(const PlannedRequest &request, const std::string &entry)
{
    const LoadStream &stream = this->plan.streams[request.stream];
    const absl::Time intended = this->start + request.at;
    const absl::Time giveUp = absl::Now() + stream.deadline + patience;
    LoadRecord record = this->begin(request);
    record.entry = entry;
    Progress progress(record, intended);
    const UpstreamClient::Receiver receiver{[&progress](int, const std::string &contentType) { progress.isStream = contentType.starts_with(streamType); },
                                            [&progress, giveUp](std::string_view piece) {
                                                if (progress.isStream) {
                                                    progress.completion.feed(piece);
                                                } else {
                                                    progress.body.append(piece);
                                                }
                                                return absl::Now() < giveUp;
                                            }};
    CallCancellation cancellation;
    const CallResult result = this->client.stream(entry, this->callOf(request), cancellation, receiver);
    record.endedMs = absl::ToDoubleMilliseconds(absl::Now() - intended);
    this->judge(request, result, progress, record);
    return record;
}

UpstreamCall LoadCall::callOf(const PlannedRequest &request) const
{
    const LoadStream &stream = this->plan.streams[request.stream];
    const std::string id = requestId(this->plan, request);
    UpstreamCall call;
    call.silenceTimeout = stream.deadline + patience;
    if (!stream.organisation.empty()) {
        call.headers.emplace_back("X-Organisation", stream.organisation);
    }
    if (stream.keyed || stream.kind == LoadKind::BatchItem) {
        call.headers.emplace_back("Idempotency-Key", id);
    }
    nlohmann::json body = {{"model", stream.service}, {"prompt", promptOf(id, request.promptBytes)}, {"max_tokens", request.maxTokens}};
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
        call.body = stream.method == "GET" ? "" : promptOf(id, request.promptBytes);
        return call;
    }
    body["stream"] = true;
    call.path = "/v1/completions";
    call.body = body.dump();
    return call;
}

void LoadCall::judge(const PlannedRequest &request, const CallResult &result, const Progress &progress, LoadRecord &record) const
{
    record.status = result.status;
    const bool wholeResponse = result.outcome == CallOutcome::Completed;
    const std::string error = progress.isStream ? progress.completion.error() : progress.body;
    if (!error.empty() && wholeResponse && (progress.isStream || result.status < 200 || result.status >= 300)) {
        const HostProblem problem = problemOf(result.status, error);
        record.code = problem.code;
        record.state = problem.state;
        return;
    }
    record.state = result.outcome == CallOutcome::NotSent ? "not_run" : "unknown";
    record.code = wholeResponse ? this->problemOfAnswer(request, progress) : codeOf(result.outcome);
    if (!record.code.empty()) {
        return;
    }
    record.state = "run";
    record.answered = true;
    record.withinDeadline = record.endedMs <= absl::ToDoubleMilliseconds(this->plan.streams[request.stream].deadline);
}

// Empty when the answer is whole and the request's own.
std::string LoadCall::problemOfAnswer(const PlannedRequest &request, const Progress &progress) const
{
    const LoadStream &stream = this->plan.streams[request.stream];
    const std::string id = requestId(this->plan, request);
    if (stream.kind == LoadKind::Plain) {
        return stream.echo && progress.body.find(id) == std::string::npos ? "wrong_answer" : "";
    }
    if (stream.kind == LoadKind::BatchItem) {
        return "";
    }
    if (!progress.completion.complete()) {
        return "incomplete_answer";
    }
    if (!this->plan.verifyText || !this->expectedText) {
        return "";
    }
    return progress.completion.text() == this->expectedText(promptOf(id, request.promptBytes), request.maxTokens) ? "" : "wrong_answer";
}

} // namespace Bergamotramp
