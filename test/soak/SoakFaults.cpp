#include "SoakFaults.h"

#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

constexpr absl::Duration firstRoundDelay = absl::Seconds(2);
constexpr absl::Duration minFaultGap = absl::Milliseconds(100);
constexpr absl::Duration maxFaultGap = absl::Milliseconds(1200);
constexpr absl::Duration minFaultDuration = absl::Milliseconds(200);
constexpr absl::Duration maxFaultDuration = absl::Seconds(4);
const absl::Duration faultFreeDuration = SoakBounds::recoveryTime + absl::Seconds(4);
// In a fault-free phase, maintenance starts when the hosts are expected to be connected again.
const absl::Duration maintenanceDelay = SoakBounds::reconnectTime + absl::Milliseconds(500);
// A limit ends this long before the next faults begin.
constexpr absl::Duration limitEndMargin = absl::Seconds(1);
constexpr absl::Duration maintenanceInterval = absl::Milliseconds(1500);

} // namespace

SoakFaults::SoakFaults(
    EventLoop &loop, SoakFleet &fleet, SoakState &state, absl::Duration faultPhaseDuration, int rounds, std::uint64_t seed, std::function<void()> allRoundsDone)
    : loop(loop), fleet(fleet), state(state), faultPhaseDuration(faultPhaseDuration), roundsLeft(rounds), random(seed), allRoundsDone(std::move(allRoundsDone))
{
    this->nextTimer = this->loop.after(firstRoundDelay, [this] { this->startRound(); });
}

std::size_t SoakFaults::randomBelow(std::size_t bound)
{
    return this->random() % bound;
}

absl::Duration SoakFaults::randomBetween(absl::Duration min, absl::Duration max)
{
    return min + (max - min) * (static_cast<double>(this->randomBelow(1000)) / 1000.0);
}

void SoakFaults::startRound()
{
    this->timers.clear();
    this->inFaultPhase = true;
    this->phaseEnd = this->loop.now() + this->faultPhaseDuration;
    this->state.faultFreeSince = absl::InfiniteFuture();
    this->state.report.log("fault phase begins");
    this->startNextFault();
}

void SoakFaults::startNextFault()
{
    if (this->loop.now() >= this->phaseEnd) {
        this->inFaultPhase = false;
        if (this->targetsWithFault.empty()) {
            this->endFaultPhase();
        }
        return;
    }
    const Fault fault = this->drawFault();
    if (!this->targetsWithFault.contains(fault.target)) {
        this->startFault(fault);
    }
    this->nextTimer = this->loop.after(this->randomBetween(minFaultGap, maxFaultGap), [this] { this->startNextFault(); });
}

void SoakFaults::startFault(const Fault &fault)
{
    const absl::Duration duration = this->randomBetween(minFaultDuration, maxFaultDuration);
    this->state.report.log(absl::StrCat("fault ", fault.name, " at ", fault.target, " for ", absl::ToInt64Milliseconds(duration), " ms"));
    this->state.report.increment("faults");
    this->targetsWithFault.insert(fault.target);
    fault.begin();
    this->timers.push_back(this->loop.after(duration, [this, fault] {
        this->state.report.log(absl::StrCat("fault ", fault.name, " at ", fault.target, " ends"));
        fault.end();
        this->targetsWithFault.erase(fault.target);
        if (!this->inFaultPhase && this->targetsWithFault.empty()) {
            this->endFaultPhase();
        }
    }));
}

void SoakFaults::endFaultPhase()
{
    this->state.faultFreeSince = this->loop.now();
    this->state.report.log("fault-free phase begins");
    this->nextTimer = this->loop.after(maintenanceDelay, [this] { this->runMaintenance(); });
    this->timers.push_back(this->loop.after(faultFreeDuration, [this] {
        if (--this->roundsLeft > 0) {
            this->startRound();
        } else {
            this->allRoundsDone();
        }
    }));
}

