#include "StandinObjectStore.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include "CallRefusal.h"

namespace Bergamotramp {

namespace {

constexpr const char *pathPrefix = "/bergamotramp/objects/";
constexpr std::size_t maxConnections = 1000;
constexpr std::size_t slowLinkPieces = 5;
constexpr absl::Duration slowLinkPieceInterval = absl::Milliseconds(500);

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    return absl::SimpleAtoi(text, &value) ? value : 0;
}

std::vector<std::string> pathParts(const HttpRequest &request)
{
    std::vector<std::string> parts = absl::StrSplit(std::string(request.path().substr(std::string_view(pathPrefix).size())), '/');
    for (std::string &part : parts) {
        part = percentDecode(part);
    }
    return parts;
}

} // namespace

StandinObjectStore::StandinObjectStore(EventLoop &loop, const std::string &address)
    : loop(loop), server(loop, address, maxConnections, [this](const std::shared_ptr<HttpExchange> &exchange) { this->handle(exchange); })
{
    HttpServerBounds bounds;
    bounds.idleTimeout = absl::Minutes(5);
    this->server.setBounds(bounds);
}

std::string StandinObjectStore::address() const
{
    return this->server.address();
}

void StandinObjectStore::setMode(ObjectApiMode newMode)
{
    this->mode = newMode;
    if (newMode == ObjectApiMode::Silent) {
        this->loseWatchesIf([](const Watch &) { return true; });
    }
}

void StandinObjectStore::loseWatches(const std::string &kind)
{
    this->loseWatchesIf([&kind](const Watch &watch) { return watch.kind == kind; });
}

void StandinObjectStore::loseWatchesIf(const std::function<bool(const Watch &)> &lost)
{
    std::erase_if(this->watches, [this, &lost](const auto &watch) {
        if (!lost(*watch)) {
            return false;
        }
        watch->timer.cancel();
        this->unanswered.push_back(watch->exchange);
        return true;
    });
}

void StandinObjectStore::compact()
{
    this->history.clear();
    this->compactedRevision = this->revision;
}

void StandinObjectStore::write(const std::string &kind, const std::string &name, const nlohmann::json &spec)
{
    nlohmann::json &object = this->kinds[kind][name];
    if (object.is_null()) {
        object = {{"metadata", {{"name", name}, {"createRev", this->revision + 1}, {"finalizers", nlohmann::json::array()}, {"deleting", false}}},
                  {"status", nullptr}};
    }
    object["spec"] = spec;
    this->recordChange(kind, false, object);
}

void StandinObjectStore::erase(const std::string &kind, const std::string &name)
{
    const auto node = this->kinds[kind].extract(name);
    if (!node.empty()) {
        this->recordChange(kind, true, node.mapped());
    }
}

nlohmann::json StandinObjectStore::read(const std::string &kind, const std::string &name) const
{
    const auto objects = this->kinds.find(kind);
    if (objects == this->kinds.end()) {
        return nullptr;
    }
    const auto found = objects->second.find(name);
    return found == objects->second.end() ? nlohmann::json() : found->second;
}

std::vector<std::string> StandinObjectStore::names(const std::string &kind) const
{
    std::vector<std::string> result;
    if (const auto objects = this->kinds.find(kind); objects != this->kinds.end()) {
        for (const auto &[name, object] : objects->second) {
            result.push_back(name);
        }
    }
    return result;
}

std::uint64_t StandinObjectStore::calls() const
{
    return this->callCount;
}

void StandinObjectStore::holdLists(const std::string &kind)
{
    this->heldKind = kind;
}

void StandinObjectStore::releaseLists()
{
    this->heldKind.clear();
    for (const auto &exchange : std::exchange(this->heldLists, {})) {
        this->get(exchange, pathParts(exchange->request())[0], "");
    }
}

const std::vector<std::string> &StandinObjectStore::readCalls() const
{
    return this->readCallLog;
}

void StandinObjectStore::recordChange(const std::string &kind, bool removed, const nlohmann::json &object)
{
    ++this->revision;
    nlohmann::json current = object;
    current["metadata"]["revision"] = this->revision;
    if (!removed) {
        this->kinds[kind][current["metadata"]["name"]] = current;
    }
    this->history.push_back({.revision = this->revision, .kind = kind, .removed = removed, .object = current});
    const auto pendingWatches = this->watches;
    for (const auto &watch : pendingWatches) {
        if (this->respondToWatch(*watch)) {
            this->watches.erase(watch);
        }
    }
}

void StandinObjectStore::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    ++this->callCount;
    if (this->mode == ObjectApiMode::Silent) {
        this->unanswered.push_back(exchange);
        return;
    }
    const HttpRequest &request = exchange->request();
    if (this->mode == ObjectApiMode::Busy || !request.path().starts_with(pathPrefix)) {
        exchange->respond(jsonResponse(this->mode == ObjectApiMode::Busy ? 503 : 404, "{}"));
        return;
    }
    const std::vector<std::string> parts = pathParts(request);
    if (request.method == "GET") {
        if (parts.size() == 1) {
            this->readCallLog.push_back((request.query("watch").empty() ? "list " : "watch ") + parts[0]);
        }
        const bool isList = parts.size() == 1 && request.query("watch").empty();
        if (isList && parts[0] == this->heldKind) {
            this->heldLists.push_back(exchange);
            return;
        }
        this->get(exchange, parts[0], parts.size() > 1 ? parts[1] : "");
    } else {
        this->write(exchange, parts[0], parts);
    }
}

