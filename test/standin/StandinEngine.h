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

/** Settings of the model engine's stand-in. */
struct StandinEngineSettings {
    int port = 0;
    EngineSpeed speed;
    std::size_t cacheBlocks = 4096;
    /** Age of the data that /load and /cache-events report. */
    absl::Duration loadLag = absl::Milliseconds(500);
    absl::Duration eventLag = absl::Milliseconds(500);
    /** Each n-th cache event is left out of the report; 0 for none. */
    std::uint64_t eventGap = 10;
    /** How long a cancelled stream can still be resumed. */
    absl::Duration resumeRetention = absl::Seconds(30);
    bool honourFencing = false;
    /** Called for a prompt with the crash marker, before all connections are closed. */
    std::function<void()> onCrash;
};

/** Counters since the start; running and waiting are current numbers. */
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
    std::uint64_t ordersAccepted = 0;
    /** Refused because the fencing token was stale or missing. */
    std::uint64_t ordersRefused = 0;
    /** Accepted orders that changed what the engine serves. */
    std::uint64_t ordersEffective = 0;

    bool operator==(const StandinEngineCounters &) const = default;
};

/**
 * Stand-in for a model engine with continuous batching. The text of its responses is computed by StandinText.h.
 *
 * Each token event of a stream also has a "token_index". Control interface: POST /control with "slowFactor", "refuse", "slots",
 * "tokenIntervalUs", "growth", "promptByteUs", "loadLagMs", "eventLagMs", "eventGap", "resumeRetentionMs", "honourFencing" or
 * "corruptEach" (each n-th response is that of another prompt, to verify that a test's checks detect it);
 * GET /control/counters, also with "loaded", the last accepted order; GET /control/orders;
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
    void handleQuery(const httplib::Request &request, httplib::Response &response);
    void handleCompletion(const httplib::Request &request, httplib::Response &response, StandinConnection &connection);
    void handleOrder(const httplib::Request &request, httplib::Response &response);
    /** Returns null, with an error response set, when the engine refuses requests or no longer has the stream to resume. */
    StreamPointer openStream(const httplib::Request &request, const nlohmann::json &body, httplib::Response &response);
    bool startStream(Stream &stream);
    bool produceToken(Stream &stream, std::string &text);
    void finishStream(Stream &stream);
    void cancelStream(const Stream &stream);
    /** respondStreaming() and respondComplete() return false when the client has disconnected or the engine stops. */
    bool respondStreaming(const StreamPointer &stream, httplib::Response &response);
    bool respondComplete(Stream &stream, httplib::Response &response);
    static std::string formatFinalEvents(const Stream &stream);
    void crash();
    void applyControl(const std::string &body);
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
    /** Cancelled streams with the time until which they are retained, the oldest first. */
    std::deque<std::pair<absl::Time, Stream>> resumableStreams;
    /** Number of accepted requests by the hash of their prompt. */
    std::unordered_map<std::uint64_t, std::uint64_t> runsByPromptHash;
    nlohmann::json orders = nlohmann::json::array();
    /** The last accepted order, which says what the engine serves. */
    nlohmann::json loadedOrder = nlohmann::json::object();
    std::int64_t highestFencingToken = 0;
    std::unique_ptr<StandinServer> server;
};

} // namespace Bergamotramp
