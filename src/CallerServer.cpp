#include "CallerServer.h"

#include <httplib.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include "HttpListener.h"
#include "SseReader.h"

namespace Bergamotramp {

namespace {

constexpr const char *jsonType = "application/json";
constexpr const char *jsonLinesType = "application/x-ndjson";
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusPayloadTooLarge = 413;
constexpr int statusInternalError = 500;
constexpr int statusUnavailable = 503;
constexpr std::size_t maxKeyLength = 256;
constexpr std::int64_t maxDeadlineMilliseconds = 86'400'000;
// Threads in addition to the connection limit, so that requests over the limit get an error response.
constexpr std::size_t rejectionThreads = 8;

CallerError badRequest(const std::string &code, const std::string &message)
{
    return CallerError({statusBadRequest, code, message, RunState::NotRun});
}

void sendProblem(httplib::Response &response, const CallerProblem &problem)
{
    response.status = problem.status;
    if (problem.retryAfter > absl::ZeroDuration()) {
        const std::int64_t seconds = absl::ToInt64Seconds(absl::Ceil(problem.retryAfter, absl::Seconds(1)));
        response.set_header("Retry-After", absl::StrCat(seconds));
    }
    response.set_content(problem.toJson().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), jsonType);
}

std::string organisationOf(const httplib::Request &request)
{
    const std::string name = request.get_header_value("X-Organisation");
    if (name.size() > maxKeyLength || name.find('/') != std::string::npos) {
        throw badRequest("invalid_organisation", "X-Organisation may hold up to 256 characters without '/'");
    }
    return name.empty() ? "default" : name;
}

std::string keyOf(const httplib::Request &request)
{
    std::string key = request.get_header_value("Idempotency-Key");
    if (key.size() > maxKeyLength) {
        throw badRequest("invalid_key", "Idempotency-Key may hold up to 256 characters");
    }
    return key;
}

std::optional<absl::Duration> timeLeftOf(const httplib::Request &request)
{
    if (!request.has_header("X-Deadline-Ms")) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(request.get_header_value("X-Deadline-Ms"), &milliseconds) || milliseconds < 1 || milliseconds > maxDeadlineMilliseconds) {
        throw badRequest("invalid_deadline", "X-Deadline-Ms must be an integer from 1 to 86400000");
    }
    return absl::Milliseconds(milliseconds);
}

CallerRequest toCallerRequest(const httplib::Request &request, std::string body)
{
    CallerRequest result;
    result.organisation = organisationOf(request);
    result.key = keyOf(request);
    result.method = request.method;
    result.target = request.target;
    result.contentType = request.get_header_value("Content-Type");
    result.body = std::move(body);
    result.timeLeft = timeLeftOf(request);
    return result;
}

/** Sends the pieces of a streamed response and tells the producer once whether all of them were sent. */
class StreamSender
{
public:
    StreamSender(StreamedResponse streamedResponse, std::string firstPiece, std::shared_ptr<void> active)
        : streamedResponse(std::move(streamedResponse)), firstPiece(std::move(firstPiece)), active(std::move(active))
    {
    }
    ~StreamSender()
    {
        this->streamedResponse.closed(this->allSent);
    }
    StreamSender(const StreamSender &) = delete;
    StreamSender &operator=(const StreamSender &) = delete;

    bool run(httplib::DataSink &sink)
    {
        bool open = sink.write(this->firstPiece.data(), this->firstPiece.size());
        try {
            while (open) {
                const std::optional<std::string> piece = this->streamedResponse.next();
                if (!piece) {
                    this->allSent = true;
                    sink.done();
                    return true;
                }
                open = sink.write(piece->data(), piece->size());
            }
        } catch (const CallerError &error) {
            // The status line is already sent, so the error is sent as an event, and the end marker is omitted.
            const std::string event = sseFrame(error.problem().toJson().dump());
            sink.write(event.data(), event.size());
            sink.done();
            return true;
        }
        return false;
    }

private:
    StreamedResponse streamedResponse;
    std::string firstPiece;
    std::shared_ptr<void> active;
    bool allSent = false;
};

void sendStream(httplib::Response &response, StreamedResponse streamedResponse, std::shared_ptr<void> active)
{
    std::optional<std::string> first;
    try {
        first = streamedResponse.next();
    } catch (...) {
        streamedResponse.closed(false);
        throw;
    }
    const std::string type = streamedResponse.contentType;
    const auto sender = std::make_shared<StreamSender>(std::move(streamedResponse), first.value_or(""), std::move(active));
    response.set_chunked_content_provider(type, [sender](std::size_t, httplib::DataSink &sink) { return sender->run(sink); });
}

