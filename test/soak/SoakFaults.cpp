#include "SoakFaults.h"

#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

constexpr absl::Duration firstFaults = absl::Seconds(2);
constexpr absl::Duration leastGap = absl::Milliseconds(100);
constexpr absl::Duration longestGap = absl::Milliseconds(1200);
constexpr absl::Duration leastFault = absl::Milliseconds(200);
constexpr absl::Duration longestFault = absl::Seconds(4);
const absl::Duration calmTime = SoakBounds::recovery + absl::Seconds(4);
// Planned work of a calm phase begins when the hosts count as in touch.
const absl::Duration plannedFrom = SoakBounds::inTouch + absl::Milliseconds(500);
constexpr absl::Duration plannedGap = absl::Milliseconds(1500);

} // namespace

SoakFaults::SoakFaults(
    EventLoop &loop, SoakFleet &fleet, SoakState &state, absl::Duration faultTime, int rounds, std::uint64_t seed, std::function<void()> ended)
    : loop(loop), fleet(fleet), state(state), faultTime(faultTime), roundsLeft(rounds), random(seed), ended(std::move(ended))
{
    this->next = this->loop.after(firstFaults, [this] { this->startRound(); });
}

std::size_t SoakFaults::below(std::size_t bound)
{
    return this->random() % bound;
}

absl::Duration SoakFaults::between(absl::Duration least, absl::Duration most)
{
    return least + (most - least) * (static_cast<double>(this->below(1000)) / 1000.0);
}

void SoakFaults::startRound()
{
    this->timers.clear();
    this->inFaultPhase = true;
    this->phaseEnd = this->loop.now() + this->faultTime;
    this->state.calmSince = absl::InfiniteFuture();
    this->state.report.note("faults begin");
    this->nextFault();
}

void SoakFaults::nextFault()
{
    if (this->loop.now() >= this->phaseEnd) {
        this->inFaultPhase = false;
        if (this->busy.empty()) {
            this->endFaultPhase();
        }
        return;
    }
    const Fault fault = this->draw();
    if (!this->busy.contains(fault.target)) {
        this->begin(fault);
    }
    this->next = this->loop.after(this->between(leastGap, longestGap), [this] { this->nextFault(); });
}

void SoakFaults::begin(const Fault &fault)
{
    const absl::Duration lasts = this->between(leastFault, longestFault);
    this->state.report.note(absl::StrCat("fault ", fault.name, " at ", fault.target, " for ", absl::ToInt64Milliseconds(lasts), " ms"));
    this->state.report.count("faults");
    this->busy.insert(fault.target);
    fault.begin();
    this->timers.push_back(this->loop.after(lasts, [this, fault] {
        this->state.report.note(absl::StrCat("fault ", fault.name, " at ", fault.target, " ends"));
        fault.end();
        this->busy.erase(fault.target);
        if (!this->inFaultPhase && this->busy.empty()) {
            this->endFaultPhase();
        }
    }));
}

void SoakFaults::endFaultPhase()
{
    this->state.calmSince = this->loop.now();
    this->state.report.note("calm begins");
    this->next = this->loop.after(plannedFrom, [this] { this->plannedWork(); });
    this->timers.push_back(this->loop.after(calmTime, [this] {
        if (--this->roundsLeft > 0) {
            this->startRound();
        } else {
            this->ended();
        }
    }));
}

void SoakFaults::plannedWork()
{
    if (this->loop.now() > this->state.calmSince + calmTime - plannedFrom) {
        return;
    }
    switch (this->below(4)) {
    case 0:
        this->drainOne();
        break;
    case 1:
        this->fleet.stopHost(this->below(this->fleet.hostCount()));
        break;
    case 2:
        this->fleet.reloadHost(this->below(this->fleet.hostCount()));
        break;
    default:
        this->changeConfig();
        break;
    }
    this->next = this->loop.after(plannedGap, [this] { this->plannedWork(); });
}

