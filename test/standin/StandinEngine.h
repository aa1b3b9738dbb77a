#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "EngineCache.h"
#include "EngineScheduler.h"
#include "StandinServer.h"

namespace Bergamotramp {

/** Settings of the engine's stand-in. */
struct StandinEngineSettings {
    int port = 0;
    EngineSpeed speed;
    std::size_t cacheBlocks = 4096;
    /** How late /load and /cache-events are. */
    absl::Duration loadLag = absl::Milliseconds(500);
    absl::Duration eventLag = absl::Milliseconds(500);
    /** Each n-th cache event is missing; 0 for none. */
    std::uint64_t eventGap = 10;
    /** How long a cancelled stream can be resumed. */
    absl::Duration resumeRetention = absl::Seconds(30);
    bool honourFencing = false;
    /** Called for a prompt with the crash marker, before all connections are dropped. */
    std::function<void()> onCrash;
};

/** Counts since the start. */
struct StandinEngineCounters {
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t resumed = 0;
    std::uint64_t crashes = 0;
    std::uint64_t tokens = 0;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t maxRunning = 0;
    std::uint64_t ordersTaken = 0;
    /** Refused for their fencing token. */
    std::uint64_t ordersRefused = 0;
    /** Taken orders that changed what is loaded. */
    std::uint64_t ordersEffective = 0;

    bool operator==(const StandinEngineCounters &) const = default;
};

/**
 * Stand-in for a model engine with continuous batching. StandinText.h computes the answers it gives.
 *
 * Each event of a stream also carries "token_index". Control interface: POST /control with "slowFactor", "refuse", "slots",
 * "tokenIntervalUs", "growth", "promptByteUs", "loadLagMs", "eventLagMs", "eventGap", "resumeRetentionMs", "honourFencing" or
 * "corruptEach" (each n-th answer is that of another prompt, to prove that a check notices it);
 * GET /control/counters, with "loaded", the last order taken; GET /control/orders;
 * GET /control/runs?hash=H counts the requests whose prompt has that standinHash().
 */
class StandinEngine
{
public:
    explicit StandinEngine(StandinEngineSettings settings = {});
    ~StandinEngine();
    StandinEngine(const StandinEngine &) = delete;
    StandinEngine &operator=(const StandinEngine &) = delete;

    [[nodiscard]] std::string address() const;
    [[nodiscard]] StandinEngineCounters counters();

private:
    struct Stream;
    using StreamPointer = std::shared_ptr<Stream>;

    void handle(const httplib::Request &request, httplib::Response &response, StandinConnection &connection);
    void handleReport(const httplib::Request &request, httplib::Response &response);
    void handleCompletion(const httplib::Request &request, httplib::Response &response, StandinConnection &connection);
    void handleOrder(const httplib::Request &request, httplib::Response &response);
    /** Returns nothing, with the answer set, when the stream to resume is gone. */
    StreamPointer openStream(const httplib::Request &request, const nlohmann::json &body, httplib::Response &response);
    bool begin(Stream &stream);
    bool produce(Stream &stream, std::string &text);
    void finish(Stream &stream);
    void cancel(const Stream &stream);
    /** Both return false when the client has gone. */
    bool answerStream(const StreamPointer &stream, httplib::Response &response);
    bool answerWhole(Stream &stream, httplib::Response &response);
    static std::string endOf(const Stream &stream);
    void crash();
    void setControl(const std::string &body);
    std::string cacheEventsJson(std::uint64_t since);
    std::string loadJson();
    std::string countersJson();
    std::string runsJson(const std::string &hash);

    std::mutex mutex;
    StandinEngineSettings settings;
    EngineScheduler scheduler;
    EngineCache cache;
    StandinEngineCounters counts;
    bool refuse = false;
    std::uint64_t corruptEach = 0;
    /** Cancelled streams with the end of their retention, the oldest first. */
    std::deque<std::pair<absl::Time, Stream>> resumable;
    /** Requests that arrived, by the hash of their prompt. */
    std::unordered_map<std::uint64_t, std::uint64_t> runs;
    nlohmann::json orders = nlohmann::json::array();
    /** The last order taken: what the engine serves. */
    nlohmann::json loaded = nlohmann::json::object();
    std::int64_t highestToken = 0;
    std::unique_ptr<StandinServer> server;
};

} // namespace Bergamotramp
