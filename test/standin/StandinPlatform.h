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
    /** Limits on calls per second; 0 for none. */
    double writesPerSecond = 400;
    double readsPerSecond = 2000;
    /** Delay until the host list shows a change. */
    absl::Duration hostsLag = absl::ZeroDuration();
    /** File in which the objects are stored; empty for none. */
    std::string file;
};

/** Token bucket that limits the calls per second of one kind (reads or writes) and records the most calls in one second. */
class StandinRateLimiter
{
public:
    explicit StandinRateLimiter(double perSecond);

    void setRate(double perSecond);
    /** Admits one call; returns false when it is over the limit. Each of @p waitingCalls, the watches that are open, uses one call per second. */
    bool tryAcquire(absl::Time now, std::size_t waitingCalls);
    [[nodiscard]] std::uint64_t peakPerSecond() const;

private:
    double perSecond;
    double tokens;
    absl::Time lastRefill = absl::InfinitePast();
    std::int64_t currentSecond = 0;
    std::uint64_t callsInSecond = 0;
    std::uint64_t peakCalls = 0;
};

/**
 * Stand-in for the platform's key-value store and host list.
 *
 * Control interface: PUT /control/hosts with the host list; POST /control/faults with "outage", "slowMs", "loseAnswers" (number of write responses to lose),
 * "loseAnswersPrefix", "loseAnswersPart" (a substring of the key), "writesPerSecond", "readsPerSecond" or "hostsLagMs"; GET /control/counters.
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
        absl::Duration delay = absl::ZeroDuration();
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
    /** Whether the call may proceed; otherwise an error response is set. */
    bool admit(const std::string &key, bool isWrite, httplib::Response &response);
    bool shouldLoseAnswer(const std::string &key);
    void setHosts(const std::string &body);
    void setFaults(const std::string &body);
    std::string countersJson();

    StandinPlatformSettings settings;
    StandinStore store;
    std::mutex mutex;
    Faults faults;
    StandinRateLimiter writeLimiter;
    StandinRateLimiter readLimiter;
    Counters total;
    std::map<std::string, Counters> byPrefix;
    std::uint64_t refused = 0;
    std::uint64_t conflicts = 0;
    /** Host lists with the time from which they are served, the oldest first. */
    std::vector<std::pair<absl::Time, std::string>> hostLists;
    std::unique_ptr<StandinServer> server;
};

} // namespace Bergamotramp
