#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Review {

/** Stand-in for the platform's store: objects by kind and name, revisions, conditional writes, lists and watches. */
class Store
{
public:
    Store();
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    [[nodiscard]] std::string address() const;
    /**
     * The port on 127.0.0.1 of a further way to the store, for callers behind a gateway that translates addresses: in the addresses that
     * hosts have left in the store, each key of @p translations is replaced by its value.
     */
    int addTranslatedPort(std::map<std::string, std::string> translations);
    /** Writes an object as the operator or a replica does; returns its revision. */
    std::uint64_t put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void erase(const std::string &kind, const std::string &name);

private:
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        bool removed = false;
        nlohmann::json object;
    };

    /** One port at which the store is served. */
    struct Port {
        httplib::Server server;
        int number = 0;
        std::map<std::string, std::string> translations;
        std::thread thread;
    };
    struct Answer {
        int status = 0;
        nlohmann::json body;
    };
    using Handler = Answer (Store::*)(const httplib::Request &request);

    httplib::Server::Handler answerWith(const Port &port, Handler handler);
    Answer handleCreate(const httplib::Request &request);
    Answer handleKind(const httplib::Request &request);
    Answer handleGet(const httplib::Request &request);
    Answer handlePut(const httplib::Request &request);
    Answer handlePutStatus(const httplib::Request &request);
    Answer handleDelete(const httplib::Request &request);
    Answer replacePart(const httplib::Request &request, const char *part);
    Answer list(const std::string &kind, const std::string &after);
    Answer watch(const httplib::Request &request, const std::string &kind);
    nlohmann::json *find(const std::string &kind, const std::string &name);
    /** Gives the object the next revision and wakes the watches; the caller holds the lock. */
    void recordChange(const std::string &kind, bool removed, nlohmann::json object);

    std::vector<std::unique_ptr<Port>> ports;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    std::uint64_t revision = 1;
    std::map<std::string, std::map<std::string, nlohmann::json>> kinds;
    std::vector<Change> history;
};

} // namespace Review
