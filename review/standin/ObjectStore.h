#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>

#include <nlohmann/json.hpp>

#include "Net.h"

namespace Review {

/** Stand-in for the platform's metadata store: one linearizable history of objects, kept in memory. */
class ObjectStore
{
public:
    explicit ObjectStore(const std::string &ip) : listener(ip, [this](Connection &connection) { this->serve(connection); })
    {
    }

    [[nodiscard]] const std::string &address() const
    {
        return this->listener.address();
    }

    /** Writes an object as the operator or a replica does. */
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        nlohmann::json object = this->find(kind, name);
        if (object.is_null()) {
            object = this->newObject(name);
        }
        object["spec"] = spec;
        this->record(kind, std::move(object), false);
    }

    [[nodiscard]] std::vector<nlohmann::json> list(const std::string &kind)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::vector<nlohmann::json> result;
        for (const auto &[name, object] : this->kinds[kind]) {
            result.push_back(object);
        }
        return result;
    }

    /** Called for each call before it is executed, with its method, kind and name. May block, as a slow store does. */
    std::function<void(const std::string &method, const std::string &kind, const std::string &name)> beforeCall;

private:
    static constexpr std::size_t pageItems = 500;

    struct Change {
        std::uint64_t revision;
        std::string kind;
        bool removed;
        nlohmann::json object;
    };

    void serve(Connection &connection)
    {
        Message request;
        while (connection.read(request, Clock::now() + std::chrono::minutes(5)) == ReadEnd::Complete) {
            const auto [status, body] = this->handle(request);
            if (!connection.send(responseText(status, {{"Content-Type", "application/json"}}, body))) {
                return;
            }
        }
    }

    std::pair<int, std::string> handle(const Message &request)
    {
        const std::string prefix = "/bergamotramp/objects/";
        const std::string path = request.path();
        if (!path.starts_with(prefix)) {
            return {404, "{}"};
        }
        std::vector<std::string> parts;
        for (std::size_t start = prefix.size(); start <= path.size();) {
            const std::size_t end = std::min(path.find('/', start), path.size());
            parts.push_back(path.substr(start, end - start));
            start = end + 1;
        }
        const nlohmann::json body = request.body.empty() ? nlohmann::json() : nlohmann::json::parse(request.body, nullptr, false);
        const std::string name = request.method == "POST" ? body["metadata"]["name"].get<std::string>() : parts.size() > 1 ? parts[1] : "";
        if (this->beforeCall) {
            this->beforeCall(request.method, parts[0], name);
        }
        std::unique_lock<std::mutex> lock(this->mutex);
        if (request.method != "GET") {
            return this->write(request, parts, name, body);
        }
        if (!name.empty()) {
            const nlohmann::json object = this->find(parts[0], name);
            return object.is_null() ? std::pair<int, std::string>(404, "{}") : std::pair<int, std::string>(200, object.dump());
        }
        if (request.query("watch").empty()) {
            return {200, this->page(parts[0], request.query("after"))};
        }
        return {200, this->watch(lock, parts[0], std::stoull(request.query("watch")), std::atoi(request.query("waitMs").c_str()))};
    }

    std::pair<int, std::string> write(const Message &request, const std::vector<std::string> &parts, const std::string &name, const nlohmann::json &body)
    {
        nlohmann::json object = this->find(parts[0], name);
        if (request.method == "POST") {
            if (!object.is_null()) {
                return {409, object.dump()};
            }
            object = this->newObject(name);
            object["spec"] = body["spec"];
            return {200, this->record(parts[0], std::move(object), false).dump()};
        }
        if (object.is_null()) {
            return {404, "{}"};
        }
        const nlohmann::json::json_pointer revisionPointer("/metadata/revision");
        if (body.is_object() && body.contains(revisionPointer) && body.at(revisionPointer) != object.at(revisionPointer)) {
            return {409, object.dump()};
        }
        if (request.method == "DELETE") {
            return {200, this->record(parts[0], std::move(object), true).dump()};
        }
        object[parts.size() > 2 ? "status" : "spec"] = body[parts.size() > 2 ? "status" : "spec"];
        return {200, this->record(parts[0], std::move(object), false).dump()};
    }

    std::string page(const std::string &kind, const std::string &after)
    {
        nlohmann::json items = nlohmann::json::array();
        const auto &objects = this->kinds[kind];
        auto next = objects.upper_bound(after);
        for (; next != objects.end() && items.size() < pageItems; ++next) {
            items.push_back(next->second);
        }
        return nlohmann::json{{"items", items}, {"more", next != objects.end()}, {"at", this->revision}}.dump();
    }

    std::string watch(std::unique_lock<std::mutex> &lock, const std::string &kind, std::uint64_t since, int waitMs)
    {
        const auto until = Clock::now() + Milliseconds(waitMs);
        nlohmann::json events = nlohmann::json::array();
        while (true) {
            for (const Change &change : this->history) {
                if (change.revision > since && change.kind == kind) {
                    events.push_back({{"object", change.object}, {"removed", change.removed}});
                }
            }
            if (!events.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout) {
                return nlohmann::json{{"events", events}, {"at", this->revision}}.dump();
            }
        }
    }

    [[nodiscard]] nlohmann::json newObject(const std::string &name) const
    {
        return {{"metadata", {{"name", name}, {"createRev", this->revision + 1}, {"finalizers", nlohmann::json::array()}, {"deleting", false}}},
                {"spec", nullptr},
                {"status", nullptr}};
    }

    [[nodiscard]] nlohmann::json find(const std::string &kind, const std::string &name)
    {
        const auto found = this->kinds[kind].find(name);
        return found == this->kinds[kind].end() ? nlohmann::json() : found->second;
    }

    nlohmann::json record(const std::string &kind, nlohmann::json object, bool removed)
    {
        object["metadata"]["revision"] = ++this->revision;
        const std::string name = object["metadata"]["name"];
        if (removed) {
            this->kinds[kind].erase(name);
        } else {
            this->kinds[kind][name] = object;
        }
        this->history.push_back({this->revision, kind, removed, object});
        this->changed.notify_all();
        return object;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, nlohmann::json>> kinds;
    std::deque<Change> history;
    std::uint64_t revision = 1;
    Listener listener;
};

} // namespace Review
