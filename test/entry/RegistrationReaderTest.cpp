#include "RegistrationReader.h"

#include <fcntl.h>

#include <gtest/gtest.h>

#include "InMemoryObjectStore.h"
#include "LoopRunner.h"

namespace Bergamotramp {

namespace {

/** A store whose watches a test answers. */
class WatchedStore : public InMemoryObjectStore
{
public:
    struct Call {
        std::uint64_t revision = 0;
        std::function<void(const WatchReply &)> done;
    };

    using InMemoryObjectStore::InMemoryObjectStore;

    void watch(const std::string &, std::uint64_t revision, absl::Duration, std::function<void(const WatchReply &)> done) override
    {
        this->calls.push_back({.revision = revision, .done = std::move(done)});
    }

    std::vector<Call> calls;
};

class RegistrationReaderTest : public testing::Test
{
protected:
    using Versions = std::optional<std::vector<std::string>>;

    /** An answer without any registration. */
    const Versions none = std::vector<std::string>();

    /** Reads and appends the versions of what was registered to the answers. */
    void read(std::uint64_t revision)
    {
        this->reader.readSince(revision, [this](const auto &registered) {
            Versions versions;
            if (registered) {
                versions.emplace();
                for (const UpstreamInfo &upstream : *registered) {
                    versions->push_back(upstream.softwareVersion);
                }
            }
            this->answers.push_back(versions);
        });
    }

    static ObjectChange change(std::uint64_t revision, const std::string &version, bool removed = false)
    {
        return {.removed = removed, .object = {.name = "up", .revision = revision, .content = version, .status = nullptr}};
    }

    static std::optional<UpstreamInfo> decode(const ObjectRecord &object)
    {
        if (!object.content.is_string()) {
            return std::nullopt;
        }
        return UpstreamInfo{.id = object.name, .service = "model", .address = "127.0.0.1:1", .dataCentre = "a", .softwareVersion = object.content};
    }

    EventLoop loop;
    WatchedStore store{this->loop};
    JsonLog log{this->loop, "host", open("/dev/null", O_WRONLY)};
    int unanswered = 0;
    std::vector<Versions> answers;
    RegistrationReader reader{{.loop = this->loop,
                               .store = this->store,
                               .log = this->log,
                               .kind = "servers",
                               .decode = &RegistrationReaderTest::decode,
                               .reportUnansweredCall = [this] { ++this->unanswered; }}};
};

// Guards against a version that a caller's stream may be of and that is missed because its upstream has left again.
TEST_F(RegistrationReaderTest, upstreamThatHasLeftAgainIsReported)
{
    this->read(5);
    ASSERT_EQ(this->store.calls.size(), 1U);
    this->store.calls[0].done({.result = StoreResult::Done, .changes = {change(6, "v2"), change(7, "v2", true)}, .revision = 7});
    EXPECT_EQ(this->answers, std::vector<Versions>({Versions({"v2"})}));
}

// Guards against an answer that began before the request and therefore lacks what was registered in between.
TEST_F(RegistrationReaderTest, requestIsNotAnsweredByACallThatBeganBefore)
{
    this->read(5);
    this->read(9);
    this->read(7);
    ASSERT_EQ(this->store.calls.size(), 1U);
    this->store.calls[0].done({.result = StoreResult::Done, .changes = {}, .revision = 9});
    EXPECT_EQ(this->answers, std::vector<Versions>({this->none}));
    // One call serves both that came meanwhile, from the older of their revisions on.
    ASSERT_EQ(this->store.calls.size(), 2U);
    EXPECT_EQ(this->store.calls[1].revision, 7U);
    this->store.calls[1].done({.result = StoreResult::Done, .changes = {change(8, "v1"), change(10, "v2")}, .revision = 10});
    EXPECT_EQ(this->answers, std::vector<Versions>({this->none, Versions({"v2"}), Versions({"v1", "v2"})}));
}

// Guards against a history that the store no longer has, or a call that fails, which pass for no change.
TEST_F(RegistrationReaderTest, failedCallTellsNothing)
{
    for (const StoreResult result : {StoreResult::HistoryExpired, StoreResult::Unavailable, StoreResult::Unanswered}) {
        this->read(5);
        this->store.calls.back().done({.result = result, .changes = {}, .revision = 0});
    }
    EXPECT_EQ(this->answers, std::vector<Versions>(3));
    EXPECT_EQ(this->unanswered, 1);
}

// Guards against callers that wait for a store that does not answer, and against a late answer to a request that has ended.
TEST_F(RegistrationReaderTest, silentStoreEndsTheRequest)
{
    this->read(5);
    ASSERT_TRUE(runUntil(this->loop, [this] { return !this->answers.empty(); }));
    EXPECT_EQ(this->answers, std::vector<Versions>(1));
    this->read(6);
    this->store.calls[0].done({.result = StoreResult::Done, .changes = {change(7, "v2")}, .revision = 7});
    EXPECT_EQ(this->answers.size(), 1U);
    ASSERT_EQ(this->store.calls.size(), 2U);
    this->store.calls[1].done({.result = StoreResult::Done, .changes = {change(7, "v2")}, .revision = 7});
    EXPECT_EQ(this->answers.back(), Versions({"v2"}));
}

} // namespace

} // namespace Bergamotramp
