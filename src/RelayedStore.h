#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "EventLoop.h"
#include "HttpServer.h"
#include "JsonLog.h"
#include "ObjectMirror.h"
#include "ObjectStore.h"
#include "WatchRelays.h"

namespace Bergamotramp {

/**
 * The store as the watchers of one host see it: lists and watches of the kinds that every host follows go to a relay if
 * there is one, everything else to the store itself. A relay that fails is replaced without the watcher's noticing; only
 * failures of the store are reported.
 */
class RelayedStore : public ObjectStore
{
public:
    /** Sends a request to another host; nothing when there is no answer. */
    using PeerCaller =
        std::function<void(const Peer &, const HttpRequest &, absl::Duration timeout, std::function<void(const std::optional<HttpResponse> &)> done)>;

    /** @p kinds are those that every host follows. */
    RelayedStore(EventLoop &loop, ObjectStore &store, WatchRelays &relays, std::set<std::string> kinds, JsonLog &log, PeerCaller callPeer);

    void create(const std::string &kind, const std::string &name, const nlohmann::json &content, ObjectHandler done) override;
    void get(const std::string &kind, const std::string &name, ObjectHandler done) override;
    void putStatus(const std::string &kind, const std::string &name, std::uint64_t revision, const nlohmann::json &status, ObjectHandler done) override;
    void remove(const std::string &kind, const std::string &name, ObjectHandler done) override;
    void list(const std::string &kind, std::function<void(const ListReply &)> done) override;
    void watch(const std::string &kind, std::uint64_t revision, absl::Duration wait, std::function<void(const WatchReply &)> done) override;

    /** Every change of a followed kind up to this revision of the store has been seen. */
    [[nodiscard]] std::uint64_t revision(const std::string &kind) const;
    /** Whether the request is another host's to follow a kind. */
    static bool isRelayRequest(const HttpRequest &request);
    /** Answers another host that follows this one. */
    void serve(const std::shared_ptr<HttpExchange> &exchange);
    /** Leaves relays that are gone; called several times a second. */
    void tick();
    /** Leaves the relays that are followed now, because they are behind others. */
    void distrustRelays();
    /** Stops serving as a relay. */
    void dismissFollowers();

private:
    /** One call of a watcher, until its one answer. */
    struct Call {
        std::string kind;
        std::string relay;
        /** Tells the answers of a relay that was left from those of the present one. */
        std::uint64_t round = 0;
        bool listing = false;
        std::uint64_t revision = 0;
        /** When a watch ends without a change. */
        absl::Time until = absl::InfinitePast();
        std::function<void(const ListReply &)> listed;
        std::function<void(const WatchReply &)> watched;
    };
    struct Follower {
        std::shared_ptr<HttpExchange> exchange;
        std::uint64_t since = 0;
        LoopTimer timer;
    };
    struct Kind {
        ObjectMirror mirror;
        /** Whether the mirror is kept up to date by the store itself. */
        bool direct = false;
        std::list<std::shared_ptr<Follower>> followers;
        /** Followers that asked for the list before this host had it. */
        std::vector<std::shared_ptr<HttpExchange>> waitingLists;
        /** The last answer to followers, which several of them get. */
        std::uint64_t answeredSince = 0;
        std::uint64_t answeredAt = 0;
        std::string answer;
    };

    void start(const std::shared_ptr<Call> &call);
    void askStore(const std::shared_ptr<Call> &call);
    void askRelay(const std::shared_ptr<Call> &call, const Peer &relay);
    void takeRelayAnswer(const std::shared_ptr<Call> &call, const std::optional<HttpResponse> &response);
    void leaveRelay(const std::shared_ptr<Call> &call);
    void finish(const std::shared_ptr<Call> &call, const ListReply &reply);
    void finish(const std::shared_ptr<Call> &call, const WatchReply &reply);
    void serveList(const Kind &kind, const std::shared_ptr<HttpExchange> &exchange) const;
    void follow(Kind &kind, const std::shared_ptr<HttpExchange> &exchange);
    void answerFollowers(Kind &kind);
    void setDirect(Kind &kind, bool direct);
    void dismissFollowers(Kind &kind);
    /** Answers a follower with the changes after @p since; false when there are none yet. */
    static bool answerIfChanged(Kind &kind, HttpExchange &exchange, std::uint64_t since);

    EventLoop &loop;
    ObjectStore &store;
    WatchRelays &relays;
    JsonLog &log;
    PeerCaller callPeer;
    std::map<std::string, Kind> kinds;
    /** Calls that wait for a relay. */
    std::set<std::shared_ptr<Call>> relayed;
};

} // namespace Bergamotramp
