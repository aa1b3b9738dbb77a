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
    /** Called for a body with the crash marker, before all connections are dropped. */
    std::function<void()> onCrash;
};

/**
 * Stand-in for a plain service: answers any call with its method, path, key and body as JSON and counts postings by Idempotency-Key.
 *
 * Control interface: POST /control with "delayMs", "refuse" or "countTwice" (to prove that a check notices it); GET /control/counts gives the postings by key;
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
    [[nodiscard]] std::map<std::string, std::uint64_t> counts();

private:
    void handle(const httplib::Request &request, httplib::Response &response);
    bool handleControl(const httplib::Request &request, httplib::Response &response);
    void setControl(const std::string &body);
    void crash();

    std::function<void()> onCrash;
    std::atomic<std::int64_t> delay; // ms
    std::atomic<bool> refuse{false};
    std::atomic<bool> countTwice{false};
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> calls{0};
    std::mutex mutex;
    std::map<std::string, std::uint64_t> postings;
    std::unique_ptr<StandinServer> server;
};

} // namespace Bergamotramp
