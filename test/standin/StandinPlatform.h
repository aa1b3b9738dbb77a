#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <absl/time/time.h>

#include "StandinServer.h"
#include "StandinStore.h"

namespace Bergamotramp {

/** Settings of the platform's stand-in. */
struct StandinPlatformSettings {
    int port = 0;
    /** Calls a second; 0 removes the limit. */
    double writesPerSecond = 400;
    double readsPerSecond = 2000;
    /** How long the host list takes to show a change. */
    absl::Duration hostsLag = absl::ZeroDuration();
    /** File of the objects; empty for none. */
    std::string file;
};

/** Calls of one kind a second, as a token bucket; counts the busiest second. */
class StandinRate
{
public:
    explicit StandinRate(double perSecond);

    void set(double perSecond);
    /** Takes one call; false when the rate is used up. @p waiting calls that stay open take one call a second each. */
    bool take(absl::Time now, std::size_t waiting);
    [[nodiscard]] std::uint64_t peakPerSecond() const;

private:
    double perSecond;
    double tokens;
    absl::Time refilled = absl::InfinitePast();
    std::int64_t second = 0;
    std::uint64_t inSecond = 0;
    std::uint64_t peak = 0;
};

/**
 * Stand-in for the platform's store and host list.
 *
 * Control interface: PUT /control/hosts with the host list; POST /control/faults with "outage", "slowMs", "loseAnswers",
 * "loseAnswersPrefix", "loseAnswersPart" (of the key), "writesPerSecond", "readsPerSecond" or "hostsLagMs"; GET /control/counters.
 */
class StandinPlatform
{
public:
    explicit StandinPlatform(StandinPlatformSettings settings = {});
    ~StandinPlatform();
    StandinPlatform(const StandinPlatform &) = delete;
    StandinPlatform &operator=(const StandinPlatform &) = delete;

    [[nodiscard]] std::string address() const;

private:
    struct Faults {
        bool outage = false;
        absl::Duration slow = absl::ZeroDuration();
        std::int64_t loseAnswers = 0;
        std::string loseAnswersPrefix;
        std::string loseAnswersPart;
    };
    struct Counters {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
    };

    void handle(const httplib::Request &request, httplib::Response &response, StandinConnection &connection);
    void handleControl(const httplib::Request &request, httplib::Response &response);
    void handleObject(const httplib::Request &request, httplib::Response &response, StandinConnection &connection);
    void handleWrite(const httplib::Request &request, httplib::Response &response, StandinConnection &connection);
    void handleList(const httplib::Request &request, httplib::Response &response);
    void handleWatch(const httplib::Request &request, httplib::Response &response);
    void handleHosts(httplib::Response &response);
    /** Whether the call may go on; otherwise the answer is set. */
    bool admit(const std::string &key, bool isWrite, httplib::Response &response);
    bool losesAnswer(const std::string &key);
    void setHosts(const std::string &body);
    void setFaults(const std::string &body);
    std::string countersJson();

    StandinPlatformSettings settings;
    StandinStore store;
    std::mutex mutex;
    Faults faults;
    StandinRate writeRate;
    StandinRate readRate;
    Counters total;
    std::map<std::string, Counters> byPrefix;
    std::uint64_t refused = 0;
    std::uint64_t conflicts = 0;
    /** Host lists with the time from which they are shown, the oldest first. */
    std::vector<std::pair<absl::Time, std::string>> hostLists;
    std::unique_ptr<StandinServer> server;
};

} // namespace Bergamotramp
