#include "RequestHandler.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <glog/logging.h>

#include "EventLog.h"
#include "ItemFailure.h"
#include "LimitedJson.h"
#include "Metrics.h"
#include "RendezvousHash.h"
#include "SseReader.h"

namespace Bergamotramp {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr const char *eventStreamType = "text/event-stream";
constexpr const char *jsonType = "application/json";
constexpr std::string_view plainPrefix = "/s/";
// Limits one run of a batch item, which has no deadline of its own.
constexpr absl::Duration batchItemTimeout = absl::Minutes(30);

CallerError badRequest(const std::string &code, const std::string &message)
{
    return CallerError({statusBadRequest, code, message, RunState::NotRun});
}

nlohmann::json parseModelBody(const std::string &body)
{
    nlohmann::json json = parseShallowJsonOrDiscard(body);
    if (!json.is_object()) {
        throw badRequest("invalid_body", "the body must be a JSON object");
    }
    if (!json.contains("model") || !json["model"].is_string()) {
        throw badRequest("invalid_body", "the field model must name a service");
    }
    for (const char *field : {"stream"}) {
        if (json.contains(field) && !json[field].is_boolean()) {
            throw badRequest("invalid_body", absl::StrCat("the field ", field, " must be true or false"));
        }
    }
    if (json.contains("max_tokens") && !json["max_tokens"].is_number_unsigned()) {
        throw badRequest("invalid_body", "the field max_tokens must be a non-negative integer");
    }
    return json;
}

ModelInterface interfaceOf(const std::string &path)
{
    return path.starts_with("/v1/chat/") ? ModelInterface::ChatCompletions : ModelInterface::Completions;
}

std::uint64_t fingerprintOf(const std::string &service, const std::string &target, const std::string &body)
{
    return stableHash(stableHash(stableHash(service), target), body);
}

RequestOutcome outcomeOf(const CallerError &error)
{
    switch (error.problem().state) {
    case RunState::NotRun:
        return RequestOutcome::NotRun;
    case RunState::Run:
        return RequestOutcome::Failed;
    case RunState::Unknown:
        break;
    }
    return RequestOutcome::Unknown;
}

std::string endMarkerFrame()
{
    return sseFrame(sseEndMarker);
}

} // namespace

/** A model exchange and its journal record. A request with an idempotency key is completed in the background if its caller disconnects. */
class RequestHandler::JournalledExchange : public std::enable_shared_from_this<JournalledExchange>
{
public:
    JournalledExchange(ModelRequest request, const ExchangeDependencies &dependencies, JournalledRequest journalled, bool keyed)
        : service(request.service.name)
        , exchange(std::move(request), dependencies)
        , journalled(std::move(journalled))
        , workers(dependencies.workers)
        , metrics(dependencies.metrics)
        , keyed(keyed)
    {
    }

    /** The next piece for a streaming caller; nothing after the last one. */
    std::optional<std::string> nextPiece()
    {
        if (this->finished) {
            return std::nullopt;
        }
        const std::optional<std::string> event = this->nextEvent();
        if (event) {
            return sseFrame(*event);
        }
        this->finished = true;
        // The end marker tells the caller that the answer is complete and, for a request with a key, stored durably. The result is
        // therefore recorded first.
        const CompleteResponse ownAnswer{200, jsonType, this->exchange.answer().toResponseBody()};
        if (this->journalled.finish(ownAnswer) != ownAnswer) {
            throw CallerError({statusConflict, "superseded", "the recorded result comes from another attempt; read it under its key", RunState::Run});
        }
        return endMarkerFrame();
    }

    /** Runs the exchange to its end and returns the recorded answer, which may come from another attempt. */
    CompleteResponse runToEnd()
    {
        while (this->nextEvent()) {
        }
        this->finished = true;
        return this->journalled.finish({200, jsonType, this->exchange.answer().toResponseBody()});
    }

