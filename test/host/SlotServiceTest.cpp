#include "SlotService.h"

#include <algorithm>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>

#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include "CrashQuarantine.h"
#include "Eventually.h"
#include "RendezvousHash.h"
#include "TimerService.h"
#include "Transport.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration testTimeout = absl::Seconds(60);

ServiceSpec serviceSpec(const std::string &name, ServiceKind kind, const std::string &region, std::int64_t slots)
{
    ServiceSpec spec;
    spec.name = name;
    spec.kind = kind;
    spec.slotsPerUpstream = slots;
    spec.online.reserveShare = 0.0;
    spec.upstreams = {{name + "-1", "127.0.0.1:1", region, "recife-a", false}, {name + "-2", "127.0.0.1:2", region, "recife-a", false}};
    return spec;
}

/** Slot services of three hosts of one region in one process. */
class SlotServiceTest : public testing::Test
{
protected:
    struct Host {
        HostContext context;
        TimerService timers;
        std::unique_ptr<Transport> transport;
        std::unique_ptr<SlotService> slots;
        std::mutex mutex;
        /** Incoming messages are dropped; also set until all hosts have started. */
        bool silent = true;
        /** Incoming messages are kept until deliver(). */
        bool delayMessages = false;
        std::vector<wire::Envelope> delayedMessages;

        void receive(const wire::Envelope &message)
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (this->delayMessages) {
                this->delayedMessages.push_back(message);
            } else if (!this->silent) {
                this->slots->handle(message);
            }
        }