void SoakFaults::drainOne()
{
    this->fleet.drainUpstream(this->below(this->fleet.upstreamCount()), [this](const std::string &id) { this->state.leaving[id] = this->loop.now(); });
}

void SoakFaults::changeConfig()
{
    this->fleet.writeConfig([this](int version) {
        this->state.configVersion = version;
        this->state.configAcknowledged = this->loop.now();
    });
}

SoakFaults::Fault SoakFaults::draw()
{
    switch (this->below(9)) {
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
        return this->herdKill();
    }
}

SoakFaults::Fault SoakFaults::drawHostFault()
{
    const std::size_t host = this->below(this->fleet.hostCount());
    const std::string target = absl::StrCat("host-", host);
    const auto recover = [this, host] { this->fleet.recoverHost(host); };
    switch (this->below(4)) {
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

SoakFaults::Fault SoakFaults::herdKill()
{
    return {.name = "herd killed",
            .target = "all hosts",
            .begin =
                [this] {
                    for (std::size_t host = 0; host < this->fleet.hostCount(); ++host) {
                        if (!this->busy.contains(absl::StrCat("host-", host))) {
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
    const std::size_t upstream = this->below(this->fleet.upstreamCount());
    const std::string target = absl::StrCat("upstream-", upstream);
    const auto recover = [this, upstream] { this->fleet.recoverUpstream(upstream); };
    switch (this->below(4)) {
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
        const std::string mode = modes[this->below(modes.size())];
        return {.name = "upstream " + mode,
                .target = target,
                .begin = [this, upstream, mode] { this->fleet.setUpstreamMode(upstream, mode); },
                .end = [this, upstream] { this->fleet.setUpstreamMode(upstream, "serving"); }};
    }
}

SoakFaults::Fault SoakFaults::drawStoreFault()
{
    static const std::vector<std::string> modes{"busy", "silent", "answers-lost"};
    switch (this->below(4)) {
    case 0:
        return {.name = "store paused", .target = "store", .begin = [this] { this->fleet.pauseStore(); }, .end = [this] { this->fleet.resumeStore(); }};
    case 1:
        return {.name = "history dropped", .target = "store history", .begin = [this] { this->fleet.compactStore(); }, .end = [] {}};
    default:
        const std::string mode = modes[this->below(modes.size())];
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
    switch (this->below(7)) {
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
        faults.dropAnswers = 1 + static_cast<std::int64_t>(this->below(3));
        break;
    case 4:
        freeze = RouteFreeze::Existing;
        break;
    case 5:
        freeze = RouteFreeze::All;
        break;
    default:
        faults.delayToTarget = this->between(absl::Milliseconds(10), absl::Milliseconds(400));
        faults.delayToClient = this->between(absl::Milliseconds(10), absl::Milliseconds(400));
        break;
    }
    return faults;
}

SoakFaults::Fault SoakFaults::drawLinkFault()
{
    RouteFreeze freeze = RouteFreeze::None;
    const RouteFaults faults = this->drawRouteFaults(freeze);
    if (this->below(2) == 0) {
        const std::size_t host = this->below(this->fleet.hostCount());
        return {.name = "link to the store",
                .target = absl::StrCat("store link ", host),
                .begin = [this, host, faults, freeze] { this->fleet.setStoreLink(host, faults, freeze); },
                .end = [this, host] { this->fleet.setStoreLink(host, {}, RouteFreeze::None); }};
    }
    const std::size_t upstream = this->below(this->fleet.upstreamCount());
    return {.name = "link to an upstream",
            .target = absl::StrCat("upstream link ", upstream),
            .begin = [this, upstream, faults, freeze] { this->fleet.setUpstreamLink(upstream, faults, freeze); },
            .end = [this, upstream] { this->fleet.setUpstreamLink(upstream, {}, RouteFreeze::None); }};
}

} // namespace Bergamotramp
