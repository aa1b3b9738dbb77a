#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "EventLoop.h"
#include "HttpServer.h"

namespace Bergamotramp {

/** How the stand-in responds to calls. */
enum class ObjectApiMode {
    Serving,
    /** Accepts requests but sends no response, not even to watches that are already waiting. */
    Silent,
    /** Responds with 503 to every call. */
    Busy,
    /** Applies writes, then closes the connection without a response. */
    AnswersLost,
    /** Sends each response in pieces over about two seconds, as on a congested link. */
    SlowLink,
};

/** Stand-in for the platform's object store. Runs on the event loop of the code that creates it. */
class StandinObjectStore
{
public:
    explicit StandinObjectStore(EventLoop &loop, const std::string &address = "127.0.0.1:0");

    [[nodiscard]] std::string address() const;
    void setMode(ObjectApiMode mode);
    /** The waiting watches of this kind never get a response; later ones do. */
    void loseWatches(const std::string &kind);
    /** Discards the history of changes, so that watches from earlier revisions get 410. */
    void compact();
    /** Writes an object directly, as the platform or its operator does. */
    void write(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void erase(const std::string &kind, const std::string &name);
    /** Sends @p text in place of each JSON string @p placeholder in a response, for values that no JSON library writes. */
    void substitute(const std::string &placeholder, const std::string &text);
    /** The object with its metadata, or null if it doesn't exist. */
    [[nodiscard]] nlohmann::json read(const std::string &kind, const std::string &name) const;
    [[nodiscard]] std::vector<std::string> names(const std::string &kind) const;
    [[nodiscard]] std::uint64_t calls() const;
    /** Answers lists of this kind only once releaseLists() is called. */
    void holdLists(const std::string &kind);
    void releaseLists();
    /** The lists and watches in the order in which they arrived, as "list KIND" or "watch KIND". */
    [[nodiscard]] const std::vector<std::string> &readCalls() const;

private:
    struct Change {
        std::uint64_t revision;
        std::string kind;
        bool removed;
        nlohmann::json object;
    };
    struct Watch {
        std::shared_ptr<HttpExchange> exchange;
        std::string kind;
        std::uint64_t since;
        LoopTimer timer;
    };

    void loseWatchesIf(const std::function<bool(const Watch &)> &lost);
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void get(const std::shared_ptr<HttpExchange> &exchange, const std::string &kind, const std::string &name);
    void write(const std::shared_ptr<HttpExchange> &exchange, const std::string &kind, const std::vector<std::string> &parts);
    void watch(const std::shared_ptr<HttpExchange> &exchange, const std::string &kind, std::uint64_t since);
    bool respondToWatch(const Watch &watch);
    void recordChange(const std::string &kind, bool removed, const nlohmann::json &object);
    void sendResponse(const std::shared_ptr<HttpExchange> &exchange, int status, const nlohmann::json &body, bool isWrite);
    /** The JSON text of a response, with the substitutions. */
    [[nodiscard]] std::string textOf(const nlohmann::json &body) const;
    void sendSlowly(const std::shared_ptr<HttpExchange> &exchange, const std::string &text, std::size_t offset);

    EventLoop &loop;
    std::map<std::string, std::map<std::string, nlohmann::json>> kinds;
    std::deque<Change> history;
    std::set<std::shared_ptr<Watch>> watches;
    std::vector<std::shared_ptr<HttpExchange>> unanswered;
    std::list<LoopTimer> pieceTimers;
    ObjectApiMode mode = ObjectApiMode::Serving;
    std::uint64_t revision = 1;
    std::uint64_t compactedRevision = 0;
    std::uint64_t callCount = 0;
    std::vector<std::string> readCallLog;
    /** Kind whose lists are held; empty if none is. */
    std::string heldKind;
    std::vector<std::shared_ptr<HttpExchange>> heldLists;
    std::vector<std::pair<std::string, std::string>> substitutions;
    HttpServer server;
};

} // namespace Bergamotramp
