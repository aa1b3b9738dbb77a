#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <absl/time/time.h>

#include "StandinServer.h"

namespace Bergamotramp {

/** Settings of the plain service's stand-in. */
struct StandinPlainSettings {
    int port = 0;
    absl::Duration delay = absl::ZeroDuration();
    /** Called for a body with the crash marker, before all connections are closed. */
    std::function<void()> onCrash;
};

/**
 * Stand-in for a plain service: responds to any call with its method, path, key and body as JSON, and counts POST requests by Idempotency-Key.
 *
 * Control interface: POST /control with "delayMs", "refuse" or "countTwice" (counts each POST twice, to verify that a test's checks
 * detect it); GET /control/counts gives the number of POST requests by key;
 * GET /control/counters.
 */
class StandinPlain
{
public:
    explicit StandinPlain(StandinPlainSettings settings = {});
    ~StandinPlain();
    StandinPlain(const StandinPlain &) = delete;
    StandinPlain &operator=(const StandinPlain &) = delete;

    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::map<std::string, std::uint64_t> postCountsByKey();

private:
    void handle(const httplib::Request &request, httplib::Response &response);
    bool handleControl(const httplib::Request &request, httplib::Response &response);
    void applyControl(const std::string &body);
    void crash();

    std::function<void()> onCrash;
    std::atomic<std::int64_t> delay; // ms
    std::atomic<bool> refuse{false};
    std::atomic<bool> countTwice{false};
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> calls{0};
    std::mutex mutex;
    std::map<std::string, std::uint64_t> postCounts;
    std::unique_ptr<StandinServer> server;
};

} // namespace Bergamotramp