    /** Called when the caller takes no more pieces. */
    void close()
    {
        if (this->finished || this->failed || !this->keyed) {
            return;
        }
        this->workers->post([self = this->shared_from_this()] {
            try {
                self->runToEnd();
            } catch (const CallerError &error) {
                LOG(WARNING) << "request failed after its caller had disconnected: " << error.what();
            }
        });
    }

private:
    std::optional<std::string> nextEvent()
    {
        try {
            std::optional<std::string> event = this->exchange.next();
            if (!event) {
                this->countOutcome(RequestOutcome::Completed);
            }
            return event;
        } catch (const CallerError &error) {
            this->failed = true;
            this->countOutcome(outcomeOf(error));
            this->journalled.abandon(error.problem().state);
            throw;
        }
    }

    void countOutcome(RequestOutcome outcome)
    {
        this->metrics->requestEnded(this->service, wire::WORK_CLASS_ONLINE, outcome, absl::Now() - this->accepted);
    }

    std::string service;
    absl::Time accepted = absl::Now();
    ModelExchange exchange;
    JournalledRequest journalled;
    WorkerPool *workers;
    Metrics *metrics;
    bool keyed;
    bool finished = false;
    bool failed = false;
};

RequestHandler::RequestHandler(const HostContext &context, ExchangeDependencies dependencies, JournalService &journal)
    : context(context), dependencies(std::move(dependencies)), journal(journal)
{
}

ServiceSpec RequestHandler::findService(const std::string &name, ServiceKind kind) const
{
    const std::shared_ptr<const Catalogue> catalogue = this->context.catalogue();
    const ServiceSpec *service = catalogue->find(name);
    if (service == nullptr || service->kind != kind) {
        throw CallerError({statusNotFound, "service_not_found", absl::StrCat("there is no such service: ", name), RunState::NotRun});
    }
    return *service;
}

std::string RequestHandler::nextRequestId()
{
    return absl::StrCat(this->context.settings.name, "-", this->context.incarnation, "-", ++this->requestCount);
}

ModelRequest RequestHandler::buildModelRequest(const CallerRequest &request, nlohmann::json body)
{
    ModelRequest result;
    result.id = this->nextRequestId();
    result.service = this->findService(body.at("model").get<std::string>(), ServiceKind::Model);
    result.kind = interfaceOf(request.target);
    result.path = request.target;
    result.organisation = request.organisation;
    result.fingerprint = fingerprintOf(result.service.name, request.target, request.body);
    result.deadline = absl::Now() + request.timeLeft.value_or(result.service.online.deadline);
    result.due = absl::InfiniteFuture();
    body["model"] = result.service.model;
    result.body = std::move(body);
    return result;
}

CallerResponse RequestHandler::handleModelRequest(const CallerRequest &request)
{
    nlohmann::json body = parseModelBody(request.body);
    const bool streamRequested = body.value("stream", false);
    ModelRequest model = this->buildModelRequest(request, std::move(body));
    const ModelInterface kind = model.kind;
    JournalledRequest journalled(this->journal, request.organisation, model.service.name, request.key);
    const std::optional<CompleteResponse> recordedAnswer = journalled.begin(model.fingerprint, true, model.deadline - absl::Now());
    if (recordedAnswer) {
        if (!streamRequested) {
            return *recordedAnswer;
        }
        auto pieces = std::make_shared<std::deque<std::string>>();
        *pieces = {sseFrame(ModelAnswer::toEvent(kind, recordedAnswer->body)), endMarkerFrame()};
        return StreamedResponse{eventStreamType,
                                [pieces]() -> std::optional<std::string> {
                                    if (pieces->empty()) {
                                        return std::nullopt;
                                    }
                                    std::string piece = std::move(pieces->front());
                                    pieces->pop_front();
                                    return piece;
                                },
                                [](bool) {}};
    }
    model.earlierMayHaveRun = journalled.earlierAttemptMayHaveRun();
    const auto stream = std::make_shared<JournalledExchange>(std::move(model), this->dependencies, std::move(journalled), !request.key.empty());
    if (!streamRequested) {
        return stream->runToEnd();
    }
    return StreamedResponse{eventStreamType, [stream] { return stream->nextPiece(); }, [stream](bool) { stream->close(); }};
}

