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
#include "WatchRelaySelector.h"

namespace Bergamotramp {

/**
 * The store as the watchers of one host use it. Lists and watches of the kinds that every host follows go to a relay (another
 * host that watches the store) if one is selected; all other calls go to the store itself. A relay that fails is replaced
 * transparently; only failures of the store are reported. When this host is a relay, it also serves its followers.
 */
class RelayedStore : public ObjectStore
{
public:
    /** Sends a request to another host; @p done gets std::nullopt when there is no answer. */
    using PeerCallFunction =
        std::function<void(const Peer &, const HttpRequest &, absl::Duration timeout, std::function<void(const std::optional<HttpResponse> &)> done)>;

    /** @p kinds are the object kinds that every host follows. */
    RelayedStore(EventLoop &loop, ObjectStore &store, WatchRelaySelector &relaySelector, std::set<std::string> kinds, JsonLog &log, PeerCallFunction callPeer);

    void create(const std::string &kind, const std::string &name, const nlohmann::json &content, ObjectHandler done) override;
    void get(const std::string &kind, const std::string &name, ObjectHandler done) override;
    void putStatus(const std::string &kind, const std::string &name, std::uint64_t revision, const nlohmann::json &status, ObjectHandler done) override;
    void remove(const std::string &kind, const std::string &name, ObjectHandler done) override;
    void list(const std::string &kind, std::function<void(const ListReply &)> done) override;
    void watch(const std::string &kind, std::uint64_t revision, absl::Duration wait, std::function<void(const WatchReply &)> done) override;

    /** The store revision up to which this host has received all changes of a followed kind; 0 before the first list. */
    [[nodiscard]] std::uint64_t revision(const std::string &kind) const;
    /** Whether the request is a list or watch of another host that follows this one. */
    static bool isRelayRequest(const HttpRequest &request);
    /** Answers a list or watch of another host that follows this one. */
    void serve(const std::shared_ptr<HttpExchange> &exchange);
    /** Replaces relays that are no longer usable; called several times a second. */
    void tick();
    /** Replaces the relays that are in use, because they lag behind other hosts. */
    void excludeRelays();
    /** Refuses the waiting and later requests of followers, because this host stops. */
    void stopServingFollowers();
    /** Whether this host watches all followed kinds in the store itself, so that others can follow it. */
    [[nodiscard]] bool watchesStore() const;

private:
    /** One list or watch call, from the request until its result is reported. */
    struct Call {
        std::string kind;
        std::string relay;
        /** Number of the attempt; distinguishes the answers of a replaced relay from those of the current one. */
        std::uint64_t attempt = 0;
        bool isList = false;
        /** Whether a relay has refused the call because it can not use the store. */
        bool storeReportedFailed = false;
        std::uint64_t revision = 0;
        /** When a watch ends if there is no change. */
        absl::Time deadline = absl::InfinitePast();
        std::function<void(const ListReply &)> listDone;
        std::function<void(const WatchReply &)> watchDone;
    };
    /** A watch of another host that waits for a change. */
    struct Follower {
        std::shared_ptr<HttpExchange> exchange;
        std::uint64_t sinceRevision = 0;
        LoopTimer timer;
    };
    /** State of one kind that every host follows. */
    struct FollowedKind {
        ObjectMirror mirror;
        /** Whether the mirror is updated by watches of the store, so that this host can serve followers. */
        bool watchesStore = false;
        std::list<std::shared_ptr<Follower>> followers;
        /** List requests of followers that arrived before this host had the list. */
        std::vector<std::shared_ptr<HttpExchange>> pendingListRequests;
        /** Whether the last call to the store has failed. */
        bool storeFailed = false;
        /** Number of calls to the store; tells the failure of an abandoned call from that of the latest one. */
        std::uint64_t storeCalls = 0;
        /** The last encoded answer to a watch and the revisions that it covers; it is reused for followers at the same revision. */
        std::uint64_t cachedAnswerFrom = 0;
        std::uint64_t cachedAnswerTo = 0;
        std::string cachedAnswer;
    };

    /** Sends the call to the store or to a relay, or keeps it until one of them is to be used. */
    void dispatch(const std::shared_ptr<Call> &call);
    /** Ends a call with the failure of the store that its relay has reported. */
    void failCall(const std::shared_ptr<Call> &call);
    void callStore(const std::shared_ptr<Call> &call);
    void callRelay(const std::shared_ptr<Call> &call, const Peer &relay);
    void handleRelayResponse(const std::shared_ptr<Call> &call, const std::optional<HttpResponse> &response);
    void replaceRelay(const std::shared_ptr<Call> &call, absl::Duration exclusion);
    void finish(const std::shared_ptr<Call> &call, const ListReply &reply);
    void finish(const std::shared_ptr<Call> &call, const WatchReply &reply);
    void serveList(const FollowedKind &kind, const std::shared_ptr<HttpExchange> &exchange) const;
    void serveWatch(FollowedKind &kind, const std::shared_ptr<HttpExchange> &exchange);
    void answerFollowers(FollowedKind &kind);
    static void stopWatchingStore(FollowedKind &kind, bool storeFailed);
    /** Sends a list call to the relay that is selected now, if that is another one than at its start. */
    void moveToSelectedRelay(const std::shared_ptr<Call> &call);
    static void refuse(const FollowedKind &kind, HttpExchange &exchange);
    /** Refuses list requests that this host holds although it is no relay and has got no list itself. */
    void refuseExpiredListRequests(absl::Time now);
    /** Responds with the changes after @p since, or that they are no longer known; returns false when there are none yet. */
    static bool respondIfChanged(FollowedKind &kind, HttpExchange &exchange, std::uint64_t since);

    EventLoop &loop;
    ObjectStore &store;
    WatchRelaySelector &relaySelector;
    JsonLog &log;
    PeerCallFunction callPeer;
    std::map<std::string, FollowedKind> kinds;
    /** Calls that wait for the answer of a relay. */
    std::set<std::shared_ptr<Call>> relayCalls;
    /** The latest call of each kind that waits until a relay or the store is to be used. */
    std::map<std::string, std::shared_ptr<Call>> waitingCalls;
};

} // namespace Bergamotramp
