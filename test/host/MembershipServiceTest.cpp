#include <atomic>

#include <gtest/gtest.h>

#include "ControlPlane.h"
#include "StandinPlatform.h"

namespace Bergamotramp {

namespace {

class MembershipServiceTest : public testing::Test
{
protected:
    void startHosts(const std::vector<std::string> &names)
    {
        std::vector<nlohmann::json> listed;
        for (const std::string &name : names) {
            this->hosts.push_back(std::make_unique<ControlPlane>(controlPlaneSettings(name, this->platform.address()), 10));
            listed.push_back(this->hosts.back()->hostListEntry());
        }
        setHostList(this->platform.address(), listed);
        for (const auto &host : this->hosts) {
            host->start();
        }
    }

    bool allSee(const std::vector<std::string> &names)
    {
        return std::all_of(this->hosts.begin(), this->hosts.end(), [&](const auto &host) { return host->liveNames() == names; });
    }

    StandinPlatform platform;
    std::vector<std::unique_ptr<ControlPlane>> hosts;
};

// Guards against hosts that never see each other as live when they only know each other from the host list, and against a crashed host that
// stays live.
TEST_F(MembershipServiceTest, hostsFindEachOtherAndDetectACrash)
{
    this->startHosts({"a", "b", "c"});
    ASSERT_TRUE(waitUntil([this] { return this->allSee({"a", "b", "c"}); }));
    this->hosts.pop_back();
    EXPECT_TRUE(waitUntil([this] { return this->allSee({"a", "b"}); }));
}

// Guards against a leaving host that stays live for the others, which would keep sending it work, and against a change without a hook call.
TEST_F(MembershipServiceTest, leavingHostIsNotLiveAnywhere)
{
    this->startHosts({"a", "b", "c"});
    ASSERT_TRUE(waitUntil([this] { return this->allSee({"a", "b", "c"}); }));
    std::atomic<int> changes{0};
    this->hosts[0]->membership->onChange([&] { ++changes; });
    this->hosts[2]->membership->leave();
    EXPECT_TRUE(waitUntil([this] { return this->allSee({"a", "b"}); }));
    EXPECT_TRUE(waitUntil([&] { return changes > 0; }));
    const nlohmann::json status = this->hosts[0]->membership->status();
    EXPECT_EQ(status.at("members").at(2).at("state"), "leaving") << status;
    this->hosts[0].reset(); // Its hook refers to the local variable "changes".
    this->hosts.erase(this->hosts.begin());
}

} // namespace

} // namespace Bergamotramp
