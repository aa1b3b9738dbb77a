#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

#include "CallerServer.h"

namespace Bergamotramp {

/** HTTP interface for operators and monitoring. Separate from CallerServer so that neither is blocked when all threads of the other are in use. */
class AdminServer
{
public:
    struct Hooks {
        /** Receives the JSON text of a configuration to publish and returns the response body; may throw CallerError. */
        std::function<nlohmann::json(const std::string &body)> publish;
        std::function<nlohmann::json()> services;
        std::function<nlohmann::json()> hosts;
        std::function<nlohmann::json()> upstreams;
        std::function<nlohmann::json()> status;
        std::function<void()> drain;
        std::function<std::string()> metrics;
        /** Whether the host can serve requests. */
        std::function<bool()> ready;
    };

    explicit AdminServer(Hooks hooks);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /** Binds "IP:port" (port 0 selects a free port); throws ServerError if that fails. */
    void bind(const std::string &address);
    /** Starts to serve the bound address on separate threads. */
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