void sendResponse(httplib::Response &response, CallerResponse callerResponse, std::shared_ptr<void> active)
{
    if (auto *completeResponse = std::get_if<CompleteResponse>(&callerResponse)) {
        response.status = completeResponse->status;
        response.set_content(std::move(completeResponse->body), completeResponse->contentType);
        return;
    }
    sendStream(response, std::move(std::get<StreamedResponse>(callerResponse)), std::move(active));
}

void sendJson(httplib::Response &response, const nlohmann::json &body)
{
    response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), jsonType);
}

} // namespace

CallerServer::CallerServer(Limits limits, Hooks hooks) : limits(limits), hooks(std::move(hooks)), server(std::make_unique<httplib::Server>())
{
    configureServer(*this->server, this->limits.connections + rejectionThreads);
    this->server->set_payload_max_length(this->limits.jobBytes);
    this->server->set_error_handler([](const httplib::Request &request, httplib::Response &response) {
        if (response.body.empty() && response.status != statusNotFound) {
            sendProblem(response, {response.status, "bad_request", "the request can't be read as HTTP", RunState::NotRun});
        } else if (response.body.empty()) {
            sendProblem(response, {response.status, "not_found", absl::StrCat("no route for ", request.method, " ", request.path), RunState::NotRun});
        }
    });
    this->addOnlineRoutes();
    this->addBatchRoutes();
}

CallerServer::~CallerServer()
{
    this->stop();
}

void CallerServer::bind(const std::string &address)
{
    this->boundAddress = bindServer(*this->server, address);
}

void CallerServer::start()
{
    this->thread = listenOnThread(*this->server);
}

const std::string &CallerServer::address() const
{
    return this->boundAddress;
}

int CallerServer::active() const
{
    return this->activeRequests;
}

void CallerServer::stop()
{
    if (this->thread.joinable()) {
        this->server->stop();
        this->thread.join();
    }
}

void CallerServer::handleRequest(httplib::Response &response, const std::function<void(ActiveRequest)> &handle)
{
    const int activeBefore = this->activeRequests++;
    const ActiveRequest active(nullptr, [this](void *) { --this->activeRequests; });
    try {
        if (activeBefore >= static_cast<int>(this->limits.connections)) {
            throw CallerError({statusUnavailable, "too_many_requests", "this host serves its limit of requests", RunState::NotRun, absl::Seconds(1)});
        }
        handle(active);
    } catch (const CallerError &error) {
        sendProblem(response, error.problem());
    } catch (const std::exception &error) {
        LOG(ERROR) << "request handler failed: " << error.what();
        sendProblem(response, {statusInternalError, "internal_error", "the host failed to handle the request", RunState::Unknown});
    }
}

std::string CallerServer::readBody(const httplib::Request &request, const httplib::ContentReader &reader) const
{
    std::string body;
    // httplib does not read a body that is longer than its payload limit, which is the limit for batch jobs.
    bool tooLong = request.get_header_value<std::uint64_t>("Content-Length") > this->limits.bodyBytes;
    // A body over the limit is read to its end, so that the connection stays usable and the caller receives the error.
    const bool whole = reader([this, &body, &tooLong](const char *data, std::size_t size) {
        tooLong = tooLong || body.size() + size > this->limits.bodyBytes;
        if (!tooLong) {
            body.append(data, size);
        }
        return true;
    });
    if (tooLong) {
        throw CallerError(
            {statusPayloadTooLarge, "body_too_large", absl::StrCat("the body may hold up to ", this->limits.bodyBytes, " bytes"), RunState::NotRun});
    }
    // The truncated body of a caller that disconnected could itself be a valid request, so it is never run.
    if (!whole) {
        throw badRequest("incomplete_body", "the body ended early");
    }
    return body;
}

void CallerServer::callHook(const httplib::Request &request,
                            httplib::Response &response,
                            const std::function<CallerResponse(const CallerRequest &)> &hook,
                            std::string body,
                            ActiveRequest active)
{
    sendResponse(response, hook(toCallerRequest(request, std::move(body))), std::move(active));
}

