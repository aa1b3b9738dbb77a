#include "RelayedStore.h"

#include <optional>

#include <fcntl.h>

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include "HttpClient.h"
#include "LoopRunner.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t maxConnections = 10;

/** A store whose list calls stay pending until the test answers them. */
class PendingListStore : public ObjectStore
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
        this->pendingLists.push_back(std::move(done));
    }
    void watch(const std::string &, std::uint64_t, absl::Duration, std::function<void(const WatchReply &)>) override
    {
    }

    std::vector<std::function<void(const ListReply &)>> pendingLists;
};

/** The host with the most bandwidth in a large fleet, which is therefore a relay. */
class RelayedStoreTest : public testing::Test
{
protected:
    RelayedStoreTest()
    {
        for (std::size_t number = 0; number <= PeerTable::maxFullMeshPeers; ++number) {
            Peer peer;
            peer.name = absl::StrCat("host-", number);
            peer.dataCentre = "a";
            peer.incarnation = 1;
            peer.lastHeard = this->loop.now();
            this->peers.update(peer);
        }
    }

    /** Requests the list from the relay as a follower does. */
    void requestList()
    {
        this->call = this->client.send(this->server.address(),
                                       {.method = "GET", .target = "/peer/objects?kind=things&least=0", .fields = {}, .body = {}},
                                       {.matchesRequest = {},
                                        .head = [this](const HttpHead &head) { this->status = head.status; },
                                        .body = [this](std::string_view bytes) { this->body.append(bytes); },
                                        .completed = [this] { this->answered = true; },
                                        .failed = [](HttpCallError) {}});
    }

    EventLoop loop;
    JsonLog log{this->loop, "relay", open("/dev/null", O_WRONLY)};
    PeerTable peers;
    WatchRelaySelector relaySelector{this->peers, "relay", "a", 1000};
    PendingListStore store;
    RelayedStore relayedStore{
        this->loop, this->store, this->relaySelector, {"things"}, this->log, [](const Peer &, const HttpRequest &, absl::Duration, auto) {}};
    HttpServer server{this->loop, "127.0.0.1:0", maxConnections, [this](const std::shared_ptr<HttpExchange> &exchange) { this->relayedStore.serve(exchange); }};
    HttpClient client{this->loop, {}};
    HttpCall call;
    int status = 0;
    std::string body;
    bool answered = false;
};

// Guards against followers that all list from the store when a whole fleet starts, because their relays have no list yet.
TEST_F(RelayedStoreTest, followersOfAStartingRelayWaitForItsList)
{
    this->requestList();
    runFor(this->loop, absl::Milliseconds(100));
    EXPECT_FALSE(this->answered);
    this->relayedStore.list("things", [](const ListReply &) {});
    ASSERT_EQ(this->store.pendingLists.size(), 1U);
    this->store.pendingLists[0](
        {.result = StoreResult::Done, .objects = {{.name = "one", .revision = 5, .content = "content", .status = nullptr}}, .revision = 7});
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->answered; }));
    EXPECT_EQ(this->status, 200);
    const nlohmann::json list = nlohmann::json::parse(this->body);
    EXPECT_EQ(list["revision"], 7);
    EXPECT_EQ(list["objects"][0]["name"], "one");
}

// Guards against followers that keep waiting for a relay that can't reach the store, and against followers that take the failure of
// the store for that of the relay, so that they drop the upstreams whose registrations lapse meanwhile.
TEST_F(RelayedStoreTest, followersAreRefusedWhenTheStoreDoesNotAnswer)
{
    this->requestList();
    runFor(this->loop, absl::Milliseconds(100));
    this->relayedStore.list("things", [](const ListReply &) {});
    this->store.pendingLists.at(0)({.result = StoreResult::Unanswered, .objects = {}, .revision = 0});
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->answered; }));
    EXPECT_EQ(this->status, 424) << "the relay tells its followers that the store has failed";
}