PlainRequest RequestHandler::buildPlainRequest(const CallerRequest &request)
{
    std::string rest = request.target.substr(plainPrefix.size());
    const std::size_t slash = rest.find_first_of("/?");
    PlainRequest plain;
    plain.id = this->nextRequestId();
    plain.service = this->findService(rest.substr(0, slash), ServiceKind::Plain);
    plain.target = slash == std::string::npos ? "/" : rest.substr(slash);
    if (plain.target.front() == '?') {
        plain.target.insert(0, "/");
    }
    plain.method = request.method;
    plain.contentType = request.contentType;
    plain.body = request.body;
    plain.key = request.key;
    plain.organisation = request.organisation;
    plain.fingerprint = fingerprintOf(plain.service.name, plain.target, request.body);
    plain.deadline = absl::Now() + request.timeLeft.value_or(plain.service.online.deadline);
    plain.idempotent = plain.service.isIdempotent(plain.target);
    if (!plain.idempotent && plain.key.empty()) {
        throw badRequest("missing_key", "a request that may run only once needs an Idempotency-Key");
    }
    return plain;
}

CallerResponse RequestHandler::handlePlainRequest(const CallerRequest &request)
{
    PlainRequest plain = this->buildPlainRequest(request);
    JournalledRequest journalled(this->journal, request.organisation, plain.service.name, request.key);
    const std::optional<CompleteResponse> recordedAnswer = journalled.begin(plain.fingerprint, plain.idempotent, plain.deadline - absl::Now());
    if (recordedAnswer) {
        return *recordedAnswer;
    }
    plain.earlierMayHaveRun = journalled.earlierAttemptMayHaveRun();
    const absl::Time accepted = absl::Now();
    const auto countOutcome = [&](RequestOutcome outcome) {
        this->dependencies.metrics->requestEnded(plain.service.name, wire::WORK_CLASS_ONLINE, outcome, absl::Now() - accepted);
    };
    try {
        CallCancellation cancellation;
        CompleteResponse answer = journalled.finish(runPlainRequest(plain, this->dependencies, cancellation));
        countOutcome(RequestOutcome::Completed);
        return answer;
    } catch (const CallerError &error) {
        countOutcome(outcomeOf(error));
        journalled.abandon(error.problem().state);
        throw;
    }
}

CompleteResponse RequestHandler::recordedResult(const std::string &organisation, const std::string &service, const std::string &key)
{
    const wire::JournalRecord record = this->journal.read(JournalledRequest::scopedKey(organisation, service, key));
    switch (record.state()) {
    case wire::JOURNAL_STATE_FINISHED:
        return {static_cast<int>(record.result().status()), record.result().content_type(), record.result().body()};
    case wire::JOURNAL_STATE_NOT_FOUND:
        throw CallerError({statusNotFound, "key_not_found", "no request is recorded under this key", RunState::NotRun});
    case wire::JOURNAL_STATE_IN_PROGRESS:
        throw CallerError({statusConflict, "request_in_progress", "an attempt under this key is in progress", RunState::Unknown, absl::Seconds(1)});
    case wire::JOURNAL_STATE_UNKNOWN:
        throw CallerError({statusConflict, "outcome_unknown", "the outcome of the request under this key was lost", RunState::Unknown});
    default:
        break;
    }
    throw CallerError({503, "journal_unavailable", "the record can't be read now", RunState::Unknown, absl::Seconds(2)});
}

