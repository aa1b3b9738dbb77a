#include "JournalService.h"

#include <atomic>
#include <thread>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include "HybridClock.h"
#include "RendezvousHash.h"
#include "TestFleet.h"

namespace Bergamotramp {

namespace {

wire::RecordedResult makeResult(const std::string &body)
{
    wire::RecordedResult result;
    result.set_status(200);
    result.set_content_type("application/json");
    result.set_body(body);
    return result;
}

/** Two hosts, each with a JournalService, that share one journal. */
class JournalServiceTest : public testing::Test
{
protected:
    JournalServiceTest() : JournalServiceTest(HostSettings().journalBytes)
    {
    }
    explicit JournalServiceTest(std::int64_t journalBytes)
    {
        for (const std::string name : {"first", "second"}) {
            TestFleet::Host &host = this->fleet.add(name);
            host.context.settings.journalBytes = journalBytes;
            this->services.push_back(std::make_unique<JournalService>(host.context));
            this->fleet.setMessageHandler(host, [service = this->services.back().get()](const wire::Envelope &envelope) { service->handle(envelope); });
            this->hosts.push_back(&host);
        }
    }
    ~JournalServiceTest() override
    {
        for (TestFleet::Host *host : this->hosts) {
            this->fleet.setMessageHandler(*host, nullptr);
        }
    }

    void kill(std::size_t host)
    {
        this->fleet.setMessageHandler(*this->hosts[host], nullptr);
        this->services[host].reset();
        this->fleet.removeLiveHost(this->hosts[host]->name);
    }

