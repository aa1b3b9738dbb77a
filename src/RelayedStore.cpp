#include "RelayedStore.h"

#include <algorithm>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "CallRefusal.h"
#include "LimitedJson.h"

namespace Bergamotramp {

namespace {

constexpr const char *listPath = "/peer/objects";
constexpr const char *watchPath = "/peer/changes";
// Added to the wait of a watch, to give the relay time to answer.
constexpr absl::Duration relayResponseTimeout = absl::Seconds(2);
// A relay that has just started may have to wait for a large list over a saturated link. A relay that fails is detected sooner,
// because its announcements stop.
constexpr absl::Duration relayListTimeout = absl::Seconds(10);
// A relay that stops responding is detected by its missing announcements. This limits the delay that a single lost answer causes.
constexpr absl::Duration maxRelayWait = absl::Seconds(5);
// A host that is no relay answers a list request once it has the list itself. When a fleet starts, hosts that do not know each
// other yet choose different relays, and would otherwise all list from the store.
constexpr absl::Duration maxListRequestHold = absl::Seconds(1);
// A relay that can not use the store may be able to use it again soon.
constexpr absl::Duration failedStoreExclusion = absl::Seconds(1);
constexpr int httpOk = 200;
constexpr int httpGone = 410;
/** The answer of a relay that can not use the store. */
constexpr int httpFailedDependency = 424;

std::string encodeList(const ListReply &reply)
{
    nlohmann::json objects = nlohmann::json::array();
    for (const ObjectRecord &object : reply.objects) {
        objects.push_back(object.toJson());
    }
    return nlohmann::json{{"revision", reply.revision}, {"objects", std::move(objects)}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string encodeChanges(const WatchReply &reply)
{
    nlohmann::json changes = nlohmann::json::array();
    for (const ObjectChange &change : reply.changes) {
        changes.push_back({{"removed", change.removed}, {"object", change.object.toJson()}});
    }
    return nlohmann::json{{"revision", reply.revision}, {"changes", std::move(changes)}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/** Throws nlohmann::json::exception. */
ListReply parseList(const std::string &text)
{
    const nlohmann::json json = parseLimitedJson(text);
    ListReply reply{.result = StoreResult::Done, .objects = {}, .revision = readRevision(json.at("revision"))};
    for (const nlohmann::json &object : json.at("objects")) {
        reply.objects.push_back(ObjectRecord::fromJson(object));
    }
    return reply;
}

/** Throws nlohmann::json::exception. */
WatchReply parseChanges(const std::string &text)
{
    const nlohmann::json json = parseLimitedJson(text);
    WatchReply reply{.result = StoreResult::Done, .changes = {}, .revision = readRevision(json.at("revision"))};
    for (const nlohmann::json &change : json.at("changes")) {
        reply.changes.push_back({.removed = change.at("removed"), .object = ObjectRecord::fromJson(change.at("object"))});
    }
    return reply;
}

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    return absl::SimpleAtoi(text, &number) ? number : 0;
}

} // namespace

RelayedStore::RelayedStore(
    EventLoop &loop, ObjectStore &store, WatchRelaySelector &relaySelector, std::set<std::string> followedKinds, JsonLog &log, PeerCallFunction callPeer)
    : loop(loop), store(store), relaySelector(relaySelector), log(log), callPeer(std::move(callPeer))
{
    for (const std::string &kind : followedKinds) {
        this->kinds.try_emplace(kind);
    }
}

void RelayedStore::create(const std::string &kind, const std::string &name, const nlohmann::json &content, ObjectHandler done)
{
    this->store.create(kind, name, content, std::move(done));
}

void RelayedStore::get(const std::string &kind, const std::string &name, ObjectHandler done)
{
    this->store.get(kind, name, std::move(done));
}

void RelayedStore::putStatus(const std::string &kind, const std::string &name, std::uint64_t revision, const nlohmann::json &status, ObjectHandler done)
{
    this->store.putStatus(kind, name, revision, status, std::move(done));
}

void RelayedStore::remove(const std::string &kind, const std::string &name, ObjectHandler done)
{
    this->store.remove(kind, name, std::move(done));
}

void RelayedStore::list(const std::string &kind, std::function<void(const ListReply &)> done)
{
    const auto found = this->kinds.find(kind);
    if (found == this->kinds.end()) {
        this->store.list(kind, std::move(done));
        return;
    }
    // The list of a relay must not be older than what this host already knows.
    const auto call = std::make_shared<Call>();
    call->kind = kind;
    call->isList = true;
    call->revision = found->second.mirror.revision();
    call->listDone = std::move(done);
    this->dispatch(call);
}

void RelayedStore::watch(const std::string &kind, std::uint64_t revision, absl::Duration wait, std::function<void(const WatchReply &)> done)
{
    if (!this->kinds.contains(kind)) {
        this->store.watch(kind, revision, wait, std::move(done));
        return;
    }
    const auto call = std::make_shared<Call>();
    call->kind = kind;
    call->revision = revision;
    call->deadline = this->loop.now() + wait;
    call->watchDone = std::move(done);
    this->dispatch(call);
}

void RelayedStore::dispatch(const std::shared_ptr<Call> &call)
{
    const WatchSource source = this->relaySelector.select(this->loop.now());
    switch (source.kind) {
    case WatchSource::Kind::Relay:
        this->callRelay(call, *source.relay);
        break;
    case WatchSource::Kind::Store:
        this->callStore(call);
        break;
    case WatchSource::Kind::Wait:
        if (call->storeReportedFailed) {
            this->failCall(call);
        } else {
            this->waitingCalls[call->kind] = call;
        }
        break;
    }
}

void RelayedStore::failCall(const std::shared_ptr<Call> &call)
{
    if (call->isList) {
        this->finish(call, ListReply{.result = StoreResult::Unavailable, .objects = {}, .revision = 0});
    } else {
        this->finish(call, WatchReply{.result = StoreResult::Unavailable, .changes = {}, .revision = 0});
    }
}

void RelayedStore::callStore(const std::shared_ptr<Call> &call)
{
    FollowedKind &kind = this->kinds.at(call->kind);
    const auto handleResult = [&kind, number = ++kind.storeCalls](bool succeeded) {
        if (succeeded) {
            kind.watchesStore = true;
            kind.storeFailed = false;
        } else if (number == kind.storeCalls) {
            stopWatchingStore(kind, true);
        }
    };
    // The time of sending, because a change that is acknowledged while the call runs may be missing from its answer.
    const absl::Time sentAt = this->loop.nowIncludingSuspend();
    if (call->isList) {
        this->store.list(call->kind, [this, call, handleResult, sentAt](ListReply reply) {
            reply.includesUntil = sentAt;
            handleResult(reply.result == StoreResult::Done);
            this->finish(call, reply);
        });
        return;
    }
    kind.watchesStore = true;
    const absl::Duration wait = std::max(absl::ZeroDuration(), call->deadline - this->loop.now());
    this->store.watch(call->kind, call->revision, wait, [this, call, handleResult, sentAt](WatchReply reply) {
        reply.includesUntil = sentAt;
        handleResult(reply.result == StoreResult::Done || reply.result == StoreResult::HistoryExpired);
        this->finish(call, reply);
    });
}

void RelayedStore::stopWatchingStore(FollowedKind &kind, bool storeFailed)
{
    kind.watchesStore = false;
    kind.storeFailed = storeFailed;
    if (storeFailed || kind.mirror.isInitialized()) {
        for (const auto &exchange : std::exchange(kind.pendingListRequests, {})) {
            refuse(kind, *exchange);
        }
    }
    for (const auto &follower : std::exchange(kind.followers, {})) {
        refuse(kind, *follower->exchange);
    }
}

void RelayedStore::refuse(const FollowedKind &kind, HttpExchange &exchange)
{
    HttpResponse response = notRunResponse("no_relay", "this host does not watch the store", absl::ZeroDuration());
    if (kind.storeFailed) {
        response.head.status = httpFailedDependency;
    }
    exchange.respond(response);
}

bool RelayedStore::watchesStore() const
{
    return std::ranges::all_of(this->kinds, [](const auto &entry) { return entry.second.watchesStore && entry.second.mirror.isInitialized(); });
}

void RelayedStore::callRelay(const std::shared_ptr<Call> &call, const Peer &relay)
{
    stopWatchingStore(this->kinds.at(call->kind), false);
    call->relay = relay.name;
    const std::uint64_t attempt = ++call->attempt;
    this->relayCalls.insert(call);
    const absl::Duration wait = std::clamp(call->deadline - this->loop.now(), absl::ZeroDuration(), maxRelayWait);
    const std::string target =
        call->isList ? absl::StrCat(listPath, "?kind=", percentEncode(call->kind), "&least=", call->revision)
                     : absl::StrCat(watchPath, "?kind=", percentEncode(call->kind), "&since=", call->revision, "&waitMs=", absl::ToInt64Milliseconds(wait));
    const HttpRequest request{.method = "GET", .target = target, .fields = {}, .body = {}};
    const absl::Duration timeout = call->isList ? relayListTimeout : wait + relayResponseTimeout;
    this->callPeer(relay, request, timeout, [this, call, attempt](const std::optional<HttpResponse> &response) {
        if (call->attempt == attempt) {
            this->handleRelayResponse(call, response);
        }
    });
}

void RelayedStore::handleRelayResponse(const std::shared_ptr<Call> &call, const std::optional<HttpResponse> &response)
{
    std::optional<ListReply> list;
    std::optional<WatchReply> changes;
    bool storeFailed = false;
    try {
        const int status = response ? response->head.status : 0;
        if (call->isList && status == httpOk) {
            list = parseList(response->body);
        } else if (!call->isList && status == httpOk) {
            changes = parseChanges(response->body);
        } else if (!call->isList && status == httpGone) {
            changes = WatchReply{.result = StoreResult::HistoryExpired, .changes = {}};
        }
        storeFailed = status == httpFailedDependency;
    } catch (const nlohmann::json::exception &error) {
        this->log.write("relay_unreadable", {{"relay", call->relay}, {"error", error.what()}});
    }
    if (!list && !changes) {
        call->storeReportedFailed = call->storeReportedFailed || storeFailed;
        this->replaceRelay(call, storeFailed ? failedStoreExclusion : WatchRelaySelector::exclusionTime);
        return;
    }
    this->relayCalls.erase(call);
    if (list) {
        this->finish(call, *list);
    } else {
        this->finish(call, *changes);
    }
}

void RelayedStore::replaceRelay(const std::shared_ptr<Call> &call, absl::Duration exclusion)
{
    this->log.write("relay_left",
                    {{"relay", call->relay}, {"kind", call->kind}, {"revision", call->revision}, {"storeReportedFailed", call->storeReportedFailed}});
    this->relaySelector.exclude(call->relay, this->loop.now() + exclusion);
    ++call->attempt;
    this->relayCalls.erase(call);
    this->dispatch(call);
}

void RelayedStore::finish(const std::shared_ptr<Call> &call, const ListReply &reply)
{
    FollowedKind &kind = this->kinds.at(call->kind);
    kind.mirror.apply(reply);
    // A list discards the change history on which the cached answer is based.
    kind.cachedAnswer.clear();
    if (kind.mirror.isInitialized()) {
        for (const auto &exchange : std::exchange(kind.pendingListRequests, {})) {
            this->serveList(kind, exchange);
        }
    }
    this->answerFollowers(kind);
    call->listDone(reply);
}

void RelayedStore::finish(const std::shared_ptr<Call> &call, const WatchReply &reply)
{
    FollowedKind &kind = this->kinds.at(call->kind);
    kind.mirror.apply(reply);
    this->answerFollowers(kind);
    call->watchDone(reply);
}

std::uint64_t RelayedStore::revision(const std::string &kind) const
{
    const auto found = this->kinds.find(kind);
    return found == this->kinds.end() ? 0 : found->second.mirror.revision();
}

bool RelayedStore::isRelayRequest(const HttpRequest &request)
{
    return request.path() == listPath || request.path() == watchPath;
}

void RelayedStore::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    const auto found = this->kinds.find(request.query("kind"));
    const bool listing = request.path() == listPath;
    if (found == this->kinds.end()) {
        exchange->respond(notRunResponse("no_relay", "this host does not follow objects of this kind", absl::ZeroDuration()));
        return;
    }
    FollowedKind &kind = found->second;
    if (listing && kind.mirror.isInitialized()) {
        this->serveList(kind, exchange);
    } else if (listing && !kind.storeFailed) {
        // This host has started together with its followers. If it refused their requests, all of them would list from the store.
        kind.pendingListRequests.push_back(exchange);
    } else if (!listing && kind.watchesStore) {
        this->serveWatch(kind, exchange);
    } else {
        // Only a host that watches the store itself reports changes to followers, so two hosts never follow each other.
        refuse(kind, *exchange);
    }
}

void RelayedStore::serveList(const FollowedKind &kind, const std::shared_ptr<HttpExchange> &exchange) const
{
    const ListReply reply = kind.mirror.list(parseNumber(exchange->request().query("least")));
    if (reply.result == StoreResult::Done) {
        exchange->respond(jsonResponse(httpOk, encodeList(reply)));
    } else {
        exchange->respond(notRunResponse("behind", "this host is behind", absl::ZeroDuration()));
    }
}

void RelayedStore::serveWatch(FollowedKind &kind, const std::shared_ptr<HttpExchange> &exchange)
{
    const std::uint64_t since = parseNumber(exchange->request().query("since"));
    if (respondIfChanged(kind, *exchange, since)) {
        return;
    }
    const auto follower = std::make_shared<Follower>(Follower{.exchange = exchange, .sinceRevision = since, .timer = {}});
    kind.followers.push_back(follower);
    const auto weakFollower = std::weak_ptr<Follower>(follower);
    exchange->onCallerDisconnected([&kind, weakFollower] {
        if (const auto disconnected = weakFollower.lock()) {
            kind.followers.remove(disconnected);
        }
    });
    follower->timer = this->loop.after(absl::Milliseconds(parseNumber(exchange->request().query("waitMs"))), [&kind, weakFollower] {
        if (const auto expired = weakFollower.lock()) {
            kind.followers.remove(expired);
            expired->exchange->respond(jsonResponse(httpOk, encodeChanges(kind.mirror.changesSince(expired->sinceRevision))));
        }
    });
}

void RelayedStore::answerFollowers(FollowedKind &kind)
{
    std::list<std::shared_ptr<Follower>> waiting;
    waiting.swap(kind.followers);
    for (const auto &follower : waiting) {
        if (!respondIfChanged(kind, *follower->exchange, follower->sinceRevision)) {
            kind.followers.push_back(follower);
        }
    }
}

bool RelayedStore::respondIfChanged(FollowedKind &kind, HttpExchange &exchange, std::uint64_t since)
{
    // Most followers wait for changes after the same revision, so a large configuration is copied and encoded once for all of them.
    if (kind.cachedAnswerFrom != since || kind.cachedAnswerTo != kind.mirror.revision() || kind.cachedAnswer.empty()) {
        const WatchReply reply = kind.mirror.changesSince(since);
        if (reply.result == StoreResult::HistoryExpired) {
            exchange.respond(jsonResponse(httpGone, "{}"));
            return true;
        }
        if (reply.changes.empty()) {
            return false;
        }
        kind.cachedAnswer = encodeChanges(reply);
        kind.cachedAnswerFrom = since;
        kind.cachedAnswerTo = kind.mirror.revision();
    }
    exchange.respond(jsonResponse(httpOk, kind.cachedAnswer));
    return true;
}

void RelayedStore::tick()
{
    const absl::Time now = this->loop.now();
    for (const auto &[kind, call] : std::exchange(this->waitingCalls, {})) {
        this->dispatch(call);
    }
    const auto waiting = this->relayCalls;
    for (const auto &call : waiting) {
        if (!this->relaySelector.isUsable(call->relay, now)) {
            this->replaceRelay(call, WatchRelaySelector::exclusionTime);
        } else if (call->isList) {
            this->moveToSelectedRelay(call);
        }
    }
    this->refuseExpiredListRequests(now);
}

void RelayedStore::moveToSelectedRelay(const std::shared_ptr<Call> &call)
{
    const WatchSource source = this->relaySelector.select(this->loop.now());
    if (source.kind == WatchSource::Kind::Relay && source.relay->name != call->relay) {
        ++call->attempt;
        this->relayCalls.erase(call);
        this->callRelay(call, *source.relay);
    }
}

void RelayedStore::refuseExpiredListRequests(absl::Time now)
{
    for (auto &[name, kind] : this->kinds) {
        if (kind.pendingListRequests.empty() || this->relaySelector.isRelay(now)) {
            continue;
        }
        const auto isExpired = [now](const auto &exchange) { return now > exchange->received() + maxListRequestHold; };
        const auto kept = std::stable_partition(kind.pendingListRequests.begin(), kind.pendingListRequests.end(), isExpired);
        const std::vector<std::shared_ptr<HttpExchange>> expired(kind.pendingListRequests.begin(), kept);
        kind.pendingListRequests.erase(kind.pendingListRequests.begin(), kept);
        for (const auto &exchange : expired) {
            refuse(kind, *exchange);
        }
    }
}

void RelayedStore::excludeRelays()
{
    const auto waiting = this->relayCalls;
    for (const auto &call : waiting) {
        this->replaceRelay(call, WatchRelaySelector::exclusionTime);
    }
}

void RelayedStore::stopServingFollowers()
{
    for (auto &[name, kind] : this->kinds) {
        stopWatchingStore(kind, false);
    }
}

} // namespace Bergamotramp