void CallerServer::addOnlineRoutes()
{
    const auto model = [this](const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &reader) {
        this->handleRequest(
            response, [&](ActiveRequest active) { this->callHook(request, response, this->hooks.model, this->readBody(request, reader), std::move(active)); });
    };
    const auto plainServiceWithBody = [this](const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &reader) {
        this->handleRequest(response, [&](ActiveRequest active) {
            this->callHook(request, response, this->hooks.plainService, this->readBody(request, reader), std::move(active));
        });
    };
    const auto plainServiceWithoutBody = [this](const httplib::Request &request, httplib::Response &response) {
        this->handleRequest(response, [&](ActiveRequest active) { this->callHook(request, response, this->hooks.plainService, "", std::move(active)); });
    };
    this->server->Post("/v1/completions", model);
    this->server->Post("/v1/chat/completions", model);
    this->server->Get("/s/.+", plainServiceWithoutBody);
    this->server->Post("/s/.+", plainServiceWithBody);
    this->server->Put("/s/.+", plainServiceWithBody);
    this->server->Patch("/s/.+", plainServiceWithBody);
    this->server->Delete("/s/.+", plainServiceWithoutBody);
    this->server->Get("/v1/models", [this](const httplib::Request &, httplib::Response &response) {
        this->handleRequest(response, [&](const ActiveRequest &) { sendJson(response, this->hooks.models()); });
    });
    this->server->Get("/v1/entries", [this](const httplib::Request &, httplib::Response &response) {
        this->handleRequest(response, [&](const ActiveRequest &) { sendJson(response, this->hooks.entryEndpoints()); });
    });
    this->server->Get("/v1/requests/(.+)", [this](const httplib::Request &request, httplib::Response &response) {
        this->handleRequest(response, [&](const ActiveRequest &) {
            const std::string service = request.get_param_value("service");
            if (service.empty()) {
                throw badRequest("missing_service", "the parameter service is missing");
            }
            sendResponse(response, this->hooks.recordedResponse(organisationOf(request), service, request.matches[1]), nullptr);
        });
    });
}

void CallerServer::addBatchRoutes()
{
    this->server->Post("/v1/batches", [this](const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &reader) {
        this->handleRequest(response, [&](const ActiveRequest &) { this->submitJob(request, response, reader); });
    });
    this->server->Get("/v1/batches", [this](const httplib::Request &request, httplib::Response &response) {
        this->handleRequest(response, [&](const ActiveRequest &) { sendJson(response, this->hooks.listJobs(organisationOf(request))); });
    });
    this->server->Get("/v1/batches/([^/]+)", [this](const httplib::Request &request, httplib::Response &response) {
        this->handleRequest(response, [&](const ActiveRequest &) { sendJson(response, this->hooks.jobStatus(organisationOf(request), request.matches[1])); });
    });
    this->server->Post("/v1/batches/([^/]+)/cancel", [this](const httplib::Request &request, httplib::Response &response) {
        this->handleRequest(response, [&](const ActiveRequest &) { sendJson(response, this->hooks.cancelJob(organisationOf(request), request.matches[1])); });
    });
    this->server->Get("/v1/batches/([^/]+)/results", [this](const httplib::Request &request, httplib::Response &response) {
        this->handleRequest(response, [&](ActiveRequest active) { this->sendResults(request, response, std::move(active)); });
    });
}

void CallerServer::submitJob(const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &reader)
{
    const std::string key = keyOf(request);
    const std::string service = request.get_param_value("service");
    if (key.empty()) {
        throw badRequest("missing_key", "a batch job needs an Idempotency-Key, so that sending it again finds it");
    }
    if (service.empty()) {
        throw badRequest("missing_service", "the parameter service is missing");
    }
    std::int64_t dueSeconds = 0;
    std::optional<absl::Duration> due;
    if (request.has_param("due_seconds")) {
        if (!absl::SimpleAtoi(request.get_param_value("due_seconds"), &dueSeconds) || dueSeconds < 1) {
            throw badRequest("invalid_due", "due_seconds must be a positive integer");
        }
        due = absl::Seconds(dueSeconds);
    }
    const JobUpload upload = this->hooks.openJob(organisationOf(request), service, key, due);
    std::optional<CallerError> problem;
    const bool whole = reader([&upload, &problem](const char *data, std::size_t size) {
        try {
            if (!problem) {
                upload.append(std::string_view(data, size));
            }
        } catch (const CallerError &error) {
            problem = error;
        }
        return true;
    });
    if (problem) {
        throw CallerError(*problem);
    }
    if (!whole) {
        throw CallerError({statusPayloadTooLarge,
                           "job_too_large",
                           absl::StrCat("the body is incomplete or larger than ", this->limits.jobBytes, " bytes"),
                           RunState::NotRun});
    }
    sendJson(response, upload.commit());
}

void CallerServer::sendResults(const httplib::Request &request, httplib::Response &response, ActiveRequest active)
{
    const std::string organisation = organisationOf(request);
    const std::string id = request.matches[1];
    // Throws for an unknown job while the error status can still be sent.
    this->hooks.jobStatus(organisation, id);
    response.status = statusOk;
    response.set_chunked_content_provider(jsonLinesType, [this, organisation, id, active = std::move(active)](std::size_t, httplib::DataSink &sink) {
        try {
            this->hooks.jobResults(organisation, id, [&sink](std::string_view piece) { return sink.write(piece.data(), piece.size()); });
            sink.done();
            return true;
        } catch (const std::exception &error) {
            // The response ends without its last chunk, which shows the caller that it is incomplete.
            LOG(WARNING) << "sending the results of job " << id << " failed: " << error.what();
            return false;
        }
    });
}

} // namespace Bergamotramp
