#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "CallHistory.h"

namespace Bergamotramp {

/** How a caller makes a call. */
struct CallPlan {
    Call call;
    /** Names and addresses of the hosts that the attempts go to, in turn. */
    std::vector<std::pair<std::string, std::string>> hosts;
    std::int64_t attempts = 1;
    bool stream = true;
    bool chat = false;
    /** Path below a plain service. */
    std::string path = "/";
    std::string organisation;
    /** 0 for none. */
    std::int64_t deadline = 0; // ms

    bool operator==(const CallPlan &) const = default;
};

/** Makes calls as callers do, each on a thread of its own: a call that failed is sent again under its key. */
class Caller
{
public:
    explicit Caller(CallHistory &history);
    /** Waits for all calls; attempts under way end with the processes they talk to. */
    ~Caller();
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    void start(CallPlan plan);
    /** Lets no further attempt begin. */
    void stop();

private:
    void run(const CallPlan &plan);
    static CallAnswer attempt(const CallPlan &plan, const std::pair<std::string, std::string> &host);

    CallHistory &history;
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
};

} // namespace Bergamotramp
