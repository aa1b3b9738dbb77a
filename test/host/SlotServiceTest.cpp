#include "SlotService.h"

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>

#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include "CrashSuspects.h"
#include "Eventually.h"
#include "RendezvousHash.h"
#include "TimerService.h"
#include "Transport.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration longTime = absl::Seconds(60);

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
        /** Messages are dropped, also until all hosts are started. */
        bool silent = true;
        /** Messages wait until deliver(). */
        bool holdBack = false;
        std::vector<wire::Envelope> heldBack;

        void receive(const wire::Envelope &message)
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (this->holdBack) {
                this->heldBack.push_back(message);
            } else if (!this->silent) {
                this->slots->handle(message);
            }
        }

        void set(bool Host::*flag, bool value)
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->*flag = value;
        }

        void deliver()
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->holdBack = false;
            for (const wire::Envelope &message : this->heldBack) {
                this->slots->handle(message);
            }
            this->heldBack.clear();
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
        // A service must not get messages while it is destroyed, and its timer needs the transport until then.
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

    void loseHost(const Host &lost)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::erase_if(this->live, [&lost](const HostInfo &info) { return info.name == lost.context.settings.name; });
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

    static SlotDemand demand(wire::WorkClass workClass, absl::Duration wait = longTime)
    {
        SlotDemand demand;
        demand.service = "modelo";
        demand.workClass = workClass;
        demand.organisation = "acme";
        demand.deadline = absl::Now() + wait;
        return demand;
    }

    static SlotTicket take(Host &host, const SlotDemand &demand)
    {
        const auto answer = host.slots->acquire(demand, [] {});
        const auto *denial = std::get_if<SlotDenial>(&answer);
        EXPECT_EQ(denial, nullptr) << denial->code;
        return denial == nullptr ? std::get<SlotTicket>(answer) : SlotTicket();
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

// Guards against hosts that together take more slots than the upstreams have.
TEST_F(SlotServiceTest, hostsShareTheSlotsOfThePool)
{
    std::map<std::string, int> perUpstream;
    for (std::size_t index = 0; index < 4; ++index) {
        const SlotTicket ticket = take(other(index), demand(wire::WORK_CLASS_ONLINE));
        EXPECT_FALSE(ticket.fallback);
        ++perUpstream[ticket.upstream];
    }
    EXPECT_EQ(perUpstream, (std::map<std::string, int>{{"modelo-1", 2}, {"modelo-2", 2}}));
    const auto answer = other(1).slots->acquire(demand(wire::WORK_CLASS_ONLINE, absl::Milliseconds(300)), [] {});
    ASSERT_TRUE(std::holds_alternative<SlotDenial>(answer));
    EXPECT_EQ(std::get<SlotDenial>(answer).code, "deadline");
}

// Guards against an online request that waits while another host's batch work holds a slot.
TEST_F(SlotServiceTest, onlineRequestRevokesBatchWorkOfAnotherHost)
{
    std::promise<int> revoked;
    std::vector<SlotTicket> batch;
    for (int index = 0; index < 4; ++index) {
        const auto answer = other(1).slots->acquire(demand(wire::WORK_CLASS_BATCH), [&revoked, index] { revoked.set_value(index); });
        ASSERT_TRUE(std::holds_alternative<SlotTicket>(answer));
        batch.push_back(std::get<SlotTicket>(answer));
    }
    auto online = std::async(std::launch::async, [this] { return take(other(2), demand(wire::WORK_CLASS_ONLINE)); });
    const SlotTicket &victim = batch.at(static_cast<std::size_t>(revoked.get_future().get()));
    GrantOutcome cancelled;
    cancelled.result = wire::SLOT_RESULT_CANCELLED;
    other(1).slots->release(victim, cancelled);
    EXPECT_EQ(online.get().upstream, victim.upstream);
}

// Guards against requests that fail or hang while the holder is silent and not yet removed.
TEST_F(SlotServiceTest, silentHolderIsReplacedByTheShareAndThenByTheNextHolder)
{
    Host &lost = holder();
    Host &asking = other(1);
    lost.set(&Host::silent, true);
    const SlotTicket share = take(asking, demand(wire::WORK_CLASS_ONLINE));
    EXPECT_TRUE(share.fallback);
    loseHost(lost);
    EXPECT_TRUE(eventually([&] { return pool(asking)["holder"] == holder().context.settings.name; }));
    const SlotTicket next = take(asking, demand(wire::WORK_CLASS_ONLINE));
    EXPECT_FALSE(next.fallback);
    // The new holder learns of the slot that was taken before it existed.
    EXPECT_TRUE(eventually([&] { return inFlight(holder()) == 2; }));
}

// Guards against a request that stays in the queue of a lost holder.
TEST_F(SlotServiceTest, queuedRequestMovesToTheNextHolder)
{
    Host &lost = holder();
    Host &asking = other(1);
    std::vector<SlotTicket> full;
    for (int index = 0; index < 4; ++index) {
        full.push_back(take(lost, demand(wire::WORK_CLASS_ONLINE)));
    }
    auto waiting = std::async(std::launch::async, [&] { return take(asking, demand(wire::WORK_CLASS_ONLINE)); });
    EXPECT_TRUE(eventually([&] { return pool(lost)["queued"]["online"] == 1; }));
    // A host that lived on would report its four slots to the next holder, and the request would rightly wait.
    lost.set(&Host::silent, true);
    lost.slots.reset();
    loseHost(lost);
    EXPECT_NE(waiting.get().upstream, "");
}

// Guards against slots that leak when a grant arrives after its host gave up, and against a grant used twice.
TEST_F(SlotServiceTest, lateGrantIsReturned)
{
    Host &asking = other(1);
    asking.set(&Host::holdBack, true);
    const SlotTicket share = take(asking, demand(wire::WORK_CLASS_ONLINE));
    EXPECT_TRUE(share.fallback);
    asking.deliver();
    EXPECT_TRUE(eventually([this] { return inFlight(holder()) == 1; }));
    asking.slots->release(share, {});
    EXPECT_TRUE(eventually([this] { return inFlight(holder()) == 0; }));
    EXPECT_EQ(asking.slots->status()["tickets"], 0);
}

// Guards against network traffic for services that need no agreement between hosts.
TEST_F(SlotServiceTest, plainServiceSendsNoMessage)
{
    SlotDemand plain = demand(wire::WORK_CLASS_ONLINE);
    plain.service = "vitrine";
    std::vector<SlotTicket> tickets;
    for (int index = 0; index < 4; ++index) {
        tickets.push_back(take(other(1), plain));
        EXPECT_FALSE(tickets.back().fallback);
    }
    // The share of this host: six slots on each of two upstreams, divided by three hosts.
    plain.deadline = absl::Now() + absl::Milliseconds(50);
    EXPECT_TRUE(std::holds_alternative<SlotDenial>(other(1).slots->acquire(plain, [] {})));
    for (const SlotTicket &ticket : tickets) {
        other(1).slots->release(ticket, {});
    }
    EXPECT_EQ(other(1).transport->counts().messagesSent, 0U);
}

// Guards against a request that crashes one upstream after another when its caller retries on other hosts.
TEST_F(SlotServiceTest, crashingRequestIsRefusedOnAllHosts)
{
    SlotDemand poison = demand(wire::WORK_CLASS_ONLINE);
    poison.fingerprint = 77;
    GrantOutcome died;
    died.result = wire::SLOT_RESULT_UPSTREAM_DIED;
    for (std::size_t attempt = 1; attempt <= CrashSuspects::crashesToConvict; ++attempt) {
        const SlotTicket ticket = take(other(attempt % 3), poison);
        other(attempt % 3).slots->release(ticket, died);
        EXPECT_TRUE(eventually([this] { return inFlight(holder()) == 0; }));
    }
    for (std::size_t index = 0; index < 3; ++index) {
        const auto answer = other(index).slots->acquire(poison, [] {});
        ASSERT_TRUE(std::holds_alternative<SlotDenial>(answer));
        EXPECT_EQ(std::get<SlotDenial>(answer).code, "quarantined");
    }
}

// Guards against a host that joins after a conviction and lets the request crash further upstreams.
TEST_F(SlotServiceTest, joiningHostLearnsOfConvictions)
{
    SlotDemand poison = demand(wire::WORK_CLASS_ONLINE);
    poison.service = "vitrine";
    poison.fingerprint = 78;
    GrantOutcome died;
    died.result = wire::SLOT_RESULT_UPSTREAM_DIED;
    Host &late = *this->hosts.back();
    late.set(&Host::silent, true);
    this->loseHost(late);
    Host &first = *this->hosts.front();
    for (std::uint32_t crash = 1; crash <= CrashSuspects::crashesToConvict; ++crash) {
        first.slots->release(take(first, poison), died);
    }
    late.set(&Host::silent, false);
    this->joinHost(late);
    EXPECT_TRUE(eventually([&late, &poison] {
        const auto answer = late.slots->acquire(poison, [] {});
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
