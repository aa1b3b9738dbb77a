#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "ObjectMirror.h"

namespace Bergamotramp {

namespace {

ObjectRecord record(const std::string &name, std::uint64_t revision)
{
    return {.name = name, .revision = revision, .content = revision, .status = nullptr};
}

ObjectChange written(const std::string &name, std::uint64_t revision)
{
    return {.removed = false, .object = record(name, revision)};
}

// Guards against a relay whose followers miss or mix up changes, whatever their revisions and its answers are.
TEST(ObjectMirrorTest, followersSeeWhatTheStoreHas)
{
    EXPECT_TRUE(rc::check("followers converge", [] {
        ObjectMirror mirror;
        std::map<std::string, ObjectRecord> store;
        std::map<std::string, ObjectRecord> followed;
        std::uint64_t revision = 1;
        std::uint64_t followedTo = 1;
        mirror.take(ListReply{.result = StoreResult::Done, .objects = {}, .revision = revision});
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
        for (const int step : steps) {
            if (step < 8) {
                WatchReply reply{.result = StoreResult::Done, .changes = {}};
                for (int change = 0; change <= step % 3; ++change) {
                    const std::string name(1, static_cast<char>('a' + (step + change) % 4));
                    const bool removed = step % 4 == 3 && store.contains(name);
                    ++revision;
                    // The object of a removal keeps the revision of its last change.
                    reply.changes.push_back(removed ? ObjectChange{.removed = true, .object = store[name]} : written(name, revision));
                    if (removed) {
                        store.erase(name);
                    } else {
                        store[name] = record(name, revision);
                    }
                }
                reply.revision = revision;
                mirror.take(reply);
            } else {
                const WatchReply reply = mirror.since(followedTo);
                RC_ASSERT(reply.result == StoreResult::Done);
                for (const ObjectChange &change : reply.changes) {
                    if (change.removed) {
                        followed.erase(change.object.name);
                    } else {
                        followed[change.object.name] = change.object;
                    }
                }
                followedTo = reply.revision;
                RC_ASSERT(followed == store);
            }
        }
    }));
}

// Guards against a host that goes back to an older state when it turns to a relay that is behind.
TEST(ObjectMirrorTest, oldListsAreNeitherGivenNorTaken)
{
    ObjectMirror mirror;
    EXPECT_EQ(mirror.list(0).result, StoreResult::Unavailable);
    mirror.take(ListReply{.result = StoreResult::Done, .objects = {record("a", 8)}, .revision = 10});
    EXPECT_EQ(mirror.list(11).result, StoreResult::Unavailable);
    EXPECT_EQ(mirror.list(10).objects.size(), 1U);
    mirror.take(ListReply{.result = StoreResult::Done, .objects = {}, .revision = 9});
    EXPECT_EQ(mirror.list(10).objects.size(), 1U);
}

// Guards against a follower that is told nothing although changes before the mirror's history are missing.
TEST(ObjectMirrorTest, whoIsFartherBehindThanTheHistoryListsAgain)
{
    ObjectMirror mirror;
    mirror.take(ListReply{.result = StoreResult::Done, .objects = {}, .revision = 10});
    EXPECT_EQ(mirror.since(9).result, StoreResult::HistoryGone);
    EXPECT_EQ(mirror.since(10).result, StoreResult::Done);
    EXPECT_EQ(mirror.since(30).revision, 30U) << "a follower that has seen more does not go back";
    for (std::uint64_t revision = 11; revision < 11 + ObjectMirror::maxChanges + 5; ++revision) {
        mirror.take(WatchReply{.result = StoreResult::Done, .changes = {written("a", revision)}, .revision = revision});
    }
    EXPECT_EQ(mirror.since(10).result, StoreResult::HistoryGone);
    EXPECT_EQ(mirror.since(11 + ObjectMirror::maxChanges).changes.size(), 4U);
}

} // namespace

} // namespace Bergamotramp
