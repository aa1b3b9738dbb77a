#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

#include "CallerServer.h"

namespace Bergamotramp {

/** HTTP interface to operators and monitoring, apart from the callers' so that a full one doesn't block the other. */
class AdminServer
{
public:
    struct Hooks {
        /** Takes the publication's JSON and returns the answer; may throw CallerError. */
        std::function<nlohmann::json(const std::string &body)> publish;
        std::function<nlohmann::json()> services;
        std::function<nlohmann::json()> hosts;
        std::function<nlohmann::json()> upstreams;
        std::function<nlohmann::json()> status;
        std::function<void()> drain;
        std::function<std::string()> metrics;
        /** Whether the host can take requests. */
        std::function<bool()> ready;
    };

    explicit AdminServer(Hooks hooks);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /** Binds "IP:port" (port 0 for a free one); throws ServerError. */
    void bind(const std::string &address);
    /** Serves the bound address on threads of its own. */
    void start();
    [[nodiscard]] const std::string &address() const;
    void stop();

private:
    void addRoutes();

    Hooks hooks;
    std::unique_ptr<httplib::Server> server;
    std::string boundAddress;
    std::thread thread;
};

} // namespace Bergamotramp
