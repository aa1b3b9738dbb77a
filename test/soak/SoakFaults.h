#pragma once

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "SoakFleet.h"
#include "SoakState.h"

namespace Bergamotramp {

/** Draws faults and planned work from a seed: a phase of overlapping faults, a calm phase with planned work, and again. */
class SoakFaults
{
public:
    /** Begins with a phase of faults that lasts @p faultTime; @p ended is called after @p rounds rounds. */
    SoakFaults(EventLoop &loop, SoakFleet &fleet, SoakState &state, absl::Duration faultTime, int rounds, std::uint64_t seed, std::function<void()> ended);

private:
    /** A fault as begin and end; the end always comes. */
    struct Fault {
        std::string name;
        /** Two faults of one target never hold at once. */
        std::string target;
        std::function<void()> begin;
        std::function<void()> end;
    };

    void startRound();
    void nextFault();
    void begin(const Fault &fault);
    void endFaultPhase();
    void plannedWork();
    void drainOne();
    void changeConfig();
    [[nodiscard]] Fault draw();
    [[nodiscard]] Fault drawHostFault();
    [[nodiscard]] Fault drawUpstreamFault();
    [[nodiscard]] Fault drawStoreFault();
    [[nodiscard]] Fault drawLinkFault();
    [[nodiscard]] Fault herdKill();
    [[nodiscard]] RouteFaults drawRouteFaults(RouteFreeze &freeze);
    std::size_t below(std::size_t bound);
    absl::Duration between(absl::Duration least, absl::Duration most);

    EventLoop &loop;
    SoakFleet &fleet;
    SoakState &state;
    absl::Duration faultTime;
    int roundsLeft;
    std::mt19937_64 random;
    std::function<void()> ended;
    absl::Time phaseEnd;
    bool inFaultPhase = false;
    std::set<std::string> busy;
    std::vector<LoopTimer> timers;
    LoopTimer next;
};

} // namespace Bergamotramp
