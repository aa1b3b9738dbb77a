#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <variant>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "CallerError.h"

namespace httplib {
class Server;
struct Request;
struct Response;
class ContentReader;
} // namespace httplib

namespace Bergamotramp {

/** A server can't listen on an address, for example because it is in use. */
class ServerError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** A caller's request to a model or a plain service. */
struct CallerRequest {
    std::string organisation;
    /** Idempotency key; empty for none. */
    std::string key;
    std::string method;
    /** Path and query as the caller sent them. */
    std::string target;
    std::string contentType;
    std::string body;
    /** Time until the deadline that the caller set, if any. */
    std::optional<absl::Duration> timeLeft;

    bool operator==(const CallerRequest &) const = default;
};

/** A response whose body is known before it is sent. */
struct CompleteResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;

    bool operator==(const CompleteResponse &) const = default;
};

/** A response whose body is produced while it is sent. */
struct StreamedResponse {
    std::string contentType;
    /** Waits for the next piece of the body; returns std::nullopt at the end. May throw CallerError. */
    std::function<std::optional<std::string>()> next;
    /** Called once when no further piece will be requested; the argument tells whether all pieces were sent. */
    std::function<void(bool)> closed;
};

using CallerResponse = std::variant<CompleteResponse, StreamedResponse>;

/** A batch job whose body is being received. */
struct JobUpload {
    std::function<void(std::string_view)> append;
    /** Stores the job durably and returns its status. */
    std::function<nlohmann::json()> commit;
};

/** HTTP interface for callers, with one thread per connection. */
class CallerServer
{
public:
    /** Functions that handle the requests; each may throw CallerError. */
    struct Hooks {
        std::function<CallerResponse(const CallerRequest &)> model;
        std::function<CallerResponse(const CallerRequest &)> plainService;
        std::function<CompleteResponse(const std::string &organisation, const std::string &service, const std::string &key)> recordedResponse;
        std::function<nlohmann::json()> models;
        std::function<nlohmann::json()> entryEndpoints;
        std::function<JobUpload(const std::string &organisation, const std::string &service, const std::string &key, std::optional<absl::Duration> due)>
            openJob;
        std::function<nlohmann::json(const std::string &organisation)> listJobs;
        std::function<nlohmann::json(const std::string &organisation, const std::string &id)> jobStatus;
        std::function<nlohmann::json(const std::string &organisation, const std::string &id)> cancelJob;
        std::function<void(const std::string &organisation, const std::string &id, const std::function<bool(std::string_view)> &sink)> jobResults;
    };
    struct Limits {
        std::size_t bodyBytes;
        std::size_t jobBytes;
        std::size_t connections;
    };

    CallerServer(Limits limits, Hooks hooks);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /** Binds "IP:port" (port 0 selects a free port); throws ServerError if that fails. */
    void bind(const std::string &address);
    /** Starts to serve the bound address on separate threads. */
    void start();
    [[nodiscard]] const std::string &address() const;
    /** Number of requests in progress. */
    [[nodiscard]] int active() const;
    /** Stops listening and waits until the requests in progress are finished. */
    void stop();

private:
    void addOnlineRoutes();
    void addBatchRoutes();
    /** Counts a request as active until the last copy of the pointer is destroyed. */
    using ActiveRequest = std::shared_ptr<void>;

    /** Calls @p hook with the request and sends its response. */
    void callHook(const httplib::Request &request,
                  httplib::Response &response,
                  const std::function<CallerResponse(const CallerRequest &)> &hook,
                  std::string body,
                  ActiveRequest active);
    void submitJob(const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &reader);
    void sendResults(const httplib::Request &request, httplib::Response &response, ActiveRequest active);
    /** Reads the body; throws CallerError if it is longer than the limit or incomplete. */
    std::string readBody(const httplib::Request &request, const httplib::ContentReader &reader) const;
    /** Runs @p handle if the limit of active requests is not reached, and turns exceptions into error responses. */
    void handleRequest(httplib::Response &response, const std::function<void(ActiveRequest)> &handle);

    Limits limits;
    Hooks hooks;
    std::unique_ptr<httplib::Server> server;
    std::string boundAddress;
    std::atomic<int> activeRequests{0};
    std::thread thread;
};

} // namespace Bergamotramp