void SoakFaults::runMaintenance()
{
    if (this->loop.now() > this->state.faultFreeSince + faultFreeDuration - maintenanceDelay) {
        return;
    }
    switch (this->randomBelow(5)) {
    case 0:
        this->drainRandomUpstream();
        break;
    case 4:
        this->limitRandomUpstream();
        break;
    case 1:
        this->fleet.stopHost(this->randomBelow(this->fleet.hostCount()));
        break;
    case 2:
        this->fleet.reloadHost(this->randomBelow(this->fleet.hostCount()));
        break;
    default:
        this->writeNewConfig();
        break;
    }
    this->nextTimer = this->loop.after(maintenanceInterval, [this] { this->runMaintenance(); });
}

void SoakFaults::drainRandomUpstream()
{
    this->fleet.drainUpstream(this->randomBelow(this->fleet.upstreamCount()),
                              [this](const std::string &id) { this->state.drainAcknowledgedAt[id] = this->loop.now(); });
}

void SoakFaults::limitRandomUpstream()
{
    const std::size_t upstream = this->randomBelow(this->fleet.upstreamCount());
    const double limit = 1.0 + static_cast<double>(this->randomBelow(40)) / 10.0;
    const std::string id = this->fleet.setUpstreamLimit(upstream, limit);
    this->state.statedLimits[id] = {.requestsPerSecond = limit, .from = this->loop.now()};
    this->timers.push_back(this->loop.after(this->state.faultFreeSince + faultFreeDuration - this->loop.now() - limitEndMargin, [this, upstream, id] {
        this->state.statedLimits[id].until = this->loop.now();
        this->fleet.setUpstreamLimit(upstream, 0);
    }));
}

void SoakFaults::writeNewConfig()
{
    this->fleet.writeConfig([this](int version) {
        this->state.configVersion = version;
        this->state.configAcknowledgedAt = this->loop.now();
    });
}

SoakFaults::Fault SoakFaults::drawFault()
{
    switch (this->randomBelow(9)) {
    case 0:
    case 1:
        return this->drawHostFault();
    case 2:
    case 3:
        return this->drawUpstreamFault();
    case 4:
    case 5:
        return this->drawStoreFault();
    case 6:
    case 7:
        return this->drawLinkFault();
    default:
        return this->drawFleetKill();
    }
}

SoakFaults::Fault SoakFaults::drawHostFault()
{
    const std::size_t host = this->randomBelow(this->fleet.hostCount());
    const std::string target = absl::StrCat("host-", host);
    const auto recover = [this, host] { this->fleet.recoverHost(host); };
    switch (this->randomBelow(4)) {
    case 0:
        return {.name = "host killed", .target = target, .begin = [this, host] { this->fleet.killHost(host); }, .end = recover};
    case 1:
        return {.name = "host paused", .target = target, .begin = [this, host] { this->fleet.pauseHost(host); }, .end = recover};
    case 2:
        return {.name = "host stopped", .target = target, .begin = [this, host] { this->fleet.stopHost(host); }, .end = [] {}};
    default:
        return {.name = "host reloaded", .target = target, .begin = [this, host] { this->fleet.reloadHost(host); }, .end = [] {}};
    }
}

SoakFaults::Fault SoakFaults::drawFleetKill()
{
    return {.name = "hosts killed",
            .target = "all hosts",
            .begin =
                [this] {
                    for (std::size_t host = 0; host < this->fleet.hostCount(); ++host) {
                        if (!this->targetsWithFault.contains(absl::StrCat("host-", host))) {
                            this->fleet.killHost(host);
                            this->fleet.recoverHost(host);
                        }
                    }
                },
            .end = [] {}};
}

