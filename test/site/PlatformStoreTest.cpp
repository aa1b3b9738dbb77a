#include <gtest/gtest.h>

#include "KindWatcher.h"
#include "LoopRunner.h"
#include "PlatformStore.h"
#include "StandinObjectStore.h"

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
    StandinObjectStore api{this->loop};
    EntryMetrics metrics;
    PlatformStore store{this->loop, this->api.address(), this->metrics};
};

// Guards against a second writer that overwrites an object, or doesn't get the object that the first writer has created.
TEST_F(PlatformStoreTest, createOfAnExistingObjectConflicts)
{
    EXPECT_EQ(this->create("one", {{"by", "first"}}).result, StoreResult::Done);
    const ObjectReply second = this->create("one", {{"by", "second"}});
    EXPECT_EQ(second.result, StoreResult::Conflict);
    ASSERT_TRUE(second.object.has_value());
    EXPECT_EQ(second.object->content["by"], "first");
}

// Guards against a status write that replaces a newer status.
TEST_F(PlatformStoreTest, statusWriteWithAnOldRevisionConflicts)
{
    const std::uint64_t revision = this->create("one", 1).object->revision;
    const auto put = [this](std::uint64_t at, int status) { return this->wait([&](auto done) { this->store.putStatus("things", "one", at, status, done); }); };
    EXPECT_EQ(put(revision, 7).result, StoreResult::Done);
    const ObjectReply late = put(revision, 8);
    EXPECT_EQ(late.result, StoreResult::Conflict);
    EXPECT_EQ(late.object->status, 7);
    EXPECT_EQ(late.object->content, 1);
}

// Guards against a wrong result of a call when the store refuses it, doesn't answer, or ends the connection after executing it.
// A call that may have been executed must never be reported as certainly not executed.
TEST_F(PlatformStoreTest, resultTellsWhetherTheCallMayHaveBeenExecuted)
{
    this->api.setMode(ObjectApiMode::Busy);
    EXPECT_EQ(this->create("one", 1).result, StoreResult::Unavailable);
    this->api.setMode(ObjectApiMode::AnswersLost);
    EXPECT_EQ(this->create("one", 1).result, StoreResult::Unanswered);
    EXPECT_FALSE(this->api.read("things", "one").is_null());
    this->api.setMode(ObjectApiMode::Silent);
    EXPECT_EQ(this->create("two", 1).result, StoreResult::Unanswered);
    this->api.setMode(ObjectApiMode::Serving);
    EXPECT_EQ(this->wait([&](auto done) { this->store.get("things", "none", done); }).result, StoreResult::NotFound);
}

// Guards against a call for a large object that times out over a saturated link each time it is repeated. This happens if the
// timeout doesn't start again when a part of the answer arrives.
TEST_F(PlatformStoreTest, slowlyArrivingAnswerDoesNotTimeOut)
{
    this->api.write("things", "one", "content");
    this->api.setMode(ObjectApiMode::SlowLink);
    const absl::Time startedAt = this->loop.now();
    const ObjectReply reply = this->wait([&](auto done) { this->store.get("things", "one", done); });
    EXPECT_EQ(reply.result, StoreResult::Done);
    EXPECT_GT(this->loop.now() - startedAt, absl::Milliseconds(1500)) << "the answer arrived within the timeout of a call, so the test shows nothing";
}

/** Watches one kind and keeps its objects. */
struct KindMirror {
    KindMirror(EventLoop &loop, ObjectStore &store, const KindWatcher::Timing &pace)
        : watcher(loop,
                  store,
                  "things",
                  pace,
                  {.listed =
                       [this](const std::vector<ObjectRecord> &records) {
                           ++this->listCount;
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
                   .storeFailed = [this](StoreResult) { ++this->failureCount; },
                   .storeRecovered = [this] { ++this->recoveryCount; }})
    {
        this->watcher.start();
    }

    std::map<std::string, nlohmann::json> objects;
    int listCount = 0;
    int failureCount = 0;
    int recoveryCount = 0;
    KindWatcher watcher;
};

// Guards against missed changes: while watching, when the store has dropped its history, and when it has dropped the watch.
TEST_F(PlatformStoreTest, watcherMissesNoChange)
{
    this->api.write("things", "one", 1);
    KindMirror mirror(this->loop, this->store, {.watchWait = absl::Milliseconds(400), .coalesce = absl::ZeroDuration(), .retry = absl::Milliseconds(50)});
    ASSERT_TRUE(runUntil(this->loop, [&mirror] { return mirror.objects.contains("one"); }));
    this->api.write("things", "two", 2);
    this->api.erase("things", "one");
    ASSERT_TRUE(runUntil(this->loop, [&mirror] { return mirror.objects.contains("two") && !mirror.objects.contains("one"); }));
    this->api.setMode(ObjectApiMode::Silent);
    this->api.write("things", "three", 3);
    this->api.compact();
    ASSERT_TRUE(runUntil(this->loop, [&mirror] { return mirror.failureCount > 0; }));
    this->api.setMode(ObjectApiMode::Serving);
    ASSERT_TRUE(runUntil(this->loop, [&mirror] { return mirror.objects.contains("three"); }));
    EXPECT_EQ(mirror.recoveryCount, 1);
    EXPECT_EQ(mirror.listCount, 2);
}

// Guards against a watch that keeps waiting after another call has shown that the store was down and may have dropped it.
TEST_F(PlatformStoreTest, restartedWatcherListsAgain)
{
    KindMirror mirror(this->loop, this->store, {.watchWait = absl::Minutes(1), .coalesce = absl::ZeroDuration(), .retry = absl::Milliseconds(50)});
    ASSERT_TRUE(runUntil(this->loop, [&mirror] { return mirror.listCount == 1; }));
    this->api.setMode(ObjectApiMode::Silent);
    this->api.write("things", "one", 1);
    this->api.setMode(ObjectApiMode::Serving);
    mirror.watcher.restart();
    EXPECT_TRUE(runUntil(this->loop, [&mirror] { return mirror.objects.contains("one"); }));
}

} // namespace

} // namespace Bergamotramp
