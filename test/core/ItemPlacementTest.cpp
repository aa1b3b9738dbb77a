#include "ItemPlacement.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Bergamotramp {

namespace {

const std::vector<std::string> serviceNames{"large", "small", "tiny"};

Route splitRoute()
{
    Route route;
    route.kind = RouteKind::Batch;
    route.targets = {{.service = "large", .weight = 80.0}, {.service = "small", .weight = 15.0}, {.service = "tiny", .weight = 5.0}};
    return route;
}

/** Upstreams of three services, one each. */
class Services
{
public:
    Services()
    {
        for (const std::string &name : serviceNames) {
            this->upstreams[name] = {.id = name + "-1", .service = name, .address = "", .dataCentre = "a", .softwareVersion = "v1"};
        }
    }

    [[nodiscard]] ItemPlacement placement(const Route &route, bool mayLeaveTarget) const
    {
        return {route,
                mayLeaveTarget,
                {.any = [this](const std::string &service) { return this->present.contains(service); },
                 .free =
                     [this](const std::string &service, const UpstreamSelector::VersionFilter &version) {
                         const UpstreamInfo &upstream = this->upstreams.at(service);
                         const bool fits = !version || *version == upstream.softwareVersion;
                         return fits && this->free.contains(service) ? &upstream : nullptr;
                     }}};
    }

    std::set<std::string> present{"large", "small", "tiny"};
    std::set<std::string> free = present;

private:
    std::map<std::string, UpstreamInfo> upstreams;
};

// Guards against a slot that stays free although an item that may use it waits: each item whose target is gone, and each urgent one, has to
// find a free slot of any target that has an upstream.
TEST(ItemPlacementTest, noSlotStaysFreeThatAWaitingItemMayUse)
{
    EXPECT_TRUE(rc::check("an item waits only for a busy target", [] {
        Services services;
        services.present.clear();
        services.free.clear();
        for (const std::string &name : serviceNames) {
            const int state = *rc::gen::inRange(0, 3);
            if (state > 0) {
                services.present.insert(name);
            }
            if (state > 1) {
                services.free.insert(name);
            }
        }
        const bool urgent = *rc::gen::arbitrary<bool>();
        const Route route = splitRoute();
        ItemPlacement placement = services.placement(route, urgent);
        for (int item = 0; item < 40; ++item) {
            const UpstreamInfo *upstream = placement.findForNew("item-" + std::to_string(item));
            const bool mayWait = services.free.empty() || (!urgent && services.free != services.present);
            const bool isFree = upstream != nullptr && services.free.contains(upstream->service);
            RC_ASSERT(isFree || (upstream == nullptr && mayWait));
        }
    }));
}

// Guards against items that leave a target as soon as it is busy, so that the shares of the split are not kept.
TEST(ItemPlacementTest, itemsWaitForABusyTargetButNotForOneThatIsGone)
{
    Services services;
    const Route route = splitRoute();
    services.free.erase("large");
    int waiting = 0;
    for (int item = 0; item < 100; ++item) {
        ItemPlacement placement = services.placement(route, false);
        waiting += placement.findForNew("item-" + std::to_string(item)) == nullptr ? 1 : 0;
    }
    EXPECT_GT(waiting, 60);
    EXPECT_LT(waiting, 95);
    services.present.erase("large");
    ItemPlacement placement = services.placement(route, false);
    for (int item = 0; item < 100; ++item) {
        EXPECT_NE(placement.findForNew("item-" + std::to_string(item)), nullptr);
    }
}

// Guards against a target that gets no items of jobs with few items.
TEST(ItemPlacementTest, smallJobsKeepTheShares)
{
    constexpr int jobs = 2000;
    constexpr int itemsOfEach = 3;
    const Services services;
    const Route route = splitRoute();
    std::map<std::string, int> counts;
    for (int job = 0; job < jobs; ++job) {
        for (int item = 0; item < itemsOfEach; ++item) {
            ItemPlacement placement = services.placement(route, false);
            ++counts[placement.findForNew("job" + std::to_string(job) + "-" + std::to_string(item))->service];
        }
    }
    EXPECT_NEAR(counts["large"], jobs * itemsOfEach * 0.80, jobs * itemsOfEach * 0.03);
    EXPECT_NEAR(counts["small"], jobs * itemsOfEach * 0.15, jobs * itemsOfEach * 0.03);
    EXPECT_NEAR(counts["tiny"], jobs * itemsOfEach * 0.05, jobs * itemsOfEach * 0.02);
}

// Guards against an output that goes on at another service or software version.
TEST(ItemPlacementTest, partialOutputGoesOnAtItsOriginOnly)
{
    const Services services;
    const Route route = splitRoute();
    ItemPlacement placement = services.placement(route, true);
    EXPECT_EQ(placement.findForPartial({.service = "small", .softwareVersion = "v1"})->service, "small");
    EXPECT_EQ(placement.findForPartial({.service = "small", .softwareVersion = "v2"}), nullptr);
}

} // namespace

} // namespace Bergamotramp
