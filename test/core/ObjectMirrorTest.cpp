#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "ObjectMirror.h"

namespace Bergamotramp {

namespace {

ObjectRecord record(const std::string &name, std::uint64_t revision)
{
    return {.name = name, .revision = revision, .content = revision, .status = nullptr};
}

ObjectChange updated(const std::string &name, std::uint64_t revision)
{
    return {.removed = false, .object = record(name, revision)};
}

// Guards against followers of a relay that miss changes or apply them in the wrong order, for any sequence of changes and reads.
TEST(ObjectMirrorTest, followersHaveTheSameObjectsAsTheStore)
{
    EXPECT_TRUE(rc::check("followers converge", [] {
        ObjectMirror mirror;
        std::map<std::string, ObjectRecord> store;
        std::map<std::string, ObjectRecord> follower;
        std::uint64_t revision = 1;
        std::uint64_t followerRevision = 1;
        mirror.apply(ListReply{.result = StoreResult::Done, .objects = {}, .revision = revision});
        const auto operations = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
        for (const int operation : operations) {
            if (operation < 8) {
                WatchReply reply{.result = StoreResult::Done, .changes = {}};
                for (int change = 0; change <= operation % 3; ++change) {
                    const std::string name(1, static_cast<char>('a' + (operation + change) % 4));
                    const bool removed = operation % 4 == 3 && store.contains(name);
                    ++revision;
                    // The store reports a removed object with the revision of its last change.
                    reply.changes.push_back(removed ? ObjectChange{.removed = true, .object = store[name]} : updated(name, revision));
                    if (removed) {
                        store.erase(name);
                    } else {
                        store[name] = record(name, revision);
                    }
                }
                reply.revision = revision;
                mirror.apply(reply);
            } else {
                const WatchReply reply = mirror.changesSince(followerRevision);
                RC_ASSERT(reply.result == StoreResult::Done);
                for (const ObjectChange &change : reply.changes) {
                    if (change.removed) {
                        follower.erase(change.object.name);
                    } else {
                        follower[change.object.name] = change.object;
                    }
                }
                followerRevision = reply.revision;
                RC_ASSERT(follower == store);
            }
        }
    }));
}

// Guards against a host that returns to an older state when it switches to a relay that lags behind.
TEST(ObjectMirrorTest, outdatedListsAreNeitherServedNorApplied)
{
    ObjectMirror mirror;
    EXPECT_EQ(mirror.list(0).result, StoreResult::Unavailable);
    mirror.apply(ListReply{.result = StoreResult::Done, .objects = {record("a", 8)}, .revision = 10});
    EXPECT_EQ(mirror.list(11).result, StoreResult::Unavailable);
    EXPECT_EQ(mirror.list(10).objects.size(), 1U);
    mirror.apply(ListReply{.result = StoreResult::Done, .objects = {}, .revision = 9});
    EXPECT_EQ(mirror.list(10).objects.size(), 1U);
}

// Guards against a follower that gets an incomplete reply, because the changes it misses are older than the mirror's history.
TEST(ObjectMirrorTest, followersBehindTheHistoryHaveToListAgain)
{
    ObjectMirror mirror;
    mirror.apply(ListReply{.result = StoreResult::Done, .objects = {}, .revision = 10});
    EXPECT_EQ(mirror.changesSince(9).result, StoreResult::HistoryExpired);
    EXPECT_EQ(mirror.changesSince(10).result, StoreResult::Done);
    EXPECT_EQ(mirror.changesSince(30).revision, 30U) << "a follower with a newer revision does not go back";
    for (std::uint64_t revision = 11; revision < 11 + ObjectMirror::maxChanges + 5; ++revision) {
        mirror.apply(WatchReply{.result = StoreResult::Done, .changes = {updated("a", revision)}, .revision = revision});
    }
    EXPECT_EQ(mirror.changesSince(10).result, StoreResult::HistoryExpired);
    EXPECT_EQ(mirror.changesSince(11 + ObjectMirror::maxChanges).changes.size(), 4U);
}

} // namespace

} // namespace Bergamotramp
