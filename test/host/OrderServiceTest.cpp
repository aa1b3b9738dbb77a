#include "OrderService.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <absl/time/clock.h>
#include <gtest/gtest.h>
#include <httplib.h>

#include "Eventually.h"
#include "Lease.h"
#include "StandinEngine.h"
#include "TestFleet.h"
#include "UpstreamClient.h"

namespace Bergamotramp {

namespace {

constexpr const char *leaseKey = "lease/orders/modelo/";

StandinEngineSettings fencingSettings()
{
    StandinEngineSettings settings;
    settings.honourFencing = true;
    return settings;
}

/** Two hosts with order services that send orders to the same two stand-in engines. */
class OrderServiceTest : public testing::Test
{
protected:
    struct Host {
        TestFleet::Host *fleetHost = nullptr;
        std::unique_ptr<UpstreamClient> upstreams;
        std::unique_ptr<OrderService> orders;
    };

    void SetUp() override
    {
        this->publish(1, "v1");
        for (const char *name : {"host-1", "host-2"}) {
            Host &host = this->hosts.emplace_back();
            host.fleetHost = &this->fleet.add(name);
            host.fleetHost->context.catalogue = [this] { return this->currentCatalogue(); };
            host.upstreams = std::make_unique<UpstreamClient>(absl::Seconds(1));
        }
        for (Host &host : this->hosts) {
            this->startOrders(host);
        }
    }

    void TearDown() override
    {
        for (Host &host : this->hosts) {
            host.orders.reset();
        }
    }

    void startOrders(Host &host)
    {
        OrderSettings settings;
        settings.leaseLength = absl::Seconds(2);
        settings.renewPeriod = absl::Milliseconds(300);
        settings.leaseCheckPeriod = absl::Milliseconds(100);
        settings.storeRetryDelay = absl::Milliseconds(100);
        settings.orderTimeout = absl::Seconds(1);
        settings.initialRetryDelay = absl::Milliseconds(100);
        host.orders = std::make_unique<OrderService>(host.fleetHost->context, *host.upstreams, settings);
    }

    void publish(std::uint64_t generation, const std::string &version)
    {
        auto catalogue = std::make_shared<Catalogue>();
        catalogue->generation = generation;
        ServiceSpec &spec = catalogue->services.emplace_back();
        spec.name = spec.model = "modelo";
        spec.version = version;
        spec.fencingHonoured = true;
        spec.upstreams = {{"e1", this->first.address(), "", "recife-a", false}, {"e2", this->second.address(), "", "recife-a", false}};
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->catalogue = catalogue;
    }

    std::shared_ptr<const Catalogue> currentCatalogue()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->catalogue;
    }

    static nlohmann::json readEngine(const StandinEngine &engine, const std::string &path)
    {
        const httplib::Result result = httplib::Client("http://" + engine.address()).Get(path);
        return result ? nlohmann::json::parse(result->body) : nlohmann::json();
    }

    bool bothLoaded(const std::string &version)
    {
        return eventually([&] {
            return readEngine(this->first, "/control/counters")["loaded"].value("version", "") == version
                   && readEngine(this->second, "/control/counters")["loaded"].value("version", "") == version;
        });
    }

    /** The host that holds the lease of the pool, or nullptr. */
    Host *holder()
    {
        for (Host &host : this->hosts) {
            const nlohmann::json status = host.orders ? host.orders->status() : nlohmann::json::object();
            if (status.contains("modelo/") && status["modelo/"]["lease"] == "held") {
                return &host;
            }
        }
        return nullptr;
    }

    bool confirmed(const std::string &version)
    {
        return eventually([&] {
            const Host *host = this->holder();
            const nlohmann::json status = host == nullptr ? nlohmann::json() : host->orders->status()["modelo/"]["upstreams"];
            return status.is_object() && status["e1"]["state"] == "confirmed" && status["e1"]["confirmed"]["version"] == version
                   && status["e2"]["state"] == "confirmed" && status["e2"]["confirmed"]["version"] == version;
        });
    }

    std::optional<LeaseRecord> storedLease()
    {
        const std::optional<StoredObject> object = this->hosts[0].fleetHost->store->get(leaseKey);
        return object.has_value() ? LeaseRecord::fromJsonText(object->value) : std::nullopt;
    }

