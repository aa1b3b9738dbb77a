#include "MembershipCluster.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

const absl::Duration period = MembershipSettings().period;
const absl::Duration tickInterval = period / 8;

} // namespace

MembershipCluster::MembershipCluster(std::size_t size, std::uint64_t seed, NetworkFaults faults) : random(seed), faults(faults)
{
    for (std::size_t index = 0; index < size; ++index) {
        this->nodes[absl::StrCat("host-", index)].incarnation = 100;
    }
    for (const auto &[name, node] : this->nodes) {
        this->restart(name);
    }
}

void MembershipCluster::add(const std::string &name)
{
    this->nodes[name].incarnation = 100;
    this->restart(name);
}

void MembershipCluster::restart(const std::string &name)
{
    Node &node = this->nodes.at(name);
    const bool ticking = node.membership != nullptr;
    node.incarnation += 100;
    node.lastClaims.clear();
    node.membership = std::make_unique<Membership>(hostInfo(name, node.incarnation), MembershipSettings(), std::mt19937_64(this->random()), this->now);
    this->execute(name, node.membership->receiveHostList(this->hostList(), this->now));
    if (!ticking) {
        this->events.emplace(this->now + tickInterval * std::uniform_real_distribution<>(0, 1)(this->random), [this, name] { this->tick(name); });
    }
}

void MembershipCluster::crash(const std::string &name)
{
    this->nodes.at(name).membership.reset();
}

void MembershipCluster::setPaused(const std::string &name, bool paused)
{
    Node &node = this->nodes.at(name);
    node.paused = paused;
    if (!paused) {
        for (std::function<void()> &message : std::exchange(node.undelivered, {})) {
            this->events.emplace(this->now, std::move(message));
        }
    }
}

void MembershipCluster::leave(const std::string &name)
{
    this->execute(name, this->nodes.at(name).membership->leave(this->now));
}

void MembershipCluster::setPartition(const std::string &name, int partition)
{
    this->nodes.at(name).partition = partition;
}

void MembershipCluster::blockConnection(const std::string &from, const std::string &to)
{
    this->blockedConnections.emplace(from, to);
}

bool MembershipCluster::hasBlockedConnections() const
{
    return !this->blockedConnections.empty();
}

void MembershipCluster::run(absl::Duration length)
{
    this->runEventsUntil(this->now + length);
}

bool MembershipCluster::runUntil(const std::function<bool()> &done, int periods)
{
    for (int count = 0; count < periods && !done(); ++count) {
        this->run(period);
    }
    return done();
}

void MembershipCluster::runEventsUntil(absl::Time until)
{
    while (!this->events.empty() && this->events.begin()->first <= until) {
        const auto event = this->events.extract(this->events.begin());
        this->now = event.key();
        event.mapped()();
    }
    this->now = until;
}

void MembershipCluster::tick(const std::string &name)
{
    Node &node = this->nodes.at(name);
    if (!node.membership) {
        return;
    }
    if (!node.paused) {
        this->execute(name, node.membership->tick(this->now));
    }
    this->events.emplace(this->now + tickInterval, [this, name] { this->tick(name); });
}

void MembershipCluster::deliver(const std::string &from, const std::string &to, const wire::Envelope &envelope)
{
    Node &node = this->nodes.at(to);
    if (!node.membership) {
        return;
    }
    if (node.paused) {
        // A paused process reads its sockets when it continues.
        node.undelivered.emplace_back([this, from, to, envelope] { this->deliver(from, to, envelope); });
    } else if (envelope.has_ping()) {
        this->execute(to, node.membership->receivePing(from, envelope.ping(), this->now));
    } else if (envelope.has_ping_ack()) {
        this->execute(to, node.membership->receiveAck(from, envelope.ping_ack(), this->now));
    } else if (envelope.has_ping_request()) {
        this->execute(to, node.membership->receivePingRequest(from, envelope.ping_request(), this->now));
    }
}

void MembershipCluster::execute(const std::string &name, const MembershipActions &actions)
{
    for (const MembershipAction &action : actions) {
        if (const auto *message = std::get_if<SendMessage>(&action)) {
            this->enqueue(name, *message);
        } else if (const auto *change = std::get_if<MemberChanged>(&action)) {
            this->recordChange(name, *change);
        } else {
            this->blockedConnections.erase({name, std::get<ReplaceConnection>(action).to});
        }
    }
}

void MembershipCluster::enqueue(const std::string &from, const SendMessage &message)
{
    const wire::Envelope &envelope = message.envelope;
    ++this->messages;
    this->bytes += envelope.ByteSizeLong();
    if (!envelope.has_ping() || envelope.ping().sequence() != 0) {
        this->maxUpdates =
            std::max({this->maxUpdates, envelope.ping().updates_size(), envelope.ping_ack().updates_size(), envelope.ping_request().updates_size()});
    }
    const auto target = this->nodes.find(message.to);
    std::uniform_real_distribution<> uniform(0, 1);
    if (target == this->nodes.end() || target->second.partition != this->nodes.at(from).partition || this->blockedConnections.contains({from, message.to})) {
        return;
    }
    const int copies = (uniform(this->random) < this->faults.loss ? 0 : 1) + (uniform(this->random) < this->faults.duplication ? 1 : 0);
    for (int copy = 0; copy < copies; ++copy) {
        this->events.emplace(this->now + this->faults.maxDelay * uniform(this->random),
                             [this, from, to = message.to, envelope] { this->deliver(from, to, envelope); });
    }
}

void MembershipCluster::recordChange(const std::string &name, const MemberChanged &change)
{
    const MemberClaim claim{change.host.incarnation, change.state};
    const auto [previous, isNew] = this->nodes.at(name).lastClaims.try_emplace(change.host.name, claim);
    if (!isNew && claim <= previous->second) {
        this->violations.push_back(absl::StrCat(name,
                                                " sees ",
                                                change.host.name,
                                                " go from ",
                                                previous->second.incarnation,
                                                "/",
                                                previous->second.state,
                                                " to ",
                                                claim.incarnation,
                                                "/",
                                                claim.state));
    }
    previous->second = claim;
    if (claim.state == wire::MEMBER_STATE_DEAD) {
        this->declaredDead[name].insert(change.host.name);
    }
}

bool MembershipCluster::allSeeAllAlive() const
{
    const std::vector<std::string> names = this->running();
    return std::all_of(names.begin(), names.end(), [this](const std::string &name) { return this->allSee(name, wire::MEMBER_STATE_ALIVE); });
}

bool MembershipCluster::allSee(const std::string &name, wire::MemberState state) const
{
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto &entry) {
        if (!entry.second.membership || entry.first == name) {
            return true;
        }
        const std::optional<MemberClaim> claim = entry.second.membership->claim(name);
        return claim && claim->state == state;
    });
}

std::vector<std::string> MembershipCluster::running() const
{
    std::vector<std::string> names;
    for (const auto &[name, node] : this->nodes) {
        if (node.membership) {
            names.push_back(name);
        }
    }
    return names;
}

const Membership &MembershipCluster::at(const std::string &name) const
{
    return *this->nodes.at(name).membership;
}

std::vector<HostListEntry> MembershipCluster::hostList() const
{
    std::vector<HostListEntry> entries;
    for (const auto &[name, node] : this->nodes) {
        entries.push_back({hostInfo(name, 0), false});
    }
    return entries;
}

HostInfo MembershipCluster::hostInfo(const std::string &name, std::uint64_t incarnation)
{
    return {name, incarnation, "nordeste", "recife-a", name + ":1", name + ":2", name + ":3"};
}

} // namespace Bergamotramp