        void set(bool Host::*flag, bool value)
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->*flag = value;
        }

        bool hasCrashNotice()
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            return std::any_of(
                this->delayedMessages.begin(), this->delayedMessages.end(), [](const wire::Envelope &message) { return message.has_suspect_notice(); });
        }

        void deliver()
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->delayMessages = false;
            for (const wire::Envelope &message : this->delayedMessages) {
                this->slots->handle(message);
            }
            this->delayedMessages.clear();
        }
    };

    void SetUp() override
    {
        Catalogue catalogue;
        catalogue.generation = 1;
        catalogue.services = {serviceSpec("modelo", ServiceKind::Model, "nordeste", 2), serviceSpec("vitrine", ServiceKind::Plain, "nordeste", 6)};
        this->services = std::make_shared<const Catalogue>(catalogue);
        for (const std::string name : {"h1", "h2", "h3"}) {
            this->addTransport(name);
        }
        for (const auto &host : this->hosts) {
            host->slots = std::make_unique<SlotService>(host->context);
        }
        for (const auto &host : this->hosts) {
            host->set(&Host::silent, false);
        }
    }

    void TearDown() override
    {
        // A service must not receive messages during its destruction, but its timer needs the transport until then.
        for (const auto &host : this->hosts) {
            host->set(&Host::silent, true);
            host->slots.reset();
        }
    }

    void addTransport(const std::string &name)
    {
        auto host = std::make_unique<Host>();
        Host *target = host.get();
        host->transport = std::make_unique<Transport>("127.0.0.1:0",
                                                      Transport::Hooks{[target](const wire::Envelope &message) { target->receive(message); },
                                                                       [name](wire::Envelope &message) { message.mutable_from()->set_name(name); }});
        host->context.settings.name = name;
        host->context.settings.region = "nordeste";
        host->context.transport = host->transport.get();
        host->context.timers = &host->timers;
        host->context.liveHosts = [this] {
            const std::lock_guard<std::mutex> lock(this->mutex);
            return this->live;
        };
        host->context.catalogue = [this] { return this->services; };
        HostInfo info;
        info.name = name;
        info.region = "nordeste";
        info.peerAddress = host->transport->address();
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->live.push_back(info);
        this->hosts.push_back(std::move(host));
    }

    std::size_t holderIndex()
    {
        std::vector<std::string> names;
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const HostInfo &info : this->live) {
            names.push_back(info.name);
        }
        const std::string holder = rendezvousPick("modelo/nordeste", names);
        return static_cast<std::size_t>(holder.back() - '1');
    }

    Host &holder()
    {
        return *this->hosts.at(this->holderIndex());
    }

    Host &other(std::size_t distance)
    {
        return *this->hosts.at((this->holderIndex() + distance) % 3);
    }

    void loseHost(const Host &lostHost)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::erase_if(this->live, [&lostHost](const HostInfo &info) { return info.name == lostHost.context.settings.name; });
    }

    void joinHost(const Host &joined)
    {
        HostInfo info;
        info.name = joined.context.settings.name;
        info.incarnation = 2;
        info.region = "nordeste";
        info.peerAddress = joined.transport->address();
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->live.push_back(info);
    }

    static SlotDemand demand(wire::WorkClass workClass, absl::Duration wait = testTimeout)
    {
        SlotDemand demand;
        demand.service = "modelo";
        demand.workClass = workClass;
        demand.organisation = "acme";
        demand.deadline = absl::Now() + wait;
        return demand;
    }

    static SlotTicket acquireTicket(Host &host, const SlotDemand &demand)
    {
        const auto answer = host.slots->acquire(demand, [] {});
        const auto *denial = std::get_if<SlotDenial>(&answer);
        EXPECT_EQ(denial, nullptr) << denial->code;
        return denial == nullptr ? std::get<SlotTicket>(answer) : SlotTicket();
    }

    /** Waits until a request of @p host gets its slot from the holder again. */
    static void waitForHolder(Host &host)
    {
        EXPECT_TRUE(eventually([&host] {
            const SlotTicket ticket = acquireTicket(host, demand(wire::WORK_CLASS_ONLINE));
            host.slots->release(ticket, {});
            return !ticket.fallback;
        }));
    }

    /** Whether a request is denied; releases the slot if it is granted. */
    static bool isDenied(Host &host, const SlotDemand &demand)
    {
        const auto answer = host.slots->acquire(demand, [] {});
        if (const auto *ticket = std::get_if<SlotTicket>(&answer)) {
            GrantOutcome cancelled;
            cancelled.result = wire::SLOT_RESULT_CANCELLED;
            host.slots->release(*ticket, cancelled);
        }
        return std::holds_alternative<SlotDenial>(answer);
    }

    static nlohmann::json pool(const Host &host)
    {
        return host.slots->status()["pools"]["modelo/nordeste"];
    }

    static std::int64_t inFlight(const Host &host)
    {
        const nlohmann::json status = pool(host);
        return status.contains("in_flight") ? status["in_flight"]["online"].get<std::int64_t>() + status["in_flight"]["batch"].get<std::int64_t>() : -1;
    }

    std::mutex mutex;
    std::vector<HostInfo> live;
    std::shared_ptr<const Catalogue> services;
    std::vector<std::unique_ptr<Host>> hosts;
};

// Guards against hosts that together hold more slots than the upstreams have.
TEST_F(SlotServiceTest, hostsShareTheSlotsOfThePool)
{
    std::map<std::string, int> perUpstream;
    for (std::size_t index = 0; index < 4; ++index) {
        const SlotTicket ticket = acquireTicket(other(index), demand(wire::WORK_CLASS_ONLINE));
        EXPECT_FALSE(ticket.fallback);
        ++perUpstream[ticket.upstream];
    }
    EXPECT_EQ(perUpstream, (std::map<std::string, int>{{"modelo-1", 2}, {"modelo-2", 2}}));
    const auto answer = other(1).slots->acquire(demand(wire::WORK_CLASS_ONLINE, absl::Milliseconds(300)), [] {});
    ASSERT_TRUE(std::holds_alternative<SlotDenial>(answer));
    EXPECT_EQ(std::get<SlotDenial>(answer).code, "deadline");
}

