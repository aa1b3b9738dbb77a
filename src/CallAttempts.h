#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <absl/time/time.h>

#include "UpstreamAttempt.h"

namespace Bergamotramp {

/** An attempt of a call that has not ended. */
struct RunningAttempt {
    /** Number of the attempt in its call, from 1 on. */
    int number = 0;
    std::unique_ptr<UpstreamAttempt> attempt{};
    absl::Time started = absl::InfinitePast();
    /** Head of the stream, once it has arrived. */
    HttpHead streamHead{};
};

/** The running attempts of one OnlineCall at upstreams, in the order of their start. */
class CallAttempts
{
public:
    /** Called with the number of the attempt. They are not called for an attempt that was stopped. */
    struct Hooks {
        std::function<void(int number, const HttpHead &)> streamStarted;
        std::function<void(int number, const StreamEvent &)> event;
        std::function<void(int number, const AttemptResult &)> ended;
    };

    explicit CallAttempts(const AttemptContext &context);

    /** To be called before the first attempt is added. */
    void setHooks(Hooks attemptHooks);
    /** Creates the next attempt without sending it. The reference is valid until an attempt is added or removed. */
    RunningAttempt &add(const UpstreamInfo &upstream, bool stream);
    /** The running attempt with this number, or null. */
    [[nodiscard]] RunningAttempt *find(int number);
    /** Stops an attempt, which may have ended. One of its own hooks may call this. */
    void stop(int number);
    void stopAll();
    [[nodiscard]] bool empty() const;
    [[nodiscard]] const std::vector<RunningAttempt> &running() const;
    /** Number of attempts that were added. */
    [[nodiscard]] int count() const;

private:
    AttemptContext context;
    Hooks hooks;
    std::vector<RunningAttempt> attempts;
    int added = 0;
};

} // namespace Bergamotramp
