#include "JournalShard.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "SimulatedStore.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration runTime = absl::Seconds(5);

/** One host of the simulation and what it has outstanding at the store. */
struct SimulatedHost {
    std::unique_ptr<JournalShard> shard;
    std::optional<JournalReadObject> read;
    std::optional<JournalWriteObject> write;
    /** The store has taken the call; the answer is under way. */
    std::optional<JournalReadResult> readAnswer;
    std::optional<WriteResult> writeAnswer;
    std::uint64_t incarnation = 0;
};

/** A permission to run that a caller has received. */
struct Grant {
    std::string key;
    std::uint32_t attempt = 0;
    std::uint64_t request = 0;
    absl::Time deadline;
    bool ended = false;
    bool notRun = false;
};

struct OpenRequest {
    std::string key;
    std::uint64_t call = 0;
    absl::Time deadline;
    bool idempotent = false;
    /** Permissions given before the request arrived. */
    std::size_t earlierGrants = 0;
    bool finishedBefore = false;
    std::size_t host = 0;
};

/** Hosts that compete for one shard over a store whose answers get lost or late. */
class Simulation
{
public:
    explicit Simulation(absl::Duration requestWait) : requestWait(requestWait)
    {
        for (std::size_t host = 0; host < this->hosts.size(); ++host) {
            this->restart(host);
        }
    }

    void step(int kind, std::size_t host, int choice)
    {
        switch (kind) {
        case 0:
            this->take(host, this->hosts[host].shard->takeOver(this->now));
            break;
        case 1:
            this->begin(host, choice);
            break;
        case 2:
            this->finish(host, choice);
            break;
        case 3:
            this->now += absl::Milliseconds(choice * 20);
            this->take(host, this->hosts[host].shard->tick(this->now));
            break;
        case 4:
            if (choice == 0) {
                this->restart(host);
            }
            break;
        case 5:
            this->store.settleLate(static_cast<std::size_t>(choice));
            break;
        case 6:
            this->now += choice == 0 ? absl::Seconds(3) : absl::ZeroDuration();
            break;
        default:
            this->callStore(host, choice);
            this->answer(host);
            break;
        }
    }

    /** Lets everything run without faults until all requests of one host are answered. */
    void settle()
    {
        for (int round = 0; round < 300; ++round) {
            this->store.settleLate(0);
            for (std::size_t host = 0; host < this->hosts.size(); ++host) {
                this->callStore(host, 99);
                this->answer(host);
                this->take(host, this->hosts[host].shard->tick(this->now));
            }
            this->now += absl::Milliseconds(100);
        }
    }

    [[nodiscard]] std::size_t openRequests() const
    {
        return this->requests.size();
    }
    [[nodiscard]] std::size_t grantCount() const
    {
        return this->grants.size();
    }

    std::map<std::string, std::string> results;
    int neverStarted = 0;
    SimulatedStore store;

    void take(std::size_t host, const JournalActions &actions)
    {
        for (const JournalAction &action : actions) {
            if (const auto *read = std::get_if<JournalReadObject>(&action)) {
                this->hosts[host].read = *read;
            } else if (const auto *write = std::get_if<JournalWriteObject>(&action)) {
                this->hosts[host].write = *write;
            } else if (const auto *obsolete = std::get_if<JournalDeleteObjects>(&action)) {
                for (const std::string &key : obsolete->keys) {
                    this->store.removeLate(key);
                }
            } else {
                this->receive(std::get<JournalReply>(action));
            }
        }
    }

private:
    void restart(std::size_t host)
    {
        SimulatedHost &fresh = this->hosts[host];
        fresh = SimulatedHost{};
        std::erase_if(this->requests, [host](const auto &entry) { return entry.second.host == host; });
        fresh.incarnation = ++this->lastIncarnation;
        JournalShardSettings settings;
        settings.host = absl::StrCat("host-", host);
        settings.incarnation = fresh.incarnation;
        settings.requestWait = this->requestWait;
        settings.appendInterval = absl::ZeroDuration();
        settings.snapshotObjects = 3;
        settings.objectBytes = 150;
        fresh.shard = std::make_unique<JournalShard>(settings);
    }