// Guards against an online request that waits although the slot is held by batch work of another host.
TEST_F(SlotServiceTest, onlineRequestRevokesBatchWorkOfAnotherHost)
{
    std::promise<int> revoked;
    std::vector<SlotTicket> batch;
    for (int index = 0; index < 4; ++index) {
        const auto answer = other(1).slots->acquire(demand(wire::WORK_CLASS_BATCH), [&revoked, index] { revoked.set_value(index); });
        ASSERT_TRUE(std::holds_alternative<SlotTicket>(answer));
        batch.push_back(std::get<SlotTicket>(answer));
    }
    auto online = std::async(std::launch::async, [this] { return acquireTicket(other(2), demand(wire::WORK_CLASS_ONLINE)); });
    const SlotTicket &revokedTicket = batch.at(static_cast<std::size_t>(revoked.get_future().get()));
    GrantOutcome cancelled;
    cancelled.result = wire::SLOT_RESULT_CANCELLED;
    other(1).slots->release(revokedTicket, cancelled);
    EXPECT_EQ(online.get().upstream, revokedTicket.upstream);
}

// Guards against requests that fail or hang while the holder does not answer and is still listed as live.
TEST_F(SlotServiceTest, silentHolderIsReplacedByTheShareAndThenByTheNextHolder)
{
    Host &lostHost = holder();
    Host &asking = other(1);
    lostHost.set(&Host::silent, true);
    const SlotTicket shareTicket = acquireTicket(asking, demand(wire::WORK_CLASS_ONLINE));
    EXPECT_TRUE(shareTicket.fallback);
    loseHost(lostHost);
    EXPECT_TRUE(eventually([&] { return pool(asking)["holder"] == holder().context.settings.name; }));
    const SlotTicket next = acquireTicket(asking, demand(wire::WORK_CLASS_ONLINE));
    EXPECT_FALSE(next.fallback);
    // The new holder learns of the slot that was granted before it became the holder.
    EXPECT_TRUE(eventually([&] { return inFlight(holder()) == 2; }));
}

// Guards against a request that waits forever in the queue of a failed holder.
TEST_F(SlotServiceTest, queuedRequestMovesToTheNextHolder)
{
    Host &lostHost = holder();
    Host &asking = other(1);
    std::vector<SlotTicket> allSlots;
    for (int index = 0; index < 4; ++index) {
        allSlots.push_back(acquireTicket(lostHost, demand(wire::WORK_CLASS_ONLINE)));
    }
    auto waiting = std::async(std::launch::async, [&] { return acquireTicket(asking, demand(wire::WORK_CLASS_ONLINE)); });
    EXPECT_TRUE(eventually([&] { return pool(lostHost)["queued"]["online"] == 1; }));
    // A host that kept running would report its four slots to the next holder, and the request would correctly wait.
    lostHost.set(&Host::silent, true);
    lostHost.slots.reset();
    loseHost(lostHost);
    EXPECT_NE(waiting.get().upstream, "");
}

// Guards against a slot that leaks when its grant arrives after the requesting host has timed out, and against a grant that
// is used twice.
TEST_F(SlotServiceTest, lateGrantIsReturned)
{
    Host &asking = other(1);
    asking.set(&Host::delayMessages, true);
    const SlotTicket shareTicket = acquireTicket(asking, demand(wire::WORK_CLASS_ONLINE));
    EXPECT_TRUE(shareTicket.fallback);
    asking.deliver();
    EXPECT_TRUE(eventually([this] { return inFlight(holder()) == 1; }));
    asking.slots->release(shareTicket, {});
    EXPECT_TRUE(eventually([this] { return inFlight(holder()) == 0; }));
    EXPECT_EQ(asking.slots->status()["tickets"], 0);
}