void StandinObjectStore::substitute(const std::string &placeholder, const std::string &text)
{
    this->substitutions.emplace_back(absl::StrCat("\"", placeholder, "\""), text);
}

std::string StandinObjectStore::textOf(const nlohmann::json &body) const
{
    return absl::StrReplaceAll(body.dump(), this->substitutions);
}

void StandinObjectStore::sendResponse(const std::shared_ptr<HttpExchange> &exchange, int status, const nlohmann::json &body, bool isWrite)
{
    if (isWrite && this->mode == ObjectApiMode::AnswersLost) {
        exchange->abort();
        return;
    }
    if (this->mode == ObjectApiMode::SlowLink) {
        exchange->startBody({.status = status, .fields = {{"Content-Type", "application/json"}}});
        this->sendSlowly(exchange, this->textOf(body), 0);
        return;
    }
    exchange->respond(jsonResponse(status, this->textOf(body)));
}

void StandinObjectStore::sendSlowly(const std::shared_ptr<HttpExchange> &exchange, const std::string &text, std::size_t offset)
{
    const std::size_t piece = text.size() / slowLinkPieces + 1;
    exchange->sendBody(std::string_view(text).substr(offset, piece));
    if (offset + piece >= text.size()) {
        exchange->finishBody();
        return;
    }
    this->pieceTimers.push_back(
        this->loop.after(slowLinkPieceInterval, [this, exchange, text, next = offset + piece] { this->sendSlowly(exchange, text, next); }));
}

void StandinObjectStore::get(const std::shared_ptr<HttpExchange> &exchange, const std::string &kind, const std::string &name)
{
    const HttpRequest &request = exchange->request();
    if (!name.empty()) {
        const nlohmann::json object = this->read(kind, name);
        this->sendResponse(exchange, object.is_null() ? 404 : 200, object, false);
    } else if (!request.query("watch").empty()) {
        this->watch(exchange, kind, parseNumber(request.query("watch")));
    } else {
        nlohmann::json items = nlohmann::json::array();
        for (const auto &[key, object] : this->kinds[kind]) {
            if (key > request.query("after")) {
                items.push_back(object);
            }
        }
        this->sendResponse(exchange, 200, {{"items", items}, {"more", false}, {"at", this->revision}}, false);
    }
}

void StandinObjectStore::write(const std::shared_ptr<HttpExchange> &exchange, const std::string &kind, const std::vector<std::string> &parts)
{
    const nlohmann::json body = nlohmann::json::parse(exchange->request().body, nullptr, false);
    const std::string &method = exchange->request().method;
    const std::string name = method == "POST" ? body["metadata"]["name"].get<std::string>() : parts[1];
    const nlohmann::json current = this->read(kind, name);
    if (method == "POST") {
        if (current.is_null()) {
            this->write(kind, name, body["spec"]);
        }
        this->sendResponse(exchange, current.is_null() ? 201 : 409, this->read(kind, name), true);
        return;
    }
    if (current.is_null()) {
        this->sendResponse(exchange, 404, nlohmann::json::object(), true);
        return;
    }
    const bool conditional = body.is_object() && body.contains("metadata") && body["metadata"].contains("revision");
    if (conditional && body["metadata"]["revision"] != current["metadata"]["revision"]) {
        this->sendResponse(exchange, 409, current, true);
        return;
    }
    if (method == "DELETE") {
        this->erase(kind, name);
    } else if (parts.size() > 2) {
        nlohmann::json changed = current;
        changed["status"] = body["status"];
        this->recordChange(kind, false, changed);
    } else {
        this->write(kind, name, body["spec"]);
    }
    this->sendResponse(exchange, 200, this->read(kind, name), true);
}

void StandinObjectStore::watch(const std::shared_ptr<HttpExchange> &exchange, const std::string &kind, std::uint64_t since)
{
    if (since < this->compactedRevision) {
        this->sendResponse(exchange, 410, nlohmann::json::object(), false);
        return;
    }
    const auto watch = std::make_shared<Watch>(Watch{.exchange = exchange, .kind = kind, .since = since, .timer = {}});
    if (this->respondToWatch(*watch)) {
        return;
    }
    watch->timer = this->loop.after(absl::Milliseconds(parseNumber(exchange->request().query("waitMs"))), [this, raw = watch.get()] {
        raw->exchange->respond(jsonResponse(200, nlohmann::json{{"events", nlohmann::json::array()}, {"at", this->revision}}.dump()));
        std::erase_if(this->watches, [raw](const auto &entry) { return entry.get() == raw; });
    });
    this->watches.insert(watch);
}

bool StandinObjectStore::respondToWatch(const Watch &watch)
{
    nlohmann::json events = nlohmann::json::array();
    for (const Change &change : this->history) {
        if (change.revision > watch.since && change.kind == watch.kind) {
            events.push_back({{"removed", change.removed}, {"object", change.object}});
        }
    }
    if (events.empty()) {
        return false;
    }
    watch.exchange->respond(jsonResponse(200, nlohmann::json{{"events", events}, {"at", this->revision}}.dump()));
    return true;
}

} // namespace Bergamotramp