    // The keys a0 to a2 are idempotent, b0 to b2 are not.
    void begin(std::size_t host, int choice)
    {
        const bool idempotent = choice % 2 == 0;
        const std::string key = absl::StrCat(idempotent ? "a" : "b", choice % 3);
        const std::uint64_t request = ++this->lastRequest;
        this->requests[request] = {key, request, this->now + runTime, idempotent, this->grants.size(), this->results.count(key) != 0U, host};
        this->take(host, this->hosts[host].shard->begin(request, {key, 1, idempotent, absl::StrCat("host-", host), request, runTime}, this->now));
    }

    void finish(std::size_t host, int choice)
    {
        if (this->grants.empty()) {
            return;
        }
        Grant &grant = this->grants[static_cast<std::size_t>(choice) % this->grants.size()];
        const bool notRun = choice % 4 == 0 && !grant.ended;
        if (grant.notRun) {
            return;
        }
        grant.notRun = notRun;
        grant.ended = true;
        JournalCompletion completion{grant.key, grant.attempt, {}, notRun};
        completion.result.set_body(absl::StrCat("result of ", grant.request));
        const std::uint64_t request = ++this->lastRequest;
        this->requests[request] = {grant.key, 0, this->now, false, 0, false, host};
        this->take(host, this->hosts[host].shard->finish(request, completion, this->now));
    }

    void callStore(std::size_t index, int choice)
    {
        SimulatedHost &host = this->hosts[index];
        if (host.read.has_value() && !host.readAnswer.has_value()) {
            const bool failed = choice == 1;
            host.readAnswer = failed ? JournalReadResult{} : JournalReadResult{true, this->store.get(host.read->key)};
        } else if (host.write.has_value() && !host.writeAnswer.has_value()) {
            host.writeAnswer = this->store.put(host.write->key, host.write->value, host.write->precondition, choice);
        }
    }

    void answer(std::size_t index)
    {
        SimulatedHost &host = this->hosts[index];
        if (host.readAnswer.has_value()) {
            const JournalReadResult result = *std::exchange(host.readAnswer, std::nullopt);
            const std::uint64_t ticket = std::exchange(host.read, std::nullopt)->ticket;
            this->take(index, host.shard->objectRead(ticket, result, this->now));
        } else if (host.writeAnswer.has_value()) {
            const WriteResult result = *std::exchange(host.writeAnswer, std::nullopt);
            const std::uint64_t ticket = std::exchange(host.write, std::nullopt)->ticket;
            this->take(index, host.shard->writeSettled(ticket, result, this->now));
        }
    }

    void receive(const JournalReply &reply)
    {
        const auto found = this->requests.find(reply.request);
        if (found == this->requests.end()) {
            return;
        }
        const OpenRequest request = found->second;
        this->requests.erase(found);
        if (const auto *begun = std::get_if<wire::JournalBegun>(&reply.answer)) {
            this->checkBegun(request, *begun);
        } else if (const auto *finished = std::get_if<wire::JournalFinished>(&reply.answer)) {
            this->checkResult(request.key, finished->state(), finished->result());
        }
    }

    void checkBegun(const OpenRequest &request, const wire::JournalBegun &begun)
    {
        this->checkResult(request.key, begun.state(), begun.result());
        this->neverStarted += begun.never_started() ? 1 : 0;
        if (begun.never_started()) {
            const auto last = this->grants.begin() + static_cast<std::ptrdiff_t>(request.earlierGrants);
            RC_ASSERT(std::none_of(this->grants.begin(), last, [&](const Grant &grant) { return grant.key == request.key && !grant.notRun; }));
        }
        if (begun.state() != wire::JOURNAL_STATE_NEW) {
            return;
        }
        // A result that another host recorded after this intent became durable is allowed.
        RC_ASSERT(!request.finishedBefore);
        for (const Grant &grant : this->grants) {
            const bool active = !grant.ended && grant.deadline > this->now;
            RC_ASSERT(grant.key != request.key || !active);
            RC_ASSERT(grant.key != request.key || request.idempotent || grant.notRun);
        }
        this->grants.push_back({request.key, begun.attempt(), request.call, request.deadline, false, false});
    }

