#include <gtest/gtest.h>

#include "KindWatcher.h"
#include "LoopRunner.h"
#include "RelayedStore.h"

namespace Bergamotramp {

namespace {

/** A store whose answers to lists and watches a test sends itself. */
class HeldStore : public ObjectStore
{
public:
    void create(const std::string &, const std::string &, const nlohmann::json &, ObjectHandler) override
    {
    }
    void get(const std::string &, const std::string &, ObjectHandler) override
    {
    }
    void putStatus(const std::string &, const std::string &, std::uint64_t, const nlohmann::json &, ObjectHandler) override
    {
    }
    void remove(const std::string &, const std::string &, ObjectHandler) override
    {
    }
    void list(const std::string &, std::function<void(const ListReply &)> done) override
    {
        this->listDone = std::move(done);
    }
    void watch(const std::string &, std::uint64_t, absl::Duration, std::function<void(const WatchReply &)> done) override
    {
        this->watchDone = std::move(done);
    }

    std::function<void(const ListReply &)> listDone;
    std::function<void(const WatchReply &)> watchDone;
};

// Guards against an answer that confirms the time of its arrival: the machine may have been suspended since the call was sent.
TEST(ConfirmedTimeTest, answersConfirmTheTimeOfSending)
{
    EventLoop loop;
    HeldStore store;
    PeerTable peers;
    WatchRelaySelector selector(peers, "self", "a", 0);
    JsonLog log(loop, "self", -1);
    RelayedStore relayed(loop, store, selector, {"config"}, log, {});
    std::vector<absl::Time> confirmed;
    KindWatcher watcher(loop,
                        relayed,
                        "config",
                        {},
                        {.listed = [](const auto &) {},
                         .changed = [](const auto &) {},
                         .storeFailed = [](StoreResult) {},
                         .storeRecovered = [] {},
                         .confirmed = [&confirmed](absl::Time time) { confirmed.push_back(time); }});
    watcher.start();
    const absl::Time listSent = loop.nowIncludingSuspend();
    runFor(loop, absl::Milliseconds(40));
    std::exchange(store.listDone, nullptr)({.result = StoreResult::Done, .objects = {}, .revision = 1});
    const absl::Time watchSent = loop.nowIncludingSuspend();
    runFor(loop, absl::Milliseconds(40));
    std::exchange(store.watchDone, nullptr)({.result = StoreResult::Done, .changes = {}, .revision = 2});
    ASSERT_EQ(confirmed.size(), 2U);
    EXPECT_LE(confirmed[0], listSent);
    EXPECT_LE(confirmed[1], watchSent);
    // An answer to a call that was abandoned is not applied, so it confirms nothing.
    const auto abandoned = std::exchange(store.watchDone, nullptr);
    watcher.restart();
    abandoned({.result = StoreResult::Done, .changes = {}, .revision = 3});
    EXPECT_EQ(confirmed.size(), 2U);
    EXPECT_EQ(watcher.reportedRevision(), 2U);
}

} // namespace

} // namespace Bergamotramp
