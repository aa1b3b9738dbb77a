#include "StoreClient.h"

#include <thread>

#include <gtest/gtest.h>
#include <httplib.h>

#include "StandinPlatform.h"

namespace Bergamotramp {

namespace {

class StoreClientTest : public testing::Test
{
protected:
    void control(const std::string &method, const std::string &path, const std::string &body)
    {
        httplib::Client client("http://" + this->platform.address());
        const httplib::Result result = method == "PUT" ? client.Put(path, body, "application/json") : client.Post(path, body, "application/json");
        ASSERT_TRUE(result);
        ASSERT_EQ(result->status, 200) << result->body;
    }

    void setFaults(const std::string &body)
    {
        this->control("POST", "/control/faults", body);
    }

    StandinPlatform platform;
    StoreClient store{{this->platform.address(), absl::Seconds(20)}};
};

TEST_F(StoreClientTest, conditionalWritesApplyOrConflict)
{
    EXPECT_EQ(this->store.put("a/1", "one", Precondition::absent()), (WriteResult{WriteOutcome::Applied, 1}));
    EXPECT_EQ(this->store.put("a/1", "other", Precondition::absent()).outcome, WriteOutcome::Conflict);
    EXPECT_EQ(this->store.put("a/1", "two", Precondition::at(1)), (WriteResult{WriteOutcome::Applied, 2}));
    EXPECT_EQ(this->store.put("a/1", "late", Precondition::at(1)).outcome, WriteOutcome::Conflict);
    EXPECT_EQ(this->store.get("a/1"), (StoredObject{"a/1", "two", 2}));
    EXPECT_EQ(this->store.get("a/2"), std::nullopt);
}

// Guards against a version that is used again after a removal, which would let a delayed conditional update succeed.
TEST_F(StoreClientTest, versionsContinueAfterRemoval)
{
    this->store.put("a/1", "one", Precondition::absent());
    EXPECT_EQ(this->store.remove("a/1", Precondition::at(7)).outcome, WriteOutcome::Conflict);
    EXPECT_EQ(this->store.remove("a/1", Precondition::at(1)).outcome, WriteOutcome::Applied);
    EXPECT_EQ(this->store.get("a/1"), std::nullopt);
    EXPECT_EQ(this->store.put("a/1", "again", Precondition::at(1)).outcome, WriteOutcome::Conflict);
    EXPECT_EQ(this->store.put("a/1", "again", Precondition::absent()), (WriteResult{WriteOutcome::Applied, 3}));
}

// Guards against values that are altered in transfer: the records of the journal are binary.
TEST_F(StoreClientTest, keepsBytesThatAreNotText)
{
    const std::string value("\0\xff\r\n\x80", 5);
    this->store.put("a/1", value, Precondition::none());
    EXPECT_EQ(this->store.get("a/1")->value, value);
}

TEST_F(StoreClientTest, listsInPages)
{
    for (int number = 10; number < 15; ++number) {
        this->store.put("jobs/" + std::to_string(number), "v" + std::to_string(number), Precondition::none());
    }
    this->store.put("lease/x", "", Precondition::none());
    const ListPage first = this->store.list("jobs/", "", 3, true);
    ASSERT_EQ(first.objects.size(), 3U);
    EXPECT_FALSE(first.complete);
    EXPECT_EQ(first.objects.front(), (StoredObject{"jobs/10", "v10", 1}));
    const ListPage second = this->store.list("jobs/", first.objects.back().key, 3, false);
    ASSERT_EQ(second.objects.size(), 2U);
    EXPECT_TRUE(second.complete);
    EXPECT_EQ(second.objects.back(), (StoredObject{"jobs/14", "", 1}));
}

TEST_F(StoreClientTest, watchReturnsChangesBelowItsPrefix)
{
    this->store.put("config/current", "1", Precondition::none());
    const WatchResult past = this->store.watch("config/", 0, absl::Seconds(20));
    EXPECT_EQ(past.changedKeys, std::vector<std::string>{"config/current"});
    std::thread writer([this] {
        this->store.put("jobs/1", "", Precondition::none());
        this->store.put("config/current", "2", Precondition::at(1));
    });
    const WatchResult next = this->store.watch("config/", past.revision, absl::Seconds(20));
    writer.join();
    EXPECT_EQ(next.changedKeys, std::vector<std::string>{"config/current"});
    EXPECT_GT(next.revision, past.revision);
    EXPECT_TRUE(this->store.watch("config/", next.revision, absl::Milliseconds(1)).changedKeys.empty());
}

// Guards against a write that is reported as without effect when only its answer was lost.
TEST_F(StoreClientTest, lostAnswerIsUnansweredAndInEffect)
{
    this->setFaults(R"({"loseAnswers": 1, "loseAnswersPrefix": "journal/"})");
    EXPECT_EQ(this->store.put("lease/x", "", Precondition::none()).outcome, WriteOutcome::Applied);
    EXPECT_EQ(this->store.put("journal/1/1", "record", Precondition::absent()).outcome, WriteOutcome::Unanswered);
    EXPECT_EQ(this->store.get("journal/1/1")->value, "record");
    EXPECT_EQ(this->store.put("journal/1/2", "record", Precondition::absent()).outcome, WriteOutcome::Applied);
    EXPECT_EQ(this->store.callCounts().unanswered, 1U);
}

TEST_F(StoreClientTest, outageIsUnavailableWithoutEffect)
{
    this->setFaults(R"({"outage": true})");
    EXPECT_EQ(this->store.put("a/1", "one", Precondition::none()).outcome, WriteOutcome::Unavailable);
    EXPECT_THROW(this->store.get("a/1"), StoreError);
    EXPECT_THROW(this->store.list("a/", "", 10, false), StoreError);
    EXPECT_THROW(this->store.watch("a/", 0, absl::Seconds(1)), StoreError);
    this->setFaults(R"({"outage": false})");
    EXPECT_EQ(this->store.get("a/1"), std::nullopt);
}

TEST_F(StoreClientTest, absentStoreIsUnavailable)
{
    std::string address;
    {
        const StandinPlatform stopped;
        address = stopped.address();
    }
    StoreClient client({address, absl::Seconds(20)});
    EXPECT_EQ(client.put("a/1", "one", Precondition::none()).outcome, WriteOutcome::Unavailable);
}

TEST_F(StoreClientTest, callsOverTheRateAreRefusedWithoutEffect)
{
    this->setFaults(R"({"writesPerSecond": 2, "readsPerSecond": 2000})");
    int applied = 0;
    int refused = 0;
    for (int number = 0; number < 50; ++number) {
        const WriteOutcome outcome = this->store.put("a/" + std::to_string(number), "", Precondition::none()).outcome;
        applied += outcome == WriteOutcome::Applied ? 1 : 0;
        refused += outcome == WriteOutcome::Unavailable ? 1 : 0;
    }
    EXPECT_EQ(applied + refused, 50);
    EXPECT_GT(refused, 0);
    EXPECT_EQ(this->store.list("a/", "", 100, false).objects.size(), static_cast<std::size_t>(applied));
}

TEST_F(StoreClientTest, valueOverTheLimitIsRefused)
{
    const std::size_t limit = 1024 * 1024;
    EXPECT_EQ(this->store.put("a/1", std::string(limit, 'x'), Precondition::none()).outcome, WriteOutcome::Applied);
    EXPECT_EQ(this->store.put("a/2", std::string(limit + 1, 'x'), Precondition::none()).outcome, WriteOutcome::Unavailable);
    EXPECT_EQ(this->store.get("a/2"), std::nullopt);
}

TEST_F(StoreClientTest, readsTheHostList)
{
    EXPECT_TRUE(this->store.hosts().empty());
    this->control("PUT", "/control/hosts", R"([{"name": "host-1", "region": "nordeste", "dataCentre": "recife-a",
        "callerAddress": "127.0.0.1:1", "peerAddress": "127.0.0.1:2", "adminAddress": "127.0.0.1:3", "state": "leaving"}])");
    const ListedHost expected{"host-1", "nordeste", "recife-a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", true};
    EXPECT_EQ(this->store.hosts(), std::vector<ListedHost>{expected});
}

// Guards against a stand-in platform that loses objects or versions when it is restarted with its file.
TEST(StandinPlatformTest, reloadsItsFile)
{
    const std::string file = testing::TempDir() + "standin-platform-objects-" + std::to_string(::getpid());
    for (std::uint64_t run = 1; run <= 3; ++run) {
        StandinPlatformSettings settings;
        settings.file = file;
        const StandinPlatform platform(settings);
        StoreClient store({platform.address(), absl::Seconds(20)});
        EXPECT_EQ(store.put("a/1", "run\n" + std::to_string(run), Precondition::none()).version, run);
    }
    std::remove(file.c_str());
}

} // namespace

} // namespace Bergamotramp
