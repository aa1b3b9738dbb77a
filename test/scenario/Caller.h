#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "CallHistory.h"

namespace Bergamotramp {

/** A call to make, with the hosts to try and the form of the request. */
struct CallPlan {
    Call call;
    /** Names and addresses of the hosts; the attempts use them in rotation. */
    std::vector<std::pair<std::string, std::string>> hosts;
    std::int64_t maxAttempts = 1;
    bool stream = true;
    bool chat = false;
    /** Path of the request within a plain service. */
    std::string path = "/";
    std::string organisation;
    /** Sent as X-Deadline-Ms; 0 sends no deadline. */
    std::int64_t deadline = 0; // ms

    bool operator==(const CallPlan &) const = default;
};

/** Acts as the callers of a scenario. Each call runs on its own thread and retries failed attempts under the same idempotency key. */
class Caller
{
public:
    explicit Caller(CallHistory &history);
    /** Waits for the threads of all calls. An attempt in flight ends early when the host that it was sent to ends. */
    ~Caller();
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    void start(CallPlan plan);
    /** Prevents further attempts; those in flight continue. */
    void stop();

private:
    void run(const CallPlan &plan);
    static CallAttempt runAttempt(const CallPlan &plan, const std::pair<std::string, std::string> &host);

    CallHistory &history;
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
};

} // namespace Bergamotramp
