#pragma once

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "SoakFleet.h"
#include "SoakState.h"

namespace Bergamotramp {

/**
 * Generates faults and maintenance at random from a seed. Each round is a phase of overlapping faults, followed by a fault-free phase with
 * maintenance: drains, stops, reloads and changes of the configuration.
 */
class SoakFaults
{
public:
    /** The fault phase of a round lasts @p faultPhaseDuration; @p allRoundsDone is called after @p rounds rounds. */
    SoakFaults(EventLoop &loop,
               SoakFleet &fleet,
               SoakState &state,
               absl::Duration faultPhaseDuration,
               int rounds,
               std::uint64_t seed,
               std::function<void()> allRoundsDone);

private:
    /** A fault with the functions that start and end it; the end function is always called. */
    struct Fault {
        std::string name;
        /** A target has at most one fault at a time. */
        std::string target;
        std::function<void()> begin;
        std::function<void()> end;
    };

    void startRound();
    void startNextFault();
    void startFault(const Fault &fault);
    void endFaultPhase();
    void runMaintenance();
    void drainRandomUpstream();
    /** An upstream states a limit until the fault-free phase ends. */
    void limitRandomUpstream();
    void writeNewConfig();
    [[nodiscard]] Fault drawFault();
    [[nodiscard]] Fault drawHostFault();
    [[nodiscard]] Fault drawUpstreamFault();
    [[nodiscard]] Fault drawStoreFault();
    [[nodiscard]] Fault drawLinkFault();
    [[nodiscard]] Fault drawFleetKill();
    [[nodiscard]] RouteFaults drawRouteFaults(RouteFreeze &freeze);
    std::size_t randomBelow(std::size_t bound);
    absl::Duration randomBetween(absl::Duration min, absl::Duration max);

    EventLoop &loop;
    SoakFleet &fleet;
    SoakState &state;
    absl::Duration faultPhaseDuration;
    int roundsLeft;
    std::mt19937_64 random;
    std::function<void()> allRoundsDone;
    absl::Time phaseEnd;
    bool inFaultPhase = false;
    std::set<std::string> targetsWithFault;
    std::vector<LoopTimer> timers;
    LoopTimer nextTimer;
};

} // namespace Bergamotramp
