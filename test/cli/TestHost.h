#pragma once

#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>

#include "Cli.h"

namespace Bergamotramp {

/** An HTTP server on a free loopback port that stands in for one host. */
class TestHost
{
public:
    TestHost()
    {
        this->port = this->server.bind_to_any_port("127.0.0.1");
    }
    ~TestHost()
    {
        this->server.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }
    TestHost(const TestHost &) = delete;
    TestHost &operator=(const TestHost &) = delete;

    void start()
    {
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        while (!this->server.is_running()) {
            std::this_thread::yield();
        }
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->port);
    }

    /** Serves GET /v1/entries with the given addresses. */
    void serveEntries(const std::vector<std::string> &addresses)
    {
        nlohmann::json entries = nlohmann::json::array();
        for (const std::string &entry : addresses) {
            entries.push_back({{"address", entry}, {"region", "nordeste"}, {"data_centre", "recife-a"}});
        }
        this->server.Get("/v1/entries", [entries](const httplib::Request &, httplib::Response &response) {
            response.set_content(nlohmann::json({{"entries", entries}, {"ttl_ms", 15000}}).dump(), "application/json");
        });
    }

    httplib::Server server;

private:
    int port = 0;
    std::thread thread;
};

/** An address that refuses connections: port 1 is privileged and never assigned as a free port. */
inline std::string unreachableAddress()
{
    return "127.0.0.1:1";
}

struct CliRun {
    int code = 0;
    std::string out;
    std::string err;
};

inline CliRun runCommand(const std::vector<std::string> &arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const int code = runCli(arguments, {out, err, false, {}});
    return {code, out.str(), err.str()};
}

} // namespace Bergamotramp
