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

/** An address can't be served, for example because it is in use. */
class ServerError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** A caller's request for a model or a plain service. */
struct CallerRequest {
    std::string organisation;
    /** Idempotency key; empty for none. */
    std::string key;
    std::string method;
    /** Path and query as the caller sent them. */
    std::string target;
    std::string contentType;
    std::string body;
    /** Time until the caller's deadline, if it gave one. */
    std::optional<absl::Duration> timeLeft;

    bool operator==(const CallerRequest &) const = default;
};

struct WholeAnswer {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;

    bool operator==(const WholeAnswer &) const = default;
};

/** An answer that is produced while it is sent. */
struct StreamedAnswer {
    std::string contentType;
    /** Waits for the next piece; returns nothing at the end. Throws CallerError. */
    std::function<std::optional<std::string>()> next;
    /** Called once when no further piece will be taken; the argument says whether the caller took them all. */
    std::function<void(bool)> closed;
};

using CallerAnswer = std::variant<WholeAnswer, StreamedAnswer>;

/** A batch job while its body arrives. */
struct JobUpload {
    std::function<void(std::string_view)> append;
    /** Makes the job durable and returns its status. */
    std::function<nlohmann::json()> commit;
};

/** HTTP interface to callers. */
class CallerServer
{
public:
    /** What answers the requests; every hook may throw CallerError. */
    struct Hooks {
        std::function<CallerAnswer(const CallerRequest &)> model;
        std::function<CallerAnswer(const CallerRequest &)> plain;
        std::function<WholeAnswer(const std::string &organisation, const std::string &service, const std::string &key)> recorded;
        std::function<nlohmann::json()> models;
        std::function<nlohmann::json()> entries;
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

    /** Binds "IP:port" (port 0 for a free one); throws ServerError. */
    void bind(const std::string &address);
    /** Serves the bound address on threads of its own. */
    void start();
    [[nodiscard]] const std::string &address() const;
    /** Requests in progress. */
    [[nodiscard]] int active() const;
    /** Stops listening and waits for the requests in progress. */
    void stop();

private:
    void addOnlineRoutes();
    void addBatchRoutes();
    /** Counts a request as active for as long as it lives. */
    using ActiveRequest = std::shared_ptr<void>;

    void answer(const httplib::Request &request,
                httplib::Response &response,
                const std::function<CallerAnswer(const CallerRequest &)> &hook,
                std::string body,
                ActiveRequest active);
    void submitJob(const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &reader);
    void sendResults(const httplib::Request &request, httplib::Response &response, ActiveRequest active);
    /** Reads a body of at most the limit; throws CallerError. */
    std::string readBody(const httplib::Request &request, const httplib::ContentReader &reader) const;
    /** Runs @p handle and turns what it throws into an error response. */
    void guard(httplib::Response &response, const std::function<void(ActiveRequest)> &handle);

    Limits limits;
    Hooks hooks;
    std::unique_ptr<httplib::Server> server;
    std::string boundAddress;
    std::atomic<int> activeRequests{0};
    std::thread thread;
};

} // namespace Bergamotramp
