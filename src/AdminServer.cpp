#include "AdminServer.h"

#include <httplib.h>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include "HttpListener.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t adminThreads = 8;
constexpr std::size_t maxPublicationBytes = 1024 * 1024;
constexpr int statusAccepted = 202;
constexpr int statusPayloadTooLarge = 413;
constexpr int statusInternalError = 500;
constexpr int statusUnavailable = 503;
constexpr const char *jsonType = "application/json";
constexpr const char *textType = "text/plain";

void sendProblem(httplib::Response &response, const CallerProblem &problem)
{
    response.status = problem.status;
    response.set_content(problem.toJson().dump(), jsonType);
}

// Sends errors that httplib detects itself, such as unknown routes, in the same JSON form as all other errors.
void sendLibraryError(const httplib::Request &request, httplib::Response &response)
{
    if (!response.body.empty()) {
        return;
    }
    if (response.status == statusPayloadTooLarge) {
        sendProblem(response,
                    {response.status, "body_too_large", absl::StrCat("a publication may hold up to ", maxPublicationBytes, " bytes"), RunState::NotRun});
    } else {
        sendProblem(response, {response.status, "not_found", absl::StrCat("no route for ", request.method, " ", request.path), RunState::NotRun});
    }
}

void sendJson(httplib::Response &response, const std::function<nlohmann::json()> &produce)
{
    try {
        response.set_content(produce().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), jsonType);
    } catch (const CallerError &error) {
        sendProblem(response, error.problem());
    } catch (const std::exception &error) {
        LOG(ERROR) << "admin request failed: " << error.what();
        sendProblem(response, {statusInternalError, "internal_error", error.what(), RunState::Unknown});
    }
}

} // namespace

AdminServer::AdminServer(Hooks hooks) : hooks(std::move(hooks)), server(std::make_unique<httplib::Server>())
{
    configureServer(*this->server, adminThreads);
    this->server->set_payload_max_length(maxPublicationBytes);
    this->server->set_error_handler([](const httplib::Request &request, httplib::Response &response) { sendLibraryError(request, response); });
    this->addRoutes();
}

AdminServer::~AdminServer()
{
    this->stop();
}

void AdminServer::bind(const std::string &address)
{
    this->boundAddress = bindServer(*this->server, address);
}

void AdminServer::start()
{
    this->thread = listenOnThread(*this->server);
}

const std::string &AdminServer::address() const
{
    return this->boundAddress;
}

void AdminServer::stop()
{
    if (this->thread.joinable()) {
        this->server->stop();
        this->thread.join();
    }
}

void AdminServer::addRoutes()
{
    const auto get = [this](const std::string &path, const std::function<nlohmann::json()> &hook) {
        this->server->Get(path, [&hook](const httplib::Request &, httplib::Response &response) { sendJson(response, hook); });
    };
    get("/admin/services", this->hooks.services);
    get("/admin/hosts", this->hooks.hosts);
    get("/admin/upstreams", this->hooks.upstreams);
    get("/admin/status", this->hooks.status);
    this->server->Post("/admin/publish", [this](const httplib::Request &request, httplib::Response &response) {
        sendJson(response, [&] { return this->hooks.publish(request.body); });
    });
    this->server->Post("/admin/drain", [this](const httplib::Request &, httplib::Response &response) {
        this->hooks.drain();
        response.status = statusAccepted;
        response.set_content(R"({"draining": true})", jsonType);
    });
    this->server->Get("/metrics", [this](const httplib::Request &, httplib::Response &response) { response.set_content(this->hooks.metrics(), textType); });
    this->server->Get("/healthz", [](const httplib::Request &, httplib::Response &response) { response.set_content("ok\n", textType); });
    this->server->Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
        const bool ready = this->hooks.ready();
        response.status = ready ? 200 : statusUnavailable;
        response.set_content(ready ? "ready\n" : "not ready\n", textType);
    });
}

} // namespace Bergamotramp
