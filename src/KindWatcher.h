#pragma once

#include <functional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "EventLoop.h"
#include "ObjectStore.h"

namespace Bergamotramp {

/** Follows all objects of one kind: lists them, then watches, and lists again when changes were missed. */
class KindWatcher
{
public:
    struct Hooks {
        /** The complete list. */
        std::function<void(const std::vector<ObjectRecord> &)> listed;
        std::function<void(const ObjectChange &)> changed;
        /** A call failed; objects may be out of date from now on. */
        std::function<void(StoreResult)> lost;
        /** The store answers again. Called before the changes are reported. */
        std::function<void()> regained;
    };

    /** Pauses between calls. */
    struct Pace {
        /** Longest wait of one watch. */
        absl::Duration watchWait = absl::Seconds(20);
        /** After each answer with changes, so that several changes take one call. */
        absl::Duration coalesce = absl::ZeroDuration();
        /** Before a failed call is repeated. */
        absl::Duration retry = absl::Milliseconds(400);

        bool operator==(const Pace &) const = default;
    };

    KindWatcher(EventLoop &loop, ObjectStore &store, std::string kind, const Pace &pace, Hooks hooks);

    void start();
    /** Changes the pauses of the calls that follow. */
    void setPace(const Pace &changed);
    /** Repeats a failed call now. */
    void retryNow();
    /** Gives up a watch that waits, because the store was lost meanwhile and may have forgotten it. */
    void restart();

private:
    void list();
    void watch();
    void failed(StoreResult result);
    void answered();

    EventLoop &loop;
    ObjectStore &store;
    std::string kind;
    Pace pace;
    Hooks hooks;
    std::uint64_t revision = 0;
    /** Answers to calls before the last restart are ignored. */
    std::uint64_t round = 0;
    bool started = false;
    bool waitingToRetry = false;
    bool available = true;
    LoopTimer timer;
};

} // namespace Bergamotramp
