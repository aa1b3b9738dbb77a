#include "UpstreamLimiter.h"

#include <gtest/gtest.h>

#include "UpstreamRun.h"

namespace Bergamotramp {

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

class UpstreamLimiterTest : public testing::Test
{
protected:
    UpstreamLimiterTest()
    {
        for (const char *id : {"up-0", "up-1"}) {
            this->upstreams.put({.id = id, .service = "model", .address = "127.0.0.1:1", .dataCentre = "a", .slots = 8, .startedAtMs = 1});
        }
    }

    [[nodiscard]] const UpstreamInfo &upstream(const char *id) const
    {
        return *this->upstreams.find(id);
    }

    void hear(const std::string &name, absl::Time now, bool leaving = false)
    {
        Peer peer{.name = name, .region = "north", .dataCentre = "a", .entryAddress = "127.0.0.1:1", .controlAddress = "127.0.0.1:2"};
        peer.sequence = ++this->sequence;
        peer.leaving = leaving;
        peer.lastHeard = now;
        this->peers.update(peer);
    }

    [[nodiscard]] bool mayStart(const char *id, absl::Time now) const
    {
        return this->limiter.mayStart(this->upstream(id), LimitedClass::Online, now);
    }

    UpstreamTable upstreams;
    PeerTable peers;
    std::uint32_t sequence = 0;
    UpstreamLimiter limiter{{.name = "self", .dataCentre = "a", .region = "north"}, this->upstreams, this->peers, start - absl::Hours(1)};
};

// Guards against a limit of which a lost host keeps its part for ever, and against one that is used up while it may still be alive.
TEST_F(UpstreamLimiterTest, partOfASilentHostIsUsedOnceItIsForgotten)
{
    this->hear("other", start);
    this->limiter.recordStatement(this->upstream("up-0"), 2.0, start);
    this->limiter.tick(start);
    EXPECT_DOUBLE_EQ(this->limiter.currentShares().rate(this->upstream("up-0")), 1.0);
    const absl::Time silent = start + absl::Seconds(5);
    this->limiter.tick(silent);
    EXPECT_DOUBLE_EQ(this->limiter.currentShares().rate(this->upstream("up-0")), 1.0);
    const absl::Time forgotten = start + PeerTable::silentPeerRetention + absl::Seconds(1);
    this->limiter.recordStatement(this->upstream("up-0"), 2.0, forgotten);
    this->peers.evictSilent(forgotten);
    this->limiter.tick(forgotten);
    EXPECT_DOUBLE_EQ(this->limiter.currentShares().rate(this->upstream("up-0")), 2.0);
}

// Guards against a part of the limit that nobody uses after a planned stop.
TEST_F(UpstreamLimiterTest, leavingHostHandsItsPartOver)
{
    this->hear("other", start);
    this->limiter.recordStatement(this->upstream("up-0"), 2.0, start);
    this->limiter.tick(start);
    this->hear("other", start + absl::Seconds(1), true);
    this->limiter.tick(start + absl::Seconds(1));
    EXPECT_DOUBLE_EQ(this->limiter.currentShares().rate(this->upstream("up-0")), 2.0);
    this->limiter.leave(start + absl::Seconds(2));
    EXPECT_DOUBLE_EQ(this->limiter.currentShares().rate(this->upstream("up-0")), 0.0);
}

// Guards against a limit that is known before the registration of its upstream and does not apply to it.
TEST_F(UpstreamLimiterTest, limitMayComeBeforeTheRegistration)
{
    this->limiter.merge({.run = upstreamRunKey({.id = "up-2", .startedAtMs = 5}), .requestsPerSecond = 1.0, .observed = start});
    this->limiter.tick(start);
    this->upstreams.put({.id = "up-2", .service = "model", .address = "127.0.0.1:1", .dataCentre = "a", .slots = 8, .startedAtMs = 5});
    this->limiter.tick(start + absl::Seconds(1));
    EXPECT_FALSE(this->mayStart("up-2", start + absl::Seconds(1)));
    EXPECT_TRUE(this->mayStart("up-0", start + absl::Seconds(1)));
}

// Guards against refused callers that all return at once, and against waits while an upstream without a limit may have room.
TEST_F(UpstreamLimiterTest, refusedCallersReturnOneAfterAnother)
{
    this->limiter.recordStatement(this->upstream("up-0"), 1.0, start);
    this->limiter.tick(start);
    EXPECT_EQ(this->limiter.reserveReturn("model", start), std::nullopt);
    EXPECT_EQ(this->limiter.reserveReturn("none", start), std::nullopt);
    this->limiter.recordStatement(this->upstream("up-1"), 1.0, start);
    this->limiter.tick(start);
    EXPECT_EQ(this->limiter.reserveReturn("model", start), absl::Milliseconds(500));
    EXPECT_EQ(this->limiter.reserveReturn("model", start), absl::Seconds(1));
    for (int number = 0; number < 100; ++number) {
        EXPECT_TRUE(this->limiter.reserveReturn("model", start).has_value());
    }
    EXPECT_EQ(this->limiter.reserveReturn("model", start), UpstreamLimiter::maxRetryAfter);
}

} // namespace

} // namespace Bergamotramp
