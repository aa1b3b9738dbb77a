#include <filesystem>
#include <thread>

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <httplib.h>

#include "ConfigPublisher.h"
#include "ControlPlane.h"
#include "StandinPlatform.h"

namespace Bergamotramp {

namespace {

using Outcome = ConfigService::PublishResult::Outcome;

std::vector<ServiceSpec> servicesNamed(const std::string &name)
{
    ServiceSpec spec;
    spec.name = name;
    return {spec};
}

class ConfigServiceTest : public testing::Test
{
protected:
    ControlPlane &addHost(const std::string &name, const std::string &dataFolder = "")
    {
        HostSettings settings = controlPlaneSettings(name, this->platform.address());
        settings.dataFolder = dataFolder;
        this->hosts.push_back(std::make_unique<ControlPlane>(settings, 10));
        this->listed.push_back(this->hosts.back()->hostListEntry());
        setHostList(this->platform.address(), this->listed);
        this->hosts.back()->start();
        return *this->hosts.back();
    }

    void waitForMembers()
    {
        ASSERT_TRUE(waitUntil([this] {
            return std::all_of(this->hosts.begin(), this->hosts.end(), [this](const auto &host) { return host->liveNames().size() == this->hosts.size(); });
        }));
    }

    void setFaults(const nlohmann::json &faults)
    {
        httplib::Client client("http://" + this->platform.address());
        const httplib::Result result = client.Post("/control/faults", faults.dump(), "application/json");
        ASSERT_TRUE(result && result->status == 200);
    }

    static bool hasService(const ControlPlane &host, const std::string &name)
    {
        return host.config->catalogue()->find(name) != nullptr;
    }