// Guards against messages between hosts for plain services, whose slots each host grants from its own share.
TEST_F(SlotServiceTest, plainServiceSendsNoMessage)
{
    SlotDemand plain = demand(wire::WORK_CLASS_ONLINE);
    plain.service = "vitrine";
    std::vector<SlotTicket> tickets;
    for (int index = 0; index < 4; ++index) {
        tickets.push_back(acquireTicket(other(1), plain));
        EXPECT_FALSE(tickets.back().fallback);
    }
    // This host's share is used up: six slots on each of two upstreams, divided by three hosts.
    plain.deadline = absl::Now() + absl::Milliseconds(50);
    EXPECT_TRUE(std::holds_alternative<SlotDenial>(other(1).slots->acquire(plain, [] {})));
    for (const SlotTicket &ticket : tickets) {
        other(1).slots->release(ticket, {});
    }
    EXPECT_EQ(other(1).transport->counts().messagesSent, 0U);
}

// Guards against a request that crashes one upstream after another because its caller retries it on other hosts.
TEST_F(SlotServiceTest, crashingRequestIsRefusedOnAllHosts)
{
    SlotDemand crashing = demand(wire::WORK_CLASS_ONLINE);
    crashing.fingerprint = 77;
    GrantOutcome crashed;
    crashed.result = wire::SLOT_RESULT_UPSTREAM_DIED;
    for (std::size_t attempt = 1; attempt <= CrashQuarantine::crashesToQuarantine; ++attempt) {
        const SlotTicket ticket = acquireTicket(other(attempt % 3), crashing);
        other(attempt % 3).slots->release(ticket, crashed);
        EXPECT_TRUE(eventually([this] { return inFlight(holder()) == 0; }));
    }
    for (std::size_t index = 0; index < 3; ++index) {
        const auto answer = other(index).slots->acquire(crashing, [] {});
        ASSERT_TRUE(std::holds_alternative<SlotDenial>(answer));
        EXPECT_EQ(std::get<SlotDenial>(answer).code, "quarantined");
    }
}

// Guards against a crash that no host counts: the host granted the slot from its share while the holder was silent, so the holder does not
// know the grant, and when the upstream crashes the holder answers again.
TEST_F(SlotServiceTest, crashOfASlotFromTheShareIsCounted)
{
    SlotDemand crashing = demand(wire::WORK_CLASS_ONLINE);
    crashing.fingerprint = 80;
    GrantOutcome crashed;
    crashed.result = wire::SLOT_RESULT_UPSTREAM_DIED;
    holder().set(&Host::silent, true);
    const SlotTicket shareTicket = acquireTicket(other(1), crashing);
    ASSERT_TRUE(shareTicket.fallback);
    holder().set(&Host::silent, false);
    this->waitForHolder(other(1));
    other(1).slots->release(shareTicket, crashed);
    for (std::uint32_t crash = 2; crash <= CrashQuarantine::crashesToQuarantine; ++crash) {
        holder().slots->release(acquireTicket(holder(), crashing), crashed);
    }
    const auto answer = holder().slots->acquire(crashing, [] {});
    ASSERT_TRUE(std::holds_alternative<SlotDenial>(answer)) << "a fourth upstream crashes";
    EXPECT_EQ(std::get<SlotDenial>(answer).code, "quarantined");
}