    static constexpr int keyCount = 12;
    TestFleet fleet{absl::Milliseconds(500)};
    std::vector<TestFleet::Host *> hosts;
    std::vector<std::unique_ptr<JournalService>> services;
};

// Guards against a key that two hosts may run at the same time, and against results that only one host can read.
TEST_F(JournalServiceTest, bothHostsSeeOneKey)
{
    for (int count = 0; count < keyCount; ++count) {
        const std::string key = absl::StrCat("key", count);
        const wire::JournalBegun begun = this->services[0]->begin(key, 7, false, absl::Seconds(30));
        ASSERT_EQ(begun.state(), wire::JOURNAL_STATE_NEW);
        EXPECT_EQ(this->services[1]->begin(key, 7, false, absl::Seconds(30)).state(), wire::JOURNAL_STATE_IN_PROGRESS);
        EXPECT_EQ(this->services[1]->begin(key, 8, false, absl::Seconds(30)).state(), wire::JOURNAL_STATE_CONFLICT);
        EXPECT_EQ(this->services[0]->finish(key, begun.attempt(), makeResult(key), false).state(), wire::JOURNAL_STATE_FINISHED);
        EXPECT_EQ(this->services[1]->read(key).result().body(), key);
        EXPECT_EQ(this->services[1]->begin(key, 7, false, absl::Seconds(30)).result().body(), key);
    }
    EXPECT_EQ(this->services[1]->read("absent").state(), wire::JOURNAL_STATE_NOT_FOUND);
}

// Guards against losing acknowledged records when the holder of their shard dies.
TEST_F(JournalServiceTest, takeoverKeepsRecords)
{
    for (int count = 0; count < keyCount; ++count) {
        const std::string key = absl::StrCat("key", count);
        const wire::JournalBegun begun = this->services[1]->begin(key, 7, false, absl::Seconds(30));
        ASSERT_EQ(begun.state(), wire::JOURNAL_STATE_NEW);
        if (count % 2 == 0) {
            ASSERT_EQ(this->services[1]->finish(key, begun.attempt(), makeResult(key), false).state(), wire::JOURNAL_STATE_FINISHED);
        }
    }
    this->kill(0);
    for (int count = 0; count < keyCount; ++count) {
        const wire::JournalBegun begun = this->services[1]->begin(absl::StrCat("key", count), 7, false, absl::Seconds(30));
        EXPECT_EQ(begun.state(), count % 2 == 0 ? wire::JOURNAL_STATE_FINISHED : wire::JOURNAL_STATE_IN_PROGRESS);
    }
}

// Guards against recording an intent from a begin message that was delayed by a broken connection until its sender had given up. The key
// would be blocked for its caller.
TEST_F(JournalServiceTest, staleBeginsAreDropped)
{
    for (int count = 0; count < keyCount; ++count) {
        wire::Envelope stale;
        stale.mutable_from()->set_name("absent");
        stale.set_hybrid_time(HybridTime{absl::ToUnixMicros(absl::Now() - absl::Seconds(3)), 0}.pack());
        wire::JournalBegin &beginMessage = *stale.mutable_journal_begin();
        beginMessage.set_key(absl::StrCat("key", count));
        beginMessage.set_shard(
            static_cast<std::uint32_t>(stableHash(beginMessage.key()) % static_cast<std::uint64_t>(this->hosts[0]->context.settings.journalShards)));
        beginMessage.set_fingerprint(8);
        beginMessage.set_request(1);
        beginMessage.set_time_left_us(absl::ToInt64Microseconds(absl::Seconds(30)));
        for (const std::unique_ptr<JournalService> &service : this->services) {
            service->handle(stale);
        }
    }
    // Long enough for the intents to be recorded if the messages are not dropped.
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    for (int count = 0; count < keyCount; ++count) {
        EXPECT_EQ(this->services[0]->begin(absl::StrCat("key", count), 7, false, absl::Seconds(30)).state(), wire::JOURNAL_STATE_NEW);
    }
}

// Guards against a drained host that keeps its shards, and against records that can't be finished or read after shards moved.
TEST_F(JournalServiceTest, drainHandsShardsOver)
{
    const wire::JournalBegun begun = this->services[0]->begin("key", 7, false, absl::Seconds(30));
    ASSERT_EQ(begun.state(), wire::JOURNAL_STATE_NEW);
    this->fleet.removeLiveHost("first");
    this->services[0]->drain();
    EXPECT_TRUE(this->services[0]->status().at("shards").empty());
    EXPECT_EQ(this->services[0]->finish("key", begun.attempt(), makeResult("done"), false).state(), wire::JOURNAL_STATE_FINISHED);
    EXPECT_EQ(this->services[1]->read("key").result().body(), "done");
}

// Guards against treating a write whose answer was lost as a failure or as the write of another holder.
TEST_F(JournalServiceTest, lostAnswersAreReadBack)
{
    ASSERT_EQ(this->services[0]->begin("warm", 7, false, absl::Seconds(30)).state(), wire::JOURNAL_STATE_NEW);
    for (int count = 0; count < keyCount; ++count) {
        const std::string key = absl::StrCat("key", count);
        this->fleet.setFaults({{"loseAnswers", 1}, {"loseAnswersPrefix", "journal/"}});
        const wire::JournalBegun begun = this->services[count % 2]->begin(key, 7, false, absl::Seconds(30));
        ASSERT_EQ(begun.state(), wire::JOURNAL_STATE_NEW);
        ASSERT_EQ(this->services[0]->finish(key, begun.attempt(), makeResult(key), false).state(), wire::JOURNAL_STATE_FINISHED);
    }
    this->fleet.setFaults({{"loseAnswers", 0}});
}

// Guards against accepting new keys during an outage of the store, against not answering from memory meanwhile, and against losing results.
TEST_F(JournalServiceTest, outageKeepsRecordsAndRefusesNewKeys)
{
    const wire::JournalBegun begun = this->services[0]->begin("key", 7, false, absl::Seconds(30));
    ASSERT_EQ(begun.state(), wire::JOURNAL_STATE_NEW);
    this->fleet.setFaults({{"outage", true}});
    EXPECT_EQ(this->services[1]->begin("other", 7, false, absl::Seconds(30)).state(), wire::JOURNAL_STATE_UNAVAILABLE);
    EXPECT_EQ(this->services[1]->begin("key", 7, false, absl::Seconds(30)).state(), wire::JOURNAL_STATE_IN_PROGRESS);
    EXPECT_EQ(this->services[0]->finish("key", begun.attempt(), makeResult("late"), false).state(), wire::JOURNAL_STATE_UNAVAILABLE);
    this->fleet.setFaults({{"outage", false}});
    wire::JournalRecord record;
    for (int count = 0; count < 200 && record.state() != wire::JOURNAL_STATE_FINISHED; ++count) {
        record = this->services[1]->read("key");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    EXPECT_EQ(record.result().body(), "late");
    EXPECT_EQ(this->services[1]->begin("other", 7, false, absl::Seconds(30)).state(), wire::JOURNAL_STATE_NEW);
}

// Guards against failing to record results that are too large for one object of the store.
TEST_F(JournalServiceTest, largeResultsAreStoredInSeveralObjects)
{
    const std::string body(2'500'000, 'x');
    const wire::JournalBegun begun = this->services[0]->begin("key", 7, true, absl::Seconds(30));
    const wire::JournalFinished finished = this->services[0]->finish("key", begun.attempt(), makeResult(body), false);
    ASSERT_EQ(finished.state(), wire::JOURNAL_STATE_FINISHED);
    EXPECT_EQ(finished.result().body(), body);
    EXPECT_EQ(this->services[1]->read("key").result().body(), body);
}

/** Two hosts, one of which begins a request whose shard the other one holds. The link between them can be cut. */
class JournalLostAnswerTest : public JournalServiceTest
{
protected:
    JournalLostAnswerTest()
    {
        const std::uint64_t shard = stableHash(key) % static_cast<std::uint64_t>(this->hosts[0]->context.settings.journalShards);
        this->holder = rendezvousPick(absl::StrCat("journal/", shard), {"first", "second"}) == "first" ? 0 : 1;
        this->requester = 1 - this->holder;
        this->fleet.setMessageHandler(*this->hosts[this->holder], [this](const wire::Envelope &envelope) { this->handleAtHolder(envelope); });
        // Waits until the holder has taken the shard over, so that it stores the next begin at once.
        EXPECT_EQ(this->services[this->holder]->read(key).state(), wire::JOURNAL_STATE_NOT_FOUND);
    }
    ~JournalLostAnswerTest() override
    {
        this->fleet.setMessageHandler(*this->hosts[this->holder], nullptr);
    }

    wire::JournalState beginAt(std::size_t host, absl::Duration timeLeft)
    {
        return this->services[host]->begin(key, 7, false, timeLeft).state();
    }

    /** Begins at the requester. The holder stores the intent, but its answer is lost and the link stays cut. */
    void beginWithoutAnswer()
    {
        this->losesAnswers = true;
        EXPECT_EQ(this->beginAt(this->requester, attemptTime), wire::JOURNAL_STATE_UNAVAILABLE);
        this->cut = true;
        EXPECT_EQ(this->services[this->holder]->read(key).state(), wire::JOURNAL_STATE_UNKNOWN);
    }
    void restoreLink()
    {
        this->losesAnswers = false;
        this->cut = false;
    }
    /** Waits until the holder knows that nothing was run under the key. */
    bool becomesFree()
    {
        for (int count = 0; count < 200; ++count) {
            if (this->services[this->holder]->read(key).state() == wire::JOURNAL_STATE_NOT_FOUND) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }

    static constexpr absl::Duration attemptTime = absl::Milliseconds(800);
    static constexpr const char *key = "key";
    std::size_t holder = 0;
    std::size_t requester = 0;
    std::atomic<bool> losesAnswers{false};
    std::atomic<bool> cut{false};

private:
    // The link counts as cut from the second begin on, so that the first one is stored and nothing can be undone before its deadline.
    void handleAtHolder(wire::Envelope envelope)
    {
        if (this->cut || (this->losesAnswers && !envelope.has_journal_begin())) {
            return;
        }
        if (this->losesAnswers) {
            this->cut = true;
            envelope.set_correlation(0); // The sender waits for no answer of this number.
        }
        this->services[this->holder]->handle(envelope);
    }
};

// Guards against a key that stays blocked for ever although its only begin was never answered and its host sent nothing to an upstream.
TEST_F(JournalLostAnswerTest, nextAttemptAtTheSameHostRunsAfterTheLinkIsBack)
{
    this->beginWithoutAnswer();
    this->restoreLink();
    ASSERT_TRUE(this->becomesFree());
    EXPECT_EQ(this->beginAt(this->requester, absl::Seconds(30)), wire::JOURNAL_STATE_NEW);
    EXPECT_EQ(this->beginAt(this->holder, absl::Seconds(30)), wire::JOURNAL_STATE_IN_PROGRESS);
}

// Guards against the same for a caller that goes to another host.
TEST_F(JournalLostAnswerTest, nextAttemptAtAnotherHostRunsAfterTheLinkIsBack)
{
    this->beginWithoutAnswer();
    this->restoreLink();
    ASSERT_TRUE(this->becomesFree());
    EXPECT_EQ(this->beginAt(this->holder, absl::Seconds(30)), wire::JOURNAL_STATE_NEW);
    EXPECT_EQ(this->beginAt(this->requester, absl::Seconds(30)), wire::JOURNAL_STATE_IN_PROGRESS);
}

// Guards against running a request again when its host was restarted, since no host knows whether that host had sent it.
TEST_F(JournalLostAnswerTest, outcomeStaysUnknownAfterARestartOfTheHost)
{
    this->beginWithoutAnswer();
    this->fleet.setMessageHandler(*this->hosts[this->requester], nullptr);
    this->services[this->requester].reset();
    this->restoreLink();
    this->hosts[this->requester]->context.incarnation += 100;
    this->services[this->requester] = std::make_unique<JournalService>(this->hosts[this->requester]->context);
    this->fleet.setMessageHandler(*this->hosts[this->requester], [this](const wire::Envelope &envelope) { this->services[this->requester]->handle(envelope); });
    EXPECT_EQ(this->beginAt(this->requester, attemptTime), wire::JOURNAL_STATE_UNKNOWN);
    EXPECT_EQ(this->beginAt(this->holder, attemptTime), wire::JOURNAL_STATE_UNKNOWN);
}

/** Hosts with so little memory that no result stays in it. */
class SmallJournalServiceTest : public JournalServiceTest
{
protected:
    SmallJournalServiceTest() : JournalServiceTest(4000)
    {
    }
};

// Guards against results that become unreadable, or whose bodies are removed, once they have left the holder's memory.
TEST_F(SmallJournalServiceTest, resultsOutOfMemoryAreReadFromTheStore)
{
    const std::string large(1'500'000, 'x');
    for (const std::string &body : {std::string(), std::string("small"), large}) {
        const std::string key = absl::StrCat("key", body.size());
        const wire::JournalBegun begun = this->services[0]->begin(key, 7, false, absl::Seconds(30));
        ASSERT_EQ(begun.state(), wire::JOURNAL_STATE_NEW);
        ASSERT_EQ(this->services[0]->finish(key, begun.attempt(), makeResult(body), false).state(), wire::JOURNAL_STATE_FINISHED);
        // A repeated finish, for example after a lost answer, must not remove the recorded body.
        EXPECT_EQ(this->services[1]->finish(key, begun.attempt(), makeResult("other"), false).result().body(), body);
        EXPECT_EQ(this->services[1]->finish(key, begun.attempt(), makeResult(large + "y"), false).result().body(), body);
        for (const std::unique_ptr<JournalService> &service : this->services) {
            EXPECT_EQ(service->read(key).result().body(), body);
            EXPECT_EQ(service->begin(key, 7, false, absl::Seconds(30)).result().status(), 200U);
        }
    }
}

// Guards against a key that stays in use although its attempt sent nothing.
TEST_F(JournalServiceTest, notRunFreesKey)
{
    const wire::JournalBegun begun = this->services[0]->begin("key", 7, false, absl::Seconds(30));
    this->services[0]->finish("key", begun.attempt(), {}, true);
    const wire::JournalBegun again = this->services[1]->begin("key", 8, false, absl::Seconds(30));
    EXPECT_EQ(again.state(), wire::JOURNAL_STATE_NEW);
    EXPECT_EQ(again.attempt(), 2U);
}

} // namespace

} // namespace Bergamotramp