    void checkResult(const std::string &key, wire::JournalState state, const wire::RecordedResult &result)
    {
        if (state == wire::JOURNAL_STATE_FINISHED) {
            const auto [standing, inserted] = this->results.emplace(key, result.body());
            RC_ASSERT(standing->second == result.body());
        }
    }

    absl::Duration requestWait;
    absl::Time now = absl::FromUnixSeconds(1'700'000'000);
    std::array<SimulatedHost, 3> hosts;
    std::map<std::uint64_t, OpenRequest> requests;
    std::vector<Grant> grants;
    std::uint64_t lastRequest = 0;
    std::uint64_t lastIncarnation = 0;
};

using Steps = std::vector<std::tuple<int, std::size_t, int>>;

rc::Gen<Steps> genSteps(std::size_t count)
{
    // Calls of the store are the most frequent kind, or nothing would get done.
    const auto kind = rc::gen::weightedElement<int>({{1, 0}, {5, 1}, {4, 2}, {4, 3}, {1, 4}, {4, 5}, {1, 6}, {30, 7}});
    const auto step = rc::gen::tuple(kind, rc::gen::inRange<std::size_t>(0, 3), rc::gen::inRange(0, 12));
    return rc::gen::container<Steps>(count, step);
}

// Guards against a key handed to two hosts, a result that changes, and "never started" for a key that was started, whatever the store's
// answers, takeovers and pauses between any two steps.
TEST(JournalShardTest, keysRunOnceWhateverFails)
{
    std::size_t grants = 0;
    std::size_t results = 0;
    int neverStarted = 0;
    EXPECT_TRUE(rc::check("journal shard", [&] {
        const Steps steps = *genSteps(600);
        Simulation simulation(absl::Seconds(1));
        for (const auto &[kind, host, choice] : steps) {
            simulation.step(kind, host, choice);
        }
        simulation.settle();
        RC_ASSERT(simulation.openRequests() == 0U);
        grants += simulation.grantCount();
        results += simulation.results.size();
        neverStarted += simulation.neverStarted;
    }));
    // A simulation that never gets anywhere would check nothing.
    EXPECT_GT(grants, 100U);
    EXPECT_GT(results, 50U);
    EXPECT_GT(neverStarted, 0);
}

JournalShardSettings settingsOf(const std::string &host)
{
    JournalShardSettings settings;
    settings.host = host;
    settings.incarnation = 1;
    settings.appendInterval = absl::ZeroDuration();
    return settings;
}

/** Runs a shard against the store without faults and returns the replies. */
std::vector<JournalReply> runToEnd(JournalShard &shard, SimulatedStore &store, JournalActions actions, absl::Time now)
{
    std::vector<JournalReply> replies;
    for (std::size_t position = 0; position < actions.size(); ++position) {
        const JournalAction action = actions[position];
        JournalActions more;
        if (const auto *read = std::get_if<JournalReadObject>(&action)) {
            more = shard.objectRead(read->ticket, {true, store.get(read->key)}, now);
        } else if (const auto *write = std::get_if<JournalWriteObject>(&action)) {
            more = shard.writeSettled(write->ticket, store.put(write->key, write->value, write->precondition, SimulatedStore::noFault), now);
        } else if (const auto *obsolete = std::get_if<JournalDeleteObjects>(&action)) {
            for (const std::string &key : obsolete->keys) {
                store.remove(key);
            }
        } else {
            replies.push_back(std::get<JournalReply>(action));
        }
        actions.insert(actions.end(), more.begin(), more.end());
    }
    return replies;
}

wire::JournalBegun beginOf(JournalShard &shard, SimulatedStore &store, const JournalIntent &intent, absl::Time now)
{
    const std::vector<JournalReply> replies = runToEnd(shard, store, shard.begin(1, intent, now), now);
    return replies.size() == 1 ? std::get<wire::JournalBegun>(replies[0].answer) : wire::JournalBegun();
}

// Guards against a paused holder whose next number was compacted away: it must still meet the opening of its successor.
TEST(JournalShardTest, pausedHolderFailsAfterCompaction)
{
    const absl::Time now = absl::FromUnixSeconds(1'700'000'000);
    SimulatedStore store;
    JournalShard first(settingsOf("first"));
    runToEnd(first, store, first.takeOver(now), now);
    JournalShardSettings settings = settingsOf("second");
    settings.snapshotObjects = 4;
    JournalShard second(settings);
    runToEnd(second, store, second.takeOver(now), now);
    for (int count = 0; count < 20; ++count) {
        const JournalIntent intent{absl::StrCat("key", count), 1, false, "second", static_cast<std::uint64_t>(count + 1), absl::Seconds(9)};
        ASSERT_EQ(beginOf(second, store, intent, now).state(), wire::JOURNAL_STATE_NEW);
    }
    ASSERT_TRUE(store.get("journal/0/snapshot").has_value());
    EXPECT_LT(store.size(), 12U);
    EXPECT_EQ(beginOf(first, store, {"key1", 1, false, "first", 9, absl::Seconds(9)}, now).state(), wire::JOURNAL_STATE_NOT_HOLDER);
    EXPECT_FALSE(first.active());
    runToEnd(first, store, first.takeOver(now), now);
    EXPECT_EQ(beginOf(first, store, {"key1", 1, false, "first", 9, absl::Seconds(9)}, now).state(), wire::JOURNAL_STATE_IN_PROGRESS);
    EXPECT_EQ(beginOf(first, store, {"key1", 2, false, "first", 9, absl::Seconds(9)}, now).state(), wire::JOURNAL_STATE_CONFLICT);
    EXPECT_EQ(beginOf(first, store, {"key1", 1, false, "first", 9, absl::Seconds(9)}, now + absl::Seconds(10)).state(), wire::JOURNAL_STATE_UNKNOWN);
}

// Guards against records that outlive the retention, and against a snapshot in several parts that loses entries.
TEST(JournalShardTest, snapshotKeepsEntriesUntilRetention)
{
    absl::Time now = absl::FromUnixSeconds(1'700'000'000);
    SimulatedStore store;
    JournalShardSettings settings = settingsOf("first");
    settings.snapshotObjects = 10;
    settings.objectBytes = 200;
    JournalShard shard(settings);
    runToEnd(shard, store, shard.takeOver(now), now);
    for (int count = 0; count < 35; ++count) {
        const JournalIntent intent{absl::StrCat("key", count), 1, true, "first", static_cast<std::uint64_t>(count + 1), absl::Seconds(9)};
        ASSERT_EQ(beginOf(shard, store, intent, now).state(), wire::JOURNAL_STATE_NEW);
    }
    JournalShard second(settingsOf("second"));
    runToEnd(second, store, second.takeOver(now), now);
    EXPECT_EQ(second.entryCount(), 35U);
    now += absl::Hours(25);
    for (int count = 0; count < 30; ++count) {
        ASSERT_EQ(beginOf(shard, store, {absl::StrCat("late", count), 1, true, "first", 99, absl::Seconds(9)}, now).state(),
                  count == 0 ? wire::JOURNAL_STATE_NOT_HOLDER : wire::JOURNAL_STATE_NEW);
        runToEnd(shard, store, shard.takeOver(now), now);
    }
    EXPECT_LE(shard.entryCount(), 29U);
}

} // namespace

} // namespace Bergamotramp