// Guards against a host that ends because of a malformed answer of its relay, or uses it.
TEST(RelayFollowerTest, malformedAnswersOfARelayAreNotUsed)
{
    EventLoop loop;
    JsonLog log(loop, "follower", open("/dev/null", O_WRONLY));
    PeerTable peers;
    for (std::size_t number = 0; number <= PeerTable::maxFullMeshPeers; ++number) {
        Peer peer;
        peer.name = absl::StrCat("host-", number);
        peer.dataCentre = "a";
        peer.incarnation = 1;
        peer.linkMbps = 1000;
        peer.lastHeard = loop.now();
        peers.update(peer);
    }
    const std::string deep(300'000, '[');
    const std::string deepEnd(300'000, ']');
    const std::vector<std::string> answers{"",
                                           "text",
                                           "null",
                                           "{}",
                                           "\xc3\x28\xff",
                                           R"({"revision":"1","objects":[]})",
                                           R"({"revision":-1,"objects":[]})",
                                           R"({"revision":1,"objects":7})",
                                           R"({"revision":1,"objects":[7]})",
                                           R"({"revision":1,"objects":[{"name":7,"revision":1,"content":{}}]})",
                                           R"({"revision":1,"objects":[{"name":"a","revision":-1,"content":{}}]})",
                                           R"({"revision":1,"objects":)" + deep + deepEnd + "}"};
    for (const std::string &answer : answers) {
        WatchRelaySelector selector(peers, "follower", "a", 0);
        PendingListStore store;
        int asked = 0;
        RelayedStore follower(loop, store, selector, {"things"}, log, [&](const Peer &, const HttpRequest &, absl::Duration, auto done) {
            ++asked;
            done(HttpResponse{.head = {}, .body = answer});
        });
        bool listed = false;
        follower.list("things", [&listed](const ListReply &reply) { listed = reply.result == StoreResult::Done; });
        EXPECT_GT(asked, 0) << answer.substr(0, 100);
        EXPECT_FALSE(listed) << answer.substr(0, 100);
    }
}

/** A host that follows one of two relays; the test answers its calls to them. */
class RelayedFollowerTest : public testing::Test
{
protected:
    struct RelayCall {
        std::string relay;
        std::function<void(const std::optional<HttpResponse> &)> done;
    };

    RelayedFollowerTest()
    {
        for (std::size_t number = 0; number <= PeerTable::maxFullMeshPeers; ++number) {
            Peer peer;
            peer.name = absl::StrCat("host-", number);
            peer.dataCentre = "a";
            peer.incarnation = 1;
            peer.lastHeard = this->loop.now();
            peer.livenessTimeout = absl::Hours(1);
            peer.linkMbps = number < WatchRelaySelector::relaysPerDataCentre ? 1000 : 100;
            this->peers.update(peer);
        }
    }

    void answer(std::size_t call, int status)
    {
        this->relayCalls.at(call).done(HttpResponse{.head = {.status = status, .fields = {}}, .body = "{}"});
    }

    EventLoop loop;
    JsonLog log{this->loop, "follower", open("/dev/null", O_WRONLY)};
    PeerTable peers;
    // The narrowest link: this host is the last of its data centre to go to the store.
    WatchRelaySelector relaySelector{this->peers, "follower", "a", 1};
    PendingListStore store;
    std::vector<RelayCall> relayCalls;
    RelayedStore relayedStore{
        this->loop, this->store, this->relaySelector, {"things"}, this->log, [this](const Peer &peer, const HttpRequest &, absl::Duration, auto done) {
            this->relayCalls.push_back({.relay = peer.name, .done = std::move(done)});
        }};
    HttpServer server{this->loop, "127.0.0.1:0", maxConnections, [this](const std::shared_ptr<HttpExchange> &exchange) { this->relayedStore.serve(exchange); }};
    HttpClient client{this->loop, {}};
};

// Guards against followers that do not learn of a failure of the store, so that they drop the upstreams whose registrations lapse
// meanwhile, and against all of them asking a store that their relays can not use.
TEST_F(RelayedFollowerTest, failureOfTheStoreIsReportedByTheRelays)
{
    std::optional<StoreResult> result;
    this->relayedStore.list("things", [&result](const ListReply &reply) { result = reply.result; });
    ASSERT_EQ(this->relayCalls.size(), 1U);
    this->answer(0, 424);
    ASSERT_EQ(this->relayCalls.size(), 2U);
    EXPECT_NE(this->relayCalls[1].relay, this->relayCalls[0].relay);
    EXPECT_FALSE(result.has_value()) << "the other relay may be able to use the store";
    this->answer(1, 424);
    EXPECT_EQ(result, StoreResult::Unavailable);
    EXPECT_TRUE(this->store.pendingLists.empty());
}

// Guards against followers that all go to the store at once when their relays refuse them, as they do when a fleet starts, and
// against a follower that never tries again.
TEST_F(RelayedFollowerTest, refusedFollowerWaitsBeforeItGoesToTheStore)
{
    this->relayedStore.list("things", [](const ListReply &) {});
    this->answer(0, 503);
    this->answer(1, 503);
    this->relayedStore.tick();
    EXPECT_TRUE(this->store.pendingLists.empty());
    ASSERT_TRUE(runUntil(this->loop, [this] {
        this->relayedStore.tick();
        return !this->store.pendingLists.empty();
    }));
}

// Guards against followers that are refused by a host which is no relay but will have the list soon, and against followers that wait
// for ever for such a host.
TEST_F(RelayedFollowerTest, hostThatIsNoRelayHoldsListRequestsForAWhile)
{
    int status = 0;
    const absl::Time sent = this->loop.now();
    const HttpCall call = this->client.send(this->server.address(),
                                            {.method = "GET", .target = "/peer/objects?kind=things&least=0", .fields = {}, .body = {}},
                                            {.matchesRequest = {},
                                             .head = [&status](const HttpHead &head) { status = head.status; },
                                             .body = [](std::string_view) {},
                                             .completed = [] {},
                                             .failed = [](HttpCallError) {}});
    ASSERT_TRUE(runUntil(this->loop, [this, &status] {
        this->relayedStore.tick();
        return status != 0;
    }));
    EXPECT_EQ(status, 503);
    EXPECT_GE(this->loop.now() - sent, absl::Milliseconds(500)) << "the host may get the list from its own relay meanwhile";
}

} // namespace

} // namespace Bergamotramp
