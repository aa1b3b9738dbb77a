#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <httplib.h>

#include "Record.h"

namespace Review {

/** Stand-in for one replica: answers with streams of numbered events that can be resumed, and refuses what it has no slot for. */
class Replica
{
public:
    struct Options {
        std::string id;
        std::string version = "v1";
        int slots = 8;
        /** Events of each answer. */
        int events = 20;
        std::chrono::milliseconds interval{10};
        /** Bytes of an answer with a length, which takes the place of the events; 0 for events. */
        std::size_t answerBytes = 0;
        /** Work before an answer with a length. */
        std::chrono::milliseconds work{300};
        /** Called when a request begins to run, and when its last event has been sent. */
        std::function<void(const std::string &requestId)> began{};
        std::function<void(const std::string &requestId)> finished{};
    };

    Replica(Record &record, Options options);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    [[nodiscard]] std::string address() const;
    [[nodiscard]] const Options &settings() const;
    [[nodiscard]] int running() const;
    /** Breaks off all answers and takes no connections any more, as a process that was killed. */
    void crash();
    /** The data of an event; the output of an item is the data of all events, separated by line feeds. */
    static std::string eventData(const std::string &requestId, int number);

private:
    struct Run;
    void handle(const httplib::Request &request, httplib::Response &response);
    bool sendEvent(Run &run, httplib::DataSink &sink);

    Record &record;
    Options options;
    httplib::Server server;
    int port = 0;
    std::thread thread;
    std::atomic<int> runs{0};
    std::atomic<bool> crashed{false};
};

} // namespace Review