    StandinEngine first{fencingSettings()};
    StandinEngine second{fencingSettings()};
    std::mutex mutex;
    std::shared_ptr<const Catalogue> catalogue;
    TestFleet fleet;
    std::vector<Host> hosts;
};

// Guards against a published version that is not ordered from every upstream, and against two hosts that both send the orders.
TEST_F(OrderServiceTest, publishedVersionIsOrderedOnceToEachUpstream)
{
    ASSERT_TRUE(this->confirmed("v1"));
    this->publish(2, "v2");
    ASSERT_TRUE(this->confirmed("v2"));
    EXPECT_TRUE(this->bothLoaded("v2"));
    EXPECT_EQ(this->first.counters().ordersAccepted, 2U);
    EXPECT_EQ(this->second.counters().ordersAccepted, 2U);
    EXPECT_EQ(this->first.counters().ordersRefused, 0U);
}

// Guards against orders that stop when the holder of the lease dies, and against a new holder whose fencing token is not newer.
TEST_F(OrderServiceTest, anotherHostTakesOverWithANewerToken)
{
    ASSERT_TRUE(this->confirmed("v1"));
    Host *former = this->holder();
    ASSERT_NE(former, nullptr);
    former->orders.reset();
    this->fleet.removeLiveHost(former->fleetHost->name);
    this->publish(2, "v2");
    ASSERT_TRUE(this->confirmed("v2"));
    EXPECT_NE(this->holder(), former);
    const nlohmann::json orders = readEngine(this->first, "/control/orders");
    EXPECT_EQ(orders.front().at("token"), 1);
    EXPECT_EQ(orders.back().at("token"), 2);
    EXPECT_EQ(orders.back().at("accepted"), true);
}

// Guards against a host that keeps the lease of a pool that it is no longer selected for.
TEST_F(OrderServiceTest, leaseOfARemovedPoolIsReleased)
{
    ASSERT_TRUE(this->confirmed("v1"));
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->catalogue = std::make_shared<Catalogue>(Catalogue{2, {}});
    }
    EXPECT_TRUE(eventually([this] {
        const std::optional<LeaseRecord> lease = this->storedLease();
        return lease.has_value() && lease->holder.empty();
    }));
    EXPECT_TRUE(eventually([this] { return this->hosts[0].orders->status().empty() && this->hosts[1].orders->status().empty(); }));
    // A pool that is published again gets a new lease, with no further change of the catalogue.
    this->publish(3, "v2");
    EXPECT_TRUE(this->confirmed("v2"));
}

// Guards against orders sent without a lease during an outage of the store, and against orders that don't resume after it.
TEST_F(OrderServiceTest, storeOutageStopsNewOrdersUntilItEnds)
{
    ASSERT_TRUE(this->confirmed("v1"));
    this->fleet.setFaults({{"outage", true}});
    ASSERT_TRUE(eventually([this] { return this->holder() == nullptr; }));
    const std::uint64_t acceptedBefore = this->first.counters().ordersAccepted;
    this->publish(2, "v2");
    ASSERT_TRUE(eventually([this] {
        for (const Host &host : this->hosts) {
            const nlohmann::json status = host.orders->status();
            if (status.contains("modelo/") && status["modelo/"]["upstreams"]["e1"]["wanted"]["version"] == "v2") {
                return true;
            }
        }
        return false;
    }));
    EXPECT_EQ(this->first.counters().ordersAccepted, acceptedBefore);
    this->fleet.setFaults({{"outage", false}});
    EXPECT_TRUE(this->confirmed("v2"));
}

// Guards against an order that is no longer retried when its upstream is unreachable for a while.
TEST_F(OrderServiceTest, refusedConnectionIsRetried)
{
    ASSERT_TRUE(this->confirmed("v1"));
    auto late = std::make_unique<StandinEngine>(fencingSettings());
    const std::string address = late->address();
    late.reset();
    this->publish(2, "v2");
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        Catalogue changed = *this->catalogue;
        changed.generation = 3;
        changed.services[0].upstreams[1].address = address;
        this->catalogue = std::make_shared<Catalogue>(changed);
    }
    ASSERT_TRUE(eventually([this] {
        const Host *host = this->holder();
        return host != nullptr && host->orders->status()["modelo/"]["upstreams"]["e2"].value("problem", "") == "no connection";
    }));
    StandinEngineSettings settings = fencingSettings();
    settings.port = std::stoi(address.substr(address.rfind(':') + 1));
    late = std::make_unique<StandinEngine>(settings);
    EXPECT_TRUE(this->confirmed("v2"));
}

// Guards against store calls other than one write for each renewal: reads by the holder, or any calls by hosts that are not selected.
TEST_F(OrderServiceTest, onlyTheHolderCallsTheStoreAndOnlyToRenew)
{
    ASSERT_TRUE(this->confirmed("v1"));
    const Host *current = this->holder();
    ASSERT_NE(current, nullptr);
    const Host &other = current == this->hosts.data() ? this->hosts[1] : this->hosts[0];
    const StoreCallCounts before = current->fleetHost->store->callCounts();
    const StoreCallCounts otherBefore = other.fleetHost->store->callCounts();
    ASSERT_TRUE(eventually([&] { return current->fleetHost->store->callCounts().writes >= before.writes + 4; }));
    EXPECT_EQ(current->fleetHost->store->callCounts().reads, before.reads);
    EXPECT_EQ(other.fleetHost->store->callCounts().reads, otherBefore.reads);
    EXPECT_EQ(other.fleetHost->store->callCounts().writes, otherBefore.writes);
}

} // namespace

} // namespace Bergamotramp