ItemResult RequestHandler::runItem(const JobHeader &job, const std::string &customId, const std::string &body, CallCancellation &cancellation)
{
    const std::shared_ptr<const Catalogue> catalogue = this->context.catalogue();
    const ServiceSpec *service = catalogue->find(job.service);
    if (service == nullptr) {
        return {false, true, "", "there is no such service: " + job.service};
    }
    try {
        return service->kind == ServiceKind::Model ? this->runModelItem(job, *service, body, cancellation)
                                                   : this->runPlainItem(job, *service, customId, body, cancellation);
    } catch (const CallerError &error) {
        return itemFailure(error.problem());
    } catch (const std::exception &error) {
        LOG(ERROR) << "batch item " << customId << " failed with an internal error: " << error.what();
        return {false, true, "", "internal error"};
    }
}

ItemResult RequestHandler::runModelItem(const JobHeader &job, const ServiceSpec &service, const std::string &body, CallCancellation &cancellation)
{
    nlohmann::json json = parseShallowJsonOrDiscard(body);
    if (!json.is_object()) {
        return {false, false, "", "invalid_body: the body must be a JSON object"};
    }
    const bool chat = json.contains("messages");
    ModelRequest request;
    request.id = this->nextRequestId();
    request.service = service;
    request.kind = chat ? ModelInterface::ChatCompletions : ModelInterface::Completions;
    request.path = chat ? "/v1/chat/completions" : "/v1/completions";
    request.organisation = job.organisation;
    request.workClass = wire::WORK_CLASS_BATCH;
    request.fingerprint = fingerprintOf(service.name, request.path, body);
    request.deadline = absl::Now() + batchItemTimeout;
    request.due = job.due;
    json["model"] = service.model;
    request.body = std::move(json);
    ModelExchange exchange(std::move(request), this->dependencies);
    if (!cancellation.attach([&exchange] { exchange.cancel(); })) {
        return {false, true, "", "cancelled"};
    }
    try {
        while (exchange.next()) {
        }
    } catch (...) {
        cancellation.detach();
        throw;
    }
    cancellation.detach();
    return {true, false, exchange.answer().toResponseBody(), ""};
}

ItemResult RequestHandler::runPlainItem(
    const JobHeader &job, const ServiceSpec &service, const std::string &customId, const std::string &body, CallCancellation &cancellation)
{
    const nlohmann::json json = parseShallowJsonOrDiscard(body);
    if (!json.is_object() || !json.contains("path") || !json["path"].is_string() || !json["path"].get_ref<const std::string &>().starts_with("/")) {
        return {false, false, "", "invalid_body: an item for a plain service needs a path that starts with '/'"};
    }
    PlainRequest request;
    request.id = this->nextRequestId();
    request.service = service;
    request.method = json.value("method", "POST");
    request.target = json["path"].get<std::string>();
    request.contentType = jsonType;
    request.body = json.contains("body") ? json["body"].dump() : "";
    request.organisation = job.organisation;
    request.workClass = wire::WORK_CLASS_BATCH;
    request.fingerprint = fingerprintOf(service.name, request.target, request.body);
    request.deadline = absl::Now() + service.online.deadline;
    request.idempotent = service.isIdempotent(request.target);
    // With this key, a second run of the item after a crash of its host finds the journal record of the first run.
    request.key = request.idempotent ? "" : absl::StrCat("batch:", job.key, ":", customId);
    JournalledRequest journalled(this->journal, job.organisation, service.name, request.key);
    const std::optional<CompleteResponse> recordedAnswer = journalled.begin(request.fingerprint, request.idempotent, request.deadline - absl::Now());
    CompleteResponse answer;
    try {
        answer = recordedAnswer ? *recordedAnswer : journalled.finish(runPlainRequest(request, this->dependencies, cancellation));
    } catch (const CallerError &error) {
        journalled.abandon(error.problem().state);
        throw;
    }
    if (answer.status >= statusBadRequest) {
        return {false, isRetryableStatus(answer.status), "", absl::StrCat("status ", answer.status, ": ", answer.body.substr(0, 200))};
    }
    return {true, false, answer.body, ""};
}

} // namespace Bergamotramp
