#include <gtest/gtest.h>

#include "KindWatcher.h"
#include "LoopRunner.h"
#include "ObjectApi.h"
#include "PlatformStore.h"

namespace Bergamotramp {

namespace {

class PlatformStoreTest : public testing::Test
{
protected:
    ObjectReply wait(const std::function<void(ObjectStore::ObjectHandler)> &call)
    {
        ObjectReply result;
        bool answered = false;
        call([&](const ObjectReply &reply) {
            result = reply;
            answered = true;
        });
        EXPECT_TRUE(runUntil(this->loop, [&answered] { return answered; }));
        return result;
    }

    ObjectReply create(const std::string &name, const nlohmann::json &content)
    {
        return this->wait([&](auto done) { this->store.create("things", name, content, done); });
    }

    EventLoop loop;
    ObjectApi api{this->loop};
    EntryMetrics metrics;
    PlatformStore store{this->loop, this->api.address(), this->metrics};
};

// Guards against a second writer that does not learn of the first, and of what it wrote.
TEST_F(PlatformStoreTest, createsAreConditional)
{
    EXPECT_EQ(this->create("one", {{"by", "first"}}).result, StoreResult::Done);
    const ObjectReply second = this->create("one", {{"by", "second"}});
    EXPECT_EQ(second.result, StoreResult::Conflict);
    ASSERT_TRUE(second.object.has_value());
    EXPECT_EQ(second.object->content["by"], "first");
}

// Guards against a status that is written over a newer one.
TEST_F(PlatformStoreTest, statusIsWrittenUnderItsRevision)
{
    const std::uint64_t revision = this->create("one", 1).object->revision;
    const auto put = [this](std::uint64_t at, int status) { return this->wait([&](auto done) { this->store.putStatus("things", "one", at, status, done); }); };
    EXPECT_EQ(put(revision, 7).result, StoreResult::Done);
    const ObjectReply late = put(revision, 8);
    EXPECT_EQ(late.result, StoreResult::Conflict);
    EXPECT_EQ(late.object->status, 7);
    EXPECT_EQ(late.object->content, 1);
}

// Guards against a call whose outcome is told wrongly when the store refuses, is silent or loses its answer.
TEST_F(PlatformStoreTest, outcomesTellWhatIsKnown)
{
    this->api.setMode(ObjectApiMode::Busy);
    EXPECT_EQ(this->create("one", 1).result, StoreResult::Unavailable);
    this->api.setMode(ObjectApiMode::AnswersLost);
    EXPECT_EQ(this->create("one", 1).result, StoreResult::Unanswered);
    EXPECT_FALSE(this->api.read("things", "one").is_null());
    this->api.setMode(ObjectApiMode::Silent);
    EXPECT_EQ(this->create("two", 1).result, StoreResult::Unanswered);
    this->api.setMode(ObjectApiMode::Serving);
    EXPECT_EQ(this->wait([&](auto done) { this->store.get("things", "none", done); }).result, StoreResult::Missing);
}

// Guards against a fleet that asks again and again for a large object over a full link, and never gets it.
TEST_F(PlatformStoreTest, answerThatArrivesSlowlyIsWaitedFor)
{
    this->api.write("things", "one", "content");
    this->api.setMode(ObjectApiMode::SlowLink);
    const absl::Time begun = this->loop.now();
    const ObjectReply reply = this->wait([&](auto done) { this->store.get("things", "one", done); });
    EXPECT_EQ(reply.result, StoreResult::Done);
    EXPECT_GT(this->loop.now() - begun, absl::Milliseconds(1500)) << "no longer than the time-out for one answer";
}

/** Follows a kind and keeps its objects. */
struct Follower {
    Follower(EventLoop &loop, ObjectStore &store, const KindWatcher::Pace &pace)
        : watcher(loop,
                  store,
                  "things",
                  pace,
                  {.listed =
                       [this](const std::vector<ObjectRecord> &records) {
                           ++this->lists;
                           this->objects.clear();
                           for (const ObjectRecord &record : records) {
                               this->objects[record.name] = record.content;
                           }
                       },
                   .changed =
                       [this](const ObjectChange &change) {
                           if (change.removed) {
                               this->objects.erase(change.object.name);
                           } else {
                               this->objects[change.object.name] = change.object.content;
                           }
                       },
                   .lost = [this](StoreResult) { ++this->losses; },
                   .regained = [this] { ++this->gains; }})
    {
        this->watcher.start();
    }

    std::map<std::string, nlohmann::json> objects;
    int lists = 0;
    int losses = 0;
    int gains = 0;
    KindWatcher watcher;
};

// Guards against changes that are missed: while following, when the history is gone, and when the store forgot the watch.
TEST_F(PlatformStoreTest, watcherMissesNoChange)
{
    this->api.write("things", "one", 1);
    Follower follower(this->loop, this->store, {.watchWait = absl::Milliseconds(400), .coalesce = absl::ZeroDuration(), .retry = absl::Milliseconds(50)});
    ASSERT_TRUE(runUntil(this->loop, [&follower] { return follower.objects.contains("one"); }));
    this->api.write("things", "two", 2);
    this->api.erase("things", "one");
    ASSERT_TRUE(runUntil(this->loop, [&follower] { return follower.objects.contains("two") && !follower.objects.contains("one"); }));
    this->api.setMode(ObjectApiMode::Silent);
    this->api.write("things", "three", 3);
    this->api.compact();
    ASSERT_TRUE(runUntil(this->loop, [&follower] { return follower.losses > 0; }));
    this->api.setMode(ObjectApiMode::Serving);
    ASSERT_TRUE(runUntil(this->loop, [&follower] { return follower.objects.contains("three"); }));
    EXPECT_EQ(follower.gains, 1);
    EXPECT_EQ(follower.lists, 2);
}

// Guards against a watch that waits on after another call has shown that the store was lost.
TEST_F(PlatformStoreTest, restartedWatcherListsAgain)
{
    Follower follower(this->loop, this->store, {.watchWait = absl::Minutes(1), .coalesce = absl::ZeroDuration(), .retry = absl::Milliseconds(50)});
    ASSERT_TRUE(runUntil(this->loop, [&follower] { return follower.lists == 1; }));
    this->api.setMode(ObjectApiMode::Silent);
    this->api.write("things", "one", 1);
    this->api.setMode(ObjectApiMode::Serving);
    follower.watcher.restart();
    EXPECT_TRUE(runUntil(this->loop, [&follower] { return follower.objects.contains("one"); }));
}

} // namespace

} // namespace Bergamotramp
