#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Membership.h"

namespace Bergamotramp {

/** Faults of the simulated network. Loss and duplication are probabilities per message. */
struct NetworkFaults {
    double loss = 0;
    double duplication = 0;
    absl::Duration maxDelay = absl::Milliseconds(5);
};

/** Simulation in virtual time of hosts that each run a Membership and exchange messages over a faulty network. */
class MembershipCluster
{
public:
    MembershipCluster(std::size_t size, std::uint64_t seed, NetworkFaults faults);

    void add(const std::string &name);
    /** Stops the host without notice; messages that it has sent are still delivered. */
    void crash(const std::string &name);
    /** Starts the host again with a greater incarnation. */
    void restart(const std::string &name);
    /** A paused host does nothing; it receives its messages when it continues. */
    void setPaused(const std::string &name, bool paused);
    void leave(const std::string &name);
    /** Assigns a host to a network partition. Messages pass only within a partition; all hosts start in partition 0. */
    void setPartition(const std::string &name, int partition);
    /** Drops all messages from one host to the other until the sender replaces its connection. */
    void blockConnection(const std::string &from, const std::string &to);
    [[nodiscard]] bool hasBlockedConnections() const;
    void run(absl::Duration length);
    /** Runs until @p done holds, for at most @p periods; returns whether it held. */
    bool runUntil(const std::function<bool()> &done, int periods);

    /** Whether every running host considers every running host alive. */
    [[nodiscard]] bool allSeeAllAlive() const;
    /** Whether every other running host considers the host to be in @p state. */
    [[nodiscard]] bool allSee(const std::string &name, wire::MemberState state) const;
    [[nodiscard]] std::vector<std::string> running() const;
    [[nodiscard]] const Membership &at(const std::string &name) const;

    /** State changes where the new claim about a member was not greater than the previous one. Empty in a correct run. */
    std::vector<std::string> violations;
    /** For each host, the names of the hosts that it declared dead. */
    std::map<std::string, std::set<std::string>> declaredDead;
    std::size_t messages = 0;
    std::size_t bytes = 0;
    /** Most member updates in one message, not counting digests. */
    int maxUpdates = 0;

private:
    struct Node {
        std::unique_ptr<Membership> membership;
        std::uint64_t incarnation = 0;
        int partition = 0;
        bool paused = false;
        std::map<std::string, MemberClaim> lastClaims;
        std::vector<std::function<void()>> undelivered;
    };

    void runEventsUntil(absl::Time until);
    void tick(const std::string &name);
    void deliver(const std::string &from, const std::string &to, const wire::Envelope &envelope);
    void execute(const std::string &name, const MembershipActions &actions);
    void enqueue(const std::string &from, const SendMessage &message);
    void recordChange(const std::string &name, const MemberChanged &change);
    [[nodiscard]] std::vector<HostListEntry> hostList() const;
    static HostInfo hostInfo(const std::string &name, std::uint64_t incarnation);

    std::mt19937_64 random;
    NetworkFaults faults;
    absl::Time now = absl::FromUnixSeconds(1'000'000);
    std::map<std::string, Node> nodes;
    std::set<std::pair<std::string, std::string>> blockedConnections;
    std::multimap<absl::Time, std::function<void()>> events;
};

} // namespace Bergamotramp