SoakFaults::Fault SoakFaults::drawUpstreamFault()
{
    static const std::vector<std::string> modes{"full", "silent", "cuts-streams", "answers-lost"};
    const std::size_t upstream = this->randomBelow(this->fleet.upstreamCount());
    const std::string target = absl::StrCat("upstream-", upstream);
    const auto recover = [this, upstream] { this->fleet.recoverUpstream(upstream); };
    switch (this->randomBelow(4)) {
    case 0:
        return {.name = "upstream killed", .target = target, .begin = [this, upstream] { this->fleet.killUpstream(upstream); }, .end = recover};
    case 1:
        return {.name = "upstream paused", .target = target, .begin = [this, upstream] { this->fleet.pauseUpstream(upstream); }, .end = recover};
    case 2:
        return {.name = "upstream drained",
                .target = target,
                .begin = [this, upstream] { this->fleet.drainUpstream(upstream, [](const std::string &) {}); },
                .end = [] {}};
    default:
        const std::string mode = modes[this->randomBelow(modes.size())];
        return {.name = "upstream " + mode,
                .target = target,
                .begin = [this, upstream, mode] { this->fleet.setUpstreamMode(upstream, mode); },
                .end = [this, upstream] { this->fleet.setUpstreamMode(upstream, "serving"); }};
    }
}

SoakFaults::Fault SoakFaults::drawStoreFault()
{
    static const std::vector<std::string> modes{"busy", "silent", "answers-lost"};
    switch (this->randomBelow(4)) {
    case 0:
        return {.name = "store paused", .target = "store", .begin = [this] { this->fleet.pauseStore(); }, .end = [this] { this->fleet.resumeStore(); }};
    case 1:
        return {.name = "store history compacted", .target = "store history", .begin = [this] { this->fleet.compactStore(); }, .end = [] {}};
    default:
        const std::string mode = modes[this->randomBelow(modes.size())];
        return {.name = "store " + mode,
                .target = "store",
                .begin = [this, mode] { this->fleet.setStoreMode(mode); },
                .end = [this] { this->fleet.setStoreMode("serving"); }};
    }
}

RouteFaults SoakFaults::drawRouteFaults(RouteFreeze &freeze)
{
    RouteFaults faults;
    freeze = RouteFreeze::None;
    switch (this->randomBelow(7)) {
    case 0:
        faults.cut = true;
        break;
    case 1:
        faults.lossToTarget = true;
        break;
    case 2:
        faults.lossToClient = true;
        break;
    case 3:
        faults.repliesToDrop = 1 + static_cast<std::int64_t>(this->randomBelow(3));
        break;
    case 4:
        freeze = RouteFreeze::Existing;
        break;
    case 5:
        freeze = RouteFreeze::All;
        break;
    default:
        faults.delayToTarget = this->randomBetween(absl::Milliseconds(10), absl::Milliseconds(400));
        faults.delayToClient = this->randomBetween(absl::Milliseconds(10), absl::Milliseconds(400));
        break;
    }
    return faults;
}

SoakFaults::Fault SoakFaults::drawLinkFault()
{
    RouteFreeze freeze = RouteFreeze::None;
    const RouteFaults faults = this->drawRouteFaults(freeze);
    if (this->randomBelow(2) == 0) {
        const std::size_t host = this->randomBelow(this->fleet.hostCount());
        return {.name = "link to the store",
                .target = absl::StrCat("store link ", host),
                .begin = [this, host, faults, freeze] { this->fleet.setStoreLinkFaults(host, faults, freeze); },
                .end = [this, host] { this->fleet.setStoreLinkFaults(host, {}, RouteFreeze::None); }};
    }
    const std::size_t upstream = this->randomBelow(this->fleet.upstreamCount());
    return {.name = "link to an upstream",
            .target = absl::StrCat("upstream link ", upstream),
            .begin = [this, upstream, faults, freeze] { this->fleet.setUpstreamLinkFaults(upstream, faults, freeze); },
            .end = [this, upstream] { this->fleet.setUpstreamLinkFaults(upstream, {}, RouteFreeze::None); }};
}

} // namespace Bergamotramp
