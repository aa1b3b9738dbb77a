#include "Store.h"

#include <algorithm>
#include <chrono>

namespace Review {

namespace {

using nlohmann::json;

constexpr std::size_t pageItems = 500;
constexpr std::size_t threads = 96;

/** The revision that a call is conditional on; 0 if it is unconditional. */
std::uint64_t conditionOf(const httplib::Request &request, const json &body)
{
    if (request.has_param("revision")) {
        return std::stoull(request.get_param_value("revision"));
    }
    const bool stated = body.is_object() && body.contains("metadata") && body["metadata"].contains("revision");
    return stated ? body["metadata"]["revision"].get<std::uint64_t>() : 0;
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t found = text.find(from); found != std::string::npos; found = text.find(from, found + to.size())) {
        text.replace(found, from.size(), to);
    }
}

} // namespace

Store::Store()
{
    this->addTranslatedPort({});
}

int Store::addTranslatedPort(std::map<std::string, std::string> translations)
{
    auto added = std::make_unique<Port>();
    Port &port = *added;
    port.translations = std::move(translations);
    port.server.new_task_queue = [] { return new httplib::ThreadPool(threads); };
    port.server.set_tcp_nodelay(true);
    const std::string kind = "/bergamotramp/objects/([^/]+)";
    port.server.Post(kind, this->answerWith(port, &Store::handleCreate));
    port.server.Get(kind, this->answerWith(port, &Store::handleKind));
    port.server.Get(kind + "/([^/]+)", this->answerWith(port, &Store::handleGet));
    port.server.Put(kind + "/([^/]+)", this->answerWith(port, &Store::handlePut));
    port.server.Put(kind + "/([^/]+)/status", this->answerWith(port, &Store::handlePutStatus));
    port.server.Delete(kind + "/([^/]+)", this->answerWith(port, &Store::handleDelete));
    port.number = port.server.bind_to_any_port("127.0.0.1");
    port.thread = std::thread([&port] { port.server.listen_after_bind(); });
    this->ports.push_back(std::move(added));
    return port.number;
}

Store::~Store()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    for (const auto &port : this->ports) {
        port->server.stop();
        port->thread.join();
    }
}

httplib::Server::Handler Store::answerWith(const Port &port, Handler handler)
{
    return [this, &port, handler](const httplib::Request &request, httplib::Response &response) {
        const Answer answer = (this->*handler)(request);
        std::string text = answer.body.dump();
        if (request.matches[1] == "hosts") {
            for (const auto &[from, to] : port.translations) {
                replaceAll(text, from, to);
            }
        }
        response.status = answer.status;
        response.set_content(text, "application/json");
    };
}

std::string Store::address() const
{
    return "127.0.0.1:" + std::to_string(this->ports.front()->number);
}

json *Store::find(const std::string &kind, const std::string &name)
{
    auto &objects = this->kinds[kind];
    const auto found = objects.find(name);
    return found == objects.end() ? nullptr : &found->second;
}

void Store::recordChange(const std::string &kind, bool removed, json object)
{
    object["metadata"]["revision"] = ++this->revision;
    const std::string name = object["metadata"]["name"];
    if (removed) {
        this->kinds[kind].erase(name);
    } else {
        this->kinds[kind][name] = object;
    }
    this->history.push_back({.revision = this->revision, .kind = kind, .removed = removed, .object = std::move(object)});
    this->changed.notify_all();
}

std::uint64_t Store::put(const std::string &kind, const std::string &name, const json &spec)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const json *known = this->find(kind, name);
    json object = known != nullptr ? *known
                                   : json{{"metadata", {{"name", name}, {"createRev", this->revision + 1}, {"finalizers", json::array()}, {"deleting", false}}},
                                          {"status", nullptr}};
    object["spec"] = spec;
    this->recordChange(kind, false, object);
    return this->revision;
}

void Store::erase(const std::string &kind, const std::string &name)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (const json *known = this->find(kind, name)) {
        this->recordChange(kind, true, *known);
    }
}

Store::Answer Store::handleCreate(const httplib::Request &request)
{
    const json body = json::parse(request.body);
    const std::string name = body["metadata"]["name"];
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (const json *known = this->find(request.matches[1], name)) {
        return {409, *known};
    }
    this->recordChange(request.matches[1],
                       false,
                       {{"metadata", {{"name", name}, {"createRev", this->revision + 1}, {"finalizers", json::array()}, {"deleting", false}}},
                        {"spec", body.value("spec", json())},
                        {"status", nullptr}});
    return {200, *this->find(request.matches[1], name)};
}

Store::Answer Store::handleKind(const httplib::Request &request)
{
    if (request.has_param("watch")) {
        return this->watch(request, request.matches[1]);
    }
    return this->list(request.matches[1], request.get_param_value("after"));
}

Store::Answer Store::list(const std::string &kind, const std::string &after)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto &objects = this->kinds[kind];
    json items = json::array();
    auto next = objects.upper_bound(after);
    for (; next != objects.end() && items.size() < pageItems; ++next) {
        items.push_back(next->second);
    }
    return {200, {{"items", items}, {"more", next != objects.end()}, {"at", this->revision}}};
}

Store::Answer Store::watch(const httplib::Request &request, const std::string &kind)
{
    const std::uint64_t since = std::stoull(request.get_param_value("watch"));
    const std::string wait = request.get_param_value("waitMs");
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stoll(wait));
    std::unique_lock<std::mutex> lock(this->mutex);
    json events = json::array();
    const auto collect = [&] {
        for (const Change &change : this->history) {
            if (change.revision > since && change.kind == kind) {
                events.push_back({{"removed", change.removed}, {"object", change.object}});
            }
        }
        return !events.empty() || this->stopping;
    };
    this->changed.wait_until(lock, until, collect);
    return {200, {{"events", events}, {"at", this->revision}}};
}

Store::Answer Store::handleGet(const httplib::Request &request)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const json *known = this->find(request.matches[1], request.matches[2]);
    return {known == nullptr ? 404 : 200, known == nullptr ? json::object() : *known};
}

Store::Answer Store::handlePut(const httplib::Request &request)
{
    return this->replacePart(request, "spec");
}

Store::Answer Store::handlePutStatus(const httplib::Request &request)
{
    return this->replacePart(request, "status");
}

Store::Answer Store::replacePart(const httplib::Request &request, const char *part)
{
    const json body = json::parse(request.body);
    const std::uint64_t condition = conditionOf(request, body);
    const std::lock_guard<std::mutex> lock(this->mutex);
    const json *known = this->find(request.matches[1], request.matches[2]);
    if (known == nullptr) {
        return {404, json::object()};
    }
    if (condition != 0 && condition != (*known)["metadata"]["revision"]) {
        return {409, *known};
    }
    json object = *known;
    object[part] = body.value(part, json());
    if (object != *known) {
        this->recordChange(request.matches[1], false, object);
    }
    return {200, *this->find(request.matches[1], request.matches[2])};
}

Store::Answer Store::handleDelete(const httplib::Request &request)
{
    const std::uint64_t condition = conditionOf(request, nullptr);
    const std::lock_guard<std::mutex> lock(this->mutex);
    const json *known = this->find(request.matches[1], request.matches[2]);
    if (known == nullptr) {
        return {404, json::object()};
    }
    const json object = *known;
    if (condition != 0 && condition != object["metadata"]["revision"]) {
        return {409, object};
    }
    this->recordChange(request.matches[1], true, object);
    return {200, object};
}

} // namespace Review
