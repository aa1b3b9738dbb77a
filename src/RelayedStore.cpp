#include "RelayedStore.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "CallRefusal.h"

namespace Bergamotramp {

namespace {

constexpr const char *listPath = "/peer/objects";
constexpr const char *watchPath = "/peer/changes";
// For the answer of a relay beyond the time that it may wait by request.
constexpr absl::Duration relayAnswerTimeout = absl::Seconds(2);
// A relay that has just started may have to wait for a large list over a full link. One that dies is noticed sooner.
constexpr absl::Duration relayListTimeout = absl::Seconds(10);
// A relay that turns silent is noticed by its announcements; this bounds what one lost answer costs.
constexpr absl::Duration longestRelayWait = absl::Seconds(5);
constexpr int ok = 200;
constexpr int historyGone = 410;

std::string listText(const ListReply &reply)
{
    nlohmann::json objects = nlohmann::json::array();
    for (const ObjectRecord &object : reply.objects) {
        objects.push_back(object.toJson());
    }
    return nlohmann::json{{"revision", reply.revision}, {"objects", std::move(objects)}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string watchText(const WatchReply &reply)
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
    const nlohmann::json json = nlohmann::json::parse(text);
    ListReply reply{.result = StoreResult::Done, .objects = {}, .revision = json.at("revision")};
    for (const nlohmann::json &object : json.at("objects")) {
        reply.objects.push_back(ObjectRecord::fromJson(object));
    }
    return reply;
}

/** Throws nlohmann::json::exception. */
WatchReply parseChanges(const std::string &text)
{
    const nlohmann::json json = nlohmann::json::parse(text);
    WatchReply reply{.result = StoreResult::Done, .changes = {}, .revision = json.at("revision")};
    for (const nlohmann::json &change : json.at("changes")) {
        reply.changes.push_back({.removed = change.at("removed"), .object = ObjectRecord::fromJson(change.at("object"))});
    }
    return reply;
}

std::uint64_t numberOf(const std::string &text)
{
    std::uint64_t number = 0;
    return absl::SimpleAtoi(text, &number) ? number : 0;
}

} // namespace

RelayedStore::RelayedStore(EventLoop &loop, ObjectStore &store, WatchRelays &relays, std::set<std::string> followed, JsonLog &log, PeerCaller callPeer)
    : loop(loop), store(store), relays(relays), log(log), callPeer(std::move(callPeer))
{
    for (const std::string &kind : followed) {
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
    // A relay's list must not be older than what this host has seen.
    const auto call = std::make_shared<Call>();
    call->kind = kind;
    call->listing = true;
    call->revision = found->second.mirror.revision();
    call->listed = std::move(done);
    this->start(call);
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
    call->until = this->loop.now() + wait;
    call->watched = std::move(done);
    this->start(call);
}

void RelayedStore::start(const std::shared_ptr<Call> &call)
{
    if (const auto relay = this->relays.relay(this->loop.now())) {
        this->askRelay(call, *relay);
    } else {
        this->askStore(call);
    }
}

void RelayedStore::askStore(const std::shared_ptr<Call> &call)
{
    Kind &kind = this->kinds.at(call->kind);
    if (call->listing) {
        this->store.list(call->kind, [this, call, &kind](const ListReply &reply) {
            this->setDirect(kind, reply.result == StoreResult::Done);
            this->finish(call, reply);
        });
        return;
    }
    kind.direct = true;
    const absl::Duration wait = std::max(absl::ZeroDuration(), call->until - this->loop.now());
    this->store.watch(call->kind, call->revision, wait, [this, call, &kind](const WatchReply &reply) {
        this->setDirect(kind, reply.result == StoreResult::Done || reply.result == StoreResult::HistoryGone);
        this->finish(call, reply);
    });
}

void RelayedStore::setDirect(Kind &kind, bool direct)
{
    kind.direct = direct;
    if (!direct) {
        this->dismissFollowers(kind);
    }
}

void RelayedStore::askRelay(const std::shared_ptr<Call> &call, const Peer &relay)
{
    this->setDirect(this->kinds.at(call->kind), false);
    call->relay = relay.name;
    const std::uint64_t round = ++call->round;
    this->relayed.insert(call);
    const absl::Duration wait = std::clamp(call->until - this->loop.now(), absl::ZeroDuration(), longestRelayWait);
    const std::string target =
        call->listing ? absl::StrCat(listPath, "?kind=", percentEncode(call->kind), "&least=", call->revision)
                      : absl::StrCat(watchPath, "?kind=", percentEncode(call->kind), "&since=", call->revision, "&waitMs=", absl::ToInt64Milliseconds(wait));
    const HttpRequest request{.method = "GET", .target = target, .fields = {}, .body = {}};
    const absl::Duration timeout = call->listing ? relayListTimeout : wait + relayAnswerTimeout;
    this->callPeer(relay, request, timeout, [this, call, round](const std::optional<HttpResponse> &response) {
        if (call->round == round) {
            this->takeRelayAnswer(call, response);
        }
    });
}

void RelayedStore::takeRelayAnswer(const std::shared_ptr<Call> &call, const std::optional<HttpResponse> &response)
{
    std::optional<ListReply> list;
    std::optional<WatchReply> changes;
    try {
        const int status = response ? response->head.status : 0;
        if (call->listing && status == ok) {
            list = parseList(response->body);
        } else if (!call->listing && status == ok) {
            changes = parseChanges(response->body);
        } else if (!call->listing && status == historyGone) {
            changes = WatchReply{.result = StoreResult::HistoryGone, .changes = {}};
        }
    } catch (const nlohmann::json::exception &error) {
        this->log.write("relay_unreadable", {{"relay", call->relay}, {"error", error.what()}});
    }
    if (!list && !changes) {
        this->leaveRelay(call);
        return;
    }
    this->relayed.erase(call);
    if (list) {
        this->finish(call, *list);
    } else {
        this->finish(call, *changes);
    }
}

void RelayedStore::leaveRelay(const std::shared_ptr<Call> &call)
{
    this->log.write("relay_left", {{"relay", call->relay}, {"kind", call->kind}, {"revision", call->revision}});
    this->relays.distrust(call->relay, this->loop.now());
    ++call->round;
    this->relayed.erase(call);
    this->start(call);
}

void RelayedStore::finish(const std::shared_ptr<Call> &call, const ListReply &reply)
{
    Kind &kind = this->kinds.at(call->kind);
    kind.mirror.take(reply);
    // A list ends the history from which the answer was made.
    kind.answer.clear();
    if (kind.mirror.known()) {
        for (const auto &exchange : std::exchange(kind.waitingLists, {})) {
            this->serveList(kind, exchange);
        }
    }
    this->answerFollowers(kind);
    call->listed(reply);
}

void RelayedStore::finish(const std::shared_ptr<Call> &call, const WatchReply &reply)
{
    Kind &kind = this->kinds.at(call->kind);
    kind.mirror.take(reply);
    this->answerFollowers(kind);
    call->watched(reply);
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
    if (listing && found != this->kinds.end() && !found->second.mirror.known() && !this->relays.relay(this->loop.now())) {
        // A relay that starts together with its followers; if it refused them, all would ask the store.
        found->second.waitingLists.push_back(exchange);
        return;
    }
    // Only a host that watches the store itself is followed, so that two hosts never follow one another.
    if (found == this->kinds.end() || !found->second.direct) {
        exchange->respond(notRunResponse("no_relay", "this host does not watch the store", absl::ZeroDuration()));
        return;
    }
    if (listing) {
        this->serveList(found->second, exchange);
    } else {
        this->follow(found->second, exchange);
    }
}

void RelayedStore::serveList(const Kind &kind, const std::shared_ptr<HttpExchange> &exchange) const
{
    const ListReply reply = kind.mirror.list(numberOf(exchange->request().query("least")));
    if (reply.result == StoreResult::Done) {
        exchange->respond(jsonResponse(ok, listText(reply)));
    } else {
        exchange->respond(notRunResponse("behind", "this host is behind", absl::ZeroDuration()));
    }
}

void RelayedStore::follow(Kind &kind, const std::shared_ptr<HttpExchange> &exchange)
{
    const std::uint64_t since = numberOf(exchange->request().query("since"));
    if (answerIfChanged(kind, *exchange, since)) {
        return;
    }
    const auto follower = std::make_shared<Follower>(Follower{.exchange = exchange, .since = since, .timer = {}});
    kind.followers.push_back(follower);
    const auto weak = std::weak_ptr<Follower>(follower);
    exchange->onCallerLeft([&kind, weak] {
        if (const auto left = weak.lock()) {
            kind.followers.remove(left);
        }
    });
    follower->timer = this->loop.after(absl::Milliseconds(numberOf(exchange->request().query("waitMs"))), [&kind, weak] {
        if (const auto due = weak.lock()) {
            kind.followers.remove(due);
            due->exchange->respond(jsonResponse(ok, watchText(kind.mirror.since(due->since))));
        }
    });
}

void RelayedStore::answerFollowers(Kind &kind)
{
    std::list<std::shared_ptr<Follower>> waiting;
    waiting.swap(kind.followers);
    for (const auto &follower : waiting) {
        if (!answerIfChanged(kind, *follower->exchange, follower->since)) {
            kind.followers.push_back(follower);
        }
    }
}

bool RelayedStore::answerIfChanged(Kind &kind, HttpExchange &exchange, std::uint64_t since)
{
    // Most followers wait from the same revision; a large configuration is copied and encoded once for all of them.
    if (kind.answeredSince != since || kind.answeredAt != kind.mirror.revision() || kind.answer.empty()) {
        const WatchReply reply = kind.mirror.since(since);
        if (reply.result == StoreResult::HistoryGone) {
            exchange.respond(jsonResponse(historyGone, "{}"));
            return true;
        }
        if (reply.changes.empty()) {
            return false;
        }
        kind.answer = watchText(reply);
        kind.answeredSince = since;
        kind.answeredAt = kind.mirror.revision();
    }
    exchange.respond(jsonResponse(ok, kind.answer));
    return true;
}

void RelayedStore::tick()
{
    const auto waiting = this->relayed;
    for (const auto &call : waiting) {
        if (!this->relays.usable(call->relay, this->loop.now())) {
            this->leaveRelay(call);
        }
    }
}

void RelayedStore::distrustRelays()
{
    const auto waiting = this->relayed;
    for (const auto &call : waiting) {
        this->leaveRelay(call);
    }
}

void RelayedStore::dismissFollowers()
{
    for (auto &[name, kind] : this->kinds) {
        this->setDirect(kind, false);
    }
}

void RelayedStore::dismissFollowers(Kind &kind)
{
    for (const auto &exchange : std::exchange(kind.waitingLists, {})) {
        exchange->respond(notRunResponse("no_relay", "this host does not watch the store", absl::ZeroDuration()));
    }
    std::list<std::shared_ptr<Follower>> waiting;
    waiting.swap(kind.followers);
    for (const auto &follower : waiting) {
        follower->exchange->respond(notRunResponse("no_relay", "this host does not watch the store", absl::ZeroDuration()));
    }
}

} // namespace Bergamotramp
