#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Membership.h"

namespace Bergamotramp {

/** Faults of the fake network between the members of a cluster. */
struct NetworkFaults {
    double loss = 0;
    double duplication = 0;
    absl::Duration maxDelay = absl::Milliseconds(5);
};

/** Membership state machines connected by a message queue in virtual time. */
class MembershipCluster
{
public:
    MembershipCluster(std::size_t size, std::uint64_t seed, NetworkFaults faults);

    void add(const std::string &name);
    /** Ends the state machine; its messages in flight are still delivered. */
    void crash(const std::string &name);
    /** Starts the host again with a greater incarnation. */
    void restart(const std::string &name);
    void setPaused(const std::string &name, bool paused);
    void leave(const std::string &name);
    /** Messages pass only between hosts of equal side; all hosts start on side 0. */
    void setSide(const std::string &name, int side);
    /** Loses all messages from one host to the other until the sender replaces its connection. */
    void silence(const std::string &from, const std::string &to);
    [[nodiscard]] bool hasSilentConnections() const;
    void run(absl::Duration length);
    /** Runs until @p done holds, for at most @p periods; returns whether it held. */
    bool runUntil(const std::function<bool()> &done, int periods);

    /** Whether every running host holds every running host alive. */
    [[nodiscard]] bool allSeeAllAlive() const;
    [[nodiscard]] bool allSee(const std::string &name, wire::MemberState state) const;
    [[nodiscard]] std::vector<std::string> running() const;
    [[nodiscard]] const Membership &at(const std::string &name) const;

    /** Observations where a claim about a member did not advance. Empty in a correct run. */
    std::vector<std::string> violations;
    /** Names that a host declared dead, by the host. */
    std::map<std::string, std::set<std::string>> declaredDead;
    std::size_t messages = 0;
    std::size_t bytes = 0;
    int maxUpdates = 0;

private:
    struct Node {
        std::unique_ptr<Membership> membership;
        std::uint64_t incarnation = 0;
        int side = 0;
        bool paused = false;
        std::map<std::string, MemberClaim> seen;
        std::vector<std::function<void()>> unread;
    };

    void step(absl::Time until);
    void tick(const std::string &name);
    void deliver(const std::string &from, const std::string &to, const wire::Envelope &envelope);
    void execute(const std::string &name, const MembershipActions &actions);
    void enqueue(const std::string &from, const SendMessage &message);
    void observe(const std::string &name, const MemberChanged &change);
    [[nodiscard]] std::vector<HostNotice> hostList() const;
    static HostInfo infoOf(const std::string &name, std::uint64_t incarnation);

    std::mt19937_64 random;
    NetworkFaults faults;
    absl::Time now = absl::FromUnixSeconds(1'000'000);
    std::map<std::string, Node> nodes;
    std::set<std::pair<std::string, std::string>> silent;
    std::multimap<absl::Time, std::function<void()>> events;
};

} // namespace Bergamotramp