// Guards against a crash that is lost when two hosts each count one while the holder is silent and then learn of the other's count.
TEST_F(SlotServiceTest, crashesCountedByTwoHostsAddUp)
{
    SlotDemand crashing = demand(wire::WORK_CLASS_ONLINE);
    crashing.fingerprint = 81;
    GrantOutcome crashed;
    crashed.result = wire::SLOT_RESULT_UPSTREAM_DIED;
    holder().set(&Host::silent, true);
    crashing.excludedUpstreams = {"modelo-1"};
    const SlotTicket first = acquireTicket(other(1), crashing);
    crashing.excludedUpstreams = {"modelo-2"};
    const SlotTicket second = acquireTicket(other(2), crashing);
    ASSERT_TRUE(first.fallback && second.fallback && first.upstream != second.upstream);
    other(1).set(&Host::delayMessages, true);
    other(2).set(&Host::delayMessages, true);
    other(1).slots->release(first, crashed);
    other(2).slots->release(second, crashed);
    ASSERT_TRUE(eventually([this] { return other(1).hasCrashNotice() && other(2).hasCrashNotice(); }));
    holder().set(&Host::silent, false);
    other(1).deliver();
    other(2).deliver();
    crashing.excludedUpstreams.clear();
    other(1).slots->release(acquireTicket(other(1), crashing), crashed);
    EXPECT_TRUE(eventually([this] { return inFlight(holder()) == 0; }));
    const auto answer = other(1).slots->acquire(crashing, [] {});
    ASSERT_TRUE(std::holds_alternative<SlotDenial>(answer)) << "a fourth upstream crashes";
    EXPECT_EQ(std::get<SlotDenial>(answer).code, "quarantined");
}

// Guards against a batch item that a host refuses, for a model or a plain service, because an online request with the same content is
// quarantined: the item is owed.
TEST_F(SlotServiceTest, batchItemIsNotRefusedForCrashes)
{
    GrantOutcome crashed;
    crashed.result = wire::SLOT_RESULT_UPSTREAM_DIED;
    for (const std::string service : {"modelo", "vitrine"}) {
        SlotDemand crashing = demand(wire::WORK_CLASS_ONLINE);
        crashing.service = service;
        crashing.fingerprint = 79;
        for (std::uint32_t crash = 1; crash <= CrashQuarantine::crashesToQuarantine; ++crash) {
            holder().slots->release(acquireTicket(holder(), crashing), crashed);
        }
        EXPECT_TRUE(eventually([this, &crashing] { return isDenied(other(1), crashing); }));
        SlotDemand item = crashing;
        item.workClass = wire::WORK_CLASS_BATCH;
        for (Host *host : {&holder(), &other(1)}) {
            host->slots->release(acquireTicket(*host, item), {});
        }
    }
}

// Guards against a host that joins after a request was quarantined and lets it crash further upstreams.
TEST_F(SlotServiceTest, joiningHostLearnsOfQuarantinedRequests)
{
    SlotDemand crashing = demand(wire::WORK_CLASS_ONLINE);
    crashing.service = "vitrine";
    crashing.fingerprint = 78;
    GrantOutcome crashed;
    crashed.result = wire::SLOT_RESULT_UPSTREAM_DIED;
    Host &late = *this->hosts.back();
    late.set(&Host::silent, true);
    this->loseHost(late);
    Host &first = *this->hosts.front();
    for (std::uint32_t crash = 1; crash <= CrashQuarantine::crashesToQuarantine; ++crash) {
        first.slots->release(acquireTicket(first, crashing), crashed);
    }
    late.set(&Host::silent, false);
    this->joinHost(late);
    EXPECT_TRUE(eventually([&late, &crashing] {
        const auto answer = late.slots->acquire(crashing, [] {});
        const auto *denial = std::get_if<SlotDenial>(&answer);
        if (denial == nullptr) {
            GrantOutcome cancelled;
            cancelled.result = wire::SLOT_RESULT_CANCELLED;
            late.slots->release(std::get<SlotTicket>(answer), cancelled);
        }
        return denial != nullptr && denial->code == "quarantined";
    }));
}

TEST_F(SlotServiceTest, unknownServiceIsDenied)
{
    SlotDemand unknown = demand(wire::WORK_CLASS_ONLINE);
    unknown.service = "nope";
    const auto answer = holder().slots->acquire(unknown, [] {});
    ASSERT_TRUE(std::holds_alternative<SlotDenial>(answer));
    EXPECT_EQ(std::get<SlotDenial>(answer).code, "unknown_service");
}

} // namespace

} // namespace Bergamotramp