    StandinPlatform platform;
    std::vector<nlohmann::json> listed;
    std::vector<std::unique_ptr<ControlPlane>> hosts;
};

// Guards against an accepted catalogue that does not reach all hosts, including one that starts later.
TEST_F(ConfigServiceTest, publicationIsInForceOnAllHosts)
{
    ControlPlane &first = this->addHost("a");
    ControlPlane &second = this->addHost("b");
    this->waitForMembers();
    const ConfigService::PublishResult result = first.config->publish(0, servicesNamed("modelo"));
    EXPECT_EQ(result.outcome, Outcome::Accepted) << result.message;
    EXPECT_EQ(result.generation, 1);
    EXPECT_TRUE(hasService(first, "modelo"));
    EXPECT_TRUE(waitUntil([&] { return hasService(second, "modelo"); }));
    ControlPlane &late = this->addHost("c");
    EXPECT_TRUE(waitUntil([&] { return hasService(late, "modelo"); }));
}

// Guards against accepting two concurrent publications, of which one would overwrite the other.
TEST_F(ConfigServiceTest, exactlyOneOfTwoRacingPublicationsIsAccepted)
{
    ControlPlane &first = this->addHost("a");
    ControlPlane &second = this->addHost("b");
    this->waitForMembers();
    for (std::uint64_t base = 0; base < 10; ++base) {
        ASSERT_TRUE(waitUntil([&] { return first.config->generation() == base && second.config->generation() == base; }));
        ConfigService::PublishResult results[2];
        std::thread other([&] { results[1] = second.config->publish(base, servicesNamed("second")); });
        results[0] = first.config->publish(base, servicesNamed("first"));
        other.join();
        const bool firstWon = results[0].outcome == Outcome::Accepted;
        EXPECT_EQ(results[firstWon ? 1 : 0].outcome, Outcome::Conflict);
        EXPECT_EQ(results[firstWon ? 0 : 1].outcome, Outcome::Accepted);
        ASSERT_TRUE(waitUntil([&] { return first.config->generation() == base + 1 && second.config->generation() == base + 1; }));
        EXPECT_EQ(*first.config->catalogue(), *second.config->catalogue());
        EXPECT_EQ(hasService(first, "first"), firstWon);
    }
}

// Guards against reporting a publication as failed that took effect, when the store's answer to the write was lost.
TEST_F(ConfigServiceTest, outcomeIsReadBackAfterLostAnswers)
{
    ControlPlane &host = this->addHost("a");
    std::uint64_t base = 0;
    for (const char *prefix : {"config/current", "config/generation"}) {
        this->setFaults({{"loseAnswers", 2}, {"loseAnswersPrefix", prefix}});
        const ConfigService::PublishResult result = host.config->publish(base, servicesNamed("modelo"));
        EXPECT_EQ(result.outcome, Outcome::Accepted) << prefix << ": " << result.message;
        EXPECT_EQ(result.generation, ++base);
    }
}

// Guards against reporting a conflict after a lost answer when the publication took effect and another one followed it.
TEST_F(ConfigServiceTest, pointerKeepsTheWritersOfEarlierPublications)
{
    ConfigPointer pointer;
    for (std::uint64_t generation = 1; generation <= 20; ++generation) {
        pointer = pointer.followedBy({generation, absl::StrCat("config/generation/", generation), absl::StrCat("writer/", generation)});
    }
    const ConfigPointer read = ConfigPointer::fromJsonText(pointer.toJsonText());
    EXPECT_EQ(read, pointer);
    EXPECT_EQ(read.generation(), 20);
    ASSERT_NE(read.find(19), nullptr);
    EXPECT_EQ(read.find(19)->writer, "writer/19");
    EXPECT_EQ(read.find(4), nullptr);
}

// Guards against a catalogue object that blocks its generation after its publisher died before updating config/current.
TEST_F(ConfigServiceTest, orphanedCatalogueDoesNotBlockItsGeneration)
{
    ControlPlane &host = this->addHost("a");
    const Catalogue orphan{1, servicesNamed("orphan")};
    ASSERT_EQ(host.store.put("config/generation/1", orphan.toJsonText(), Precondition::absent()).outcome, WriteOutcome::Applied);
    EXPECT_EQ(host.config->publish(0, servicesNamed("modelo")).outcome, Outcome::Accepted);
    ControlPlane &other = this->addHost("b");
    EXPECT_TRUE(waitUntil([&] { return hasService(other, "modelo"); }));
}

// Guards against hosts that wait for the store during an outage although a peer has the accepted catalogue.
TEST_F(ConfigServiceTest, hostsTakeTheConfigurationFromPeersWhileTheStoreIsDown)
{
    ControlPlane &first = this->addHost("a");
    ControlPlane &second = this->addHost("b");
    this->waitForMembers();
    ASSERT_EQ(first.config->publish(0, servicesNamed("modelo")).outcome, Outcome::Accepted);
    this->setFaults({{"outage", true}});
    EXPECT_TRUE(waitUntil([&] { return hasService(second, "modelo"); }));
    EXPECT_EQ(first.config->publish(1, servicesNamed("vitrine")).outcome, Outcome::Unavailable);
    EXPECT_EQ(first.config->generation(), 1);
}

// Guards against a host that gets no configuration at startup because it can't be read from the store.
TEST_F(ConfigServiceTest, hostStartsFromPeer)
{
    ControlPlane &first = this->addHost("a");
    ASSERT_EQ(first.config->publish(0, servicesNamed("modelo")).outcome, Outcome::Accepted);
    // Only the configuration is unreadable. The host list still answers: in production it is a separate system.
    ASSERT_EQ(first.store.put("config/current", "not JSON", Precondition::none()).outcome, WriteOutcome::Applied);
    ControlPlane &late = this->addHost("b");
    EXPECT_TRUE(waitUntil([&] { return hasService(late, "modelo"); }));
    EXPECT_EQ(late.config->status().at("source"), "peer");
}

// Guards against a host with a data folder that has no configuration when all hosts restart during an outage.
TEST_F(ConfigServiceTest, hostStartsFromDataFolder)
{
    const std::string folder = testing::TempDir() + "/bergamotramp-config-copy";
    std::filesystem::remove_all(folder);
    ASSERT_EQ(this->addHost("a", folder).config->publish(0, servicesNamed("modelo")).outcome, Outcome::Accepted);
    this->hosts.clear();
    HostSettings settings = controlPlaneSettings("a", "127.0.0.1:1");
    settings.dataFolder = folder;
    ControlPlane restarted(settings, 20);
    restarted.start();
    EXPECT_TRUE(waitUntil([&] { return hasService(restarted, "modelo"); }));
    std::filesystem::remove_all(folder);
}

// Guards against storing a catalogue that no host can parse, which would block every later publication.
TEST_F(ConfigServiceTest, unusableCatalogueIsNotPublished)
{
    ControlPlane &host = this->addHost("a");
    std::vector<ServiceSpec> twice = servicesNamed("modelo");
    twice.push_back(twice.front());
    EXPECT_EQ(host.config->publish(0, twice).outcome, Outcome::Unavailable);
    EXPECT_EQ(host.config->publish(0, servicesNamed("modelo")).outcome, Outcome::Accepted);
}

} // namespace

} // namespace Bergamotramp
