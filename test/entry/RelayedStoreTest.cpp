#include "RelayedStore.h"

#include <fcntl.h>

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include "HttpClient.h"
#include "LoopRunner.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t maxConnections = 10;

/** Keeps the lists that are asked of it unanswered. */
class WaitingStore : public ObjectStore
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
        this->lists.push_back(std::move(done));
    }
    void watch(const std::string &, std::uint64_t, absl::Duration, std::function<void(const WatchReply &)>) override
    {
    }

    std::vector<std::function<void(const ListReply &)>> lists;
};

/** A host that is the widest of a large fleet, and so a relay. */
class RelayedStoreTest : public testing::Test
{
protected:
    RelayedStoreTest()
    {
        for (std::size_t number = 0; number <= PeerBoard::smallFleet; ++number) {
            Peer peer;
            peer.name = absl::StrCat("host-", number);
            peer.dataCentre = "a";
            peer.incarnation = 1;
            peer.lastHeard = this->loop.now();
            this->board.update(peer);
        }
    }

    /** Asks the relay for its list as a follower does. */
    void ask()
    {
        this->call = this->client.send(this->server.address(),
                                       {.method = "GET", .target = "/peer/objects?kind=things&least=0", .fields = {}, .body = {}},
                                       {.belongs = {},
                                        .head = [this](const HttpHead &head) { this->status = head.status; },
                                        .body = [this](std::string_view bytes) { this->body.append(bytes); },
                                        .completed = [this] { this->answered = true; },
                                        .failed = [](HttpCallError) {}});
    }

    EventLoop loop;
    JsonLog log{this->loop, "relay", open("/dev/null", O_WRONLY)};
    PeerBoard board;
    WatchRelays relays{this->board, "relay", "a", 1000};
    WaitingStore store;
    RelayedStore relayed{this->loop, this->store, this->relays, {"things"}, this->log, [](const Peer &, const HttpRequest &, absl::Duration, auto) {}};
    HttpServer server{this->loop, "127.0.0.1:0", maxConnections, [this](const std::shared_ptr<HttpExchange> &exchange) { this->relayed.serve(exchange); }};
    HttpClient client{this->loop, {}};
    HttpCall call;
    int status = 0;
    std::string body;
    bool answered = false;
};

// Guards against a fleet that starts at once and whose followers all turn to the store, because the relays have no list yet.
TEST_F(RelayedStoreTest, followersOfAStartingRelayWaitForItsList)
{
    this->ask();
    runFor(this->loop, absl::Milliseconds(100));
    EXPECT_FALSE(this->answered);
    this->relayed.list("things", [](const ListReply &) {});
    ASSERT_EQ(this->store.lists.size(), 1U);
    this->store.lists[0]({.result = StoreResult::Done, .objects = {{.name = "one", .revision = 5, .content = "content", .status = nullptr}}, .revision = 7});
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->answered; }));
    EXPECT_EQ(this->status, 200);
    const nlohmann::json list = nlohmann::json::parse(this->body);
    EXPECT_EQ(list["revision"], 7);
    EXPECT_EQ(list["objects"][0]["name"], "one");
}

// Guards against followers that wait for a relay that can't reach the store.
TEST_F(RelayedStoreTest, followersAreSentAwayWhenTheStoreDoesNotAnswer)
{
    this->ask();
    runFor(this->loop, absl::Milliseconds(100));
    this->relayed.list("things", [](const ListReply &) {});
    this->store.lists.at(0)({.result = StoreResult::Unanswered, .objects = {}, .revision = 0});
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->answered; }));
    EXPECT_EQ(this->status, 503);
}

} // namespace

} // namespace Bergamotramp
