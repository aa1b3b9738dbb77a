// Case 13: a host that is cut off for a moment goes on with streams of other hosts at a replica of another software version.

#include <array>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../standin-3/Deployment.h"
#include "../standin-3/Gateway.h"
#include "../standin-3/Hosts.h"
#include "../standin-3/Replica.h"
#include "../standin-3/Store.h"

namespace {

using namespace Review;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

constexpr const char *prefix = "/lohu930/";
constexpr int streams = 24;
constexpr int eventsBeforeBreak = 5;
constexpr time_t answerTimeoutSeconds = 4;
// Only one version is in service for longer than callers take streams up.
constexpr auto calmTime = seconds(18);
// More than two streams with events of two versions break the rule.
constexpr int allowedStreams = 2;

/** The versions that wrote the events of an answer, and the id of its last event. */
struct Events {
    std::string status;
    std::set<std::string> versions;
    int last = 0;
};

void addEvent(Events &events, const std::string &id, const std::string &data)
{
    events.last = std::stoi(id);
    events.versions.insert(data.substr(0, data.find(' ')));
}

/** Sends a request for a stream and reads up to @p most events; then its channel is broken. */
Events readStream(int port, const std::string &head, int most)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const timeval timeout{.tv_sec = answerTimeoutSeconds, .tv_usec = 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    Events events;
    std::string received;
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
        && ::send(socket, head.data(), head.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(head.size())) {
        std::array<char, 4096> buffer{};
        int read = 0;
        bool ended = false;
        while (read < most && !ended) {
            const ssize_t size = ::recv(socket, buffer.data(), buffer.size(), 0);
            if (size <= 0) {
                break;
            }
            received.append(buffer.data(), static_cast<std::size_t>(size));
            if (events.status.empty()) {
                events.status = received.substr(0, received.find('\r'));
            }
            // Each event is one chunk: "id: N\ndata: VERSION ...\n\n".
            for (std::size_t start = received.find("id: "); start != std::string::npos; start = received.find("id: ")) {
                const std::size_t end = received.find("\n\n", start);
                if (end == std::string::npos) {
                    break;
                }
                const std::size_t data = received.find("data: ", start);
                addEvent(events, received.substr(start + 4, received.find('\n', start) - start - 4), received.substr(data + 6, end - data - 6));
                received.erase(0, end + 2);
                ++read;
            }
            ended = received.find("0\r\n\r\n") != std::string::npos
                    || (!events.status.starts_with("HTTP/1.1 200") && received.find("\r\n\r\n") != std::string::npos);
        }
    }
    ::close(socket);
    return events;
}

std::string requestHead(const std::string &id)
{
    return "POST " + std::string(prefix) + "2f HTTP/1.1\r\nHost: " + virtualHost + "\r\nX-Request-Id: " + id
           + "\r\nX-Model: m\r\nX-Token-Count: 450,80\r\nX-Prompt-Prefix: 5c1e07a2:200,e4402b7d:250\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n";
}

std::string textOf(const Events &events)
{
    std::string text = events.status + ", up to event " + std::to_string(events.last) + ", versions:";
    for (const std::string &version : events.versions) {
        text += " " + version;
    }
    return text;
}

/** One caller: begins a stream, loses its channel, and takes the stream up at another host; returns the versions of all events. */
std::set<std::string> beginAndTakeUp(Record &record, const Hosts::Host &first, const Hosts::Host &second, const std::string &name)
{
    const std::string begun = "9c41d07b" + name;
    const Events before = readStream(first.port("entryAddress"), requestHead(begun) + "\r\n", eventsBeforeBreak);
    record.line("stream " + begun + " at " + first.name + ": " + textOf(before));
    if (before.versions != std::set<std::string>{"v2"}) {
        return {};
    }
    const std::string takenUp = "1d07be2a" + name;
    const std::string fields = "Last-Event-Id: " + std::to_string(before.last) + "\r\nResumes: " + begun + "\r\n\r\n";
    const Events after = readStream(second.port("entryAddress"), requestHead(takenUp) + fields, 1000);
    record.line("taken up as " + takenUp + " at " + second.name + ": " + textOf(after));
    std::set<std::string> versions = before.versions;
    versions.insert(after.versions.begin(), after.versions.end());
    return versions;
}

int play(const std::string &daemon, const std::string &folder, const std::string &recordFile, bool trouble)
{
    Record record(recordFile);
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    const auto startReplica = [&](const std::string &id, const std::string &version) {
        replicas.push_back(std::make_unique<Replica>(record, Replica::Options{.id = id, .version = version, .events = 28, .interval = milliseconds(30)}));
        store.put("servers", id, registration("modelo", replicas.back()->address(), replicas.back()->settings().slots, version));
    };
    startReplica("i-old1", "v1");
    startReplica("i-old2", "v1");
    const json route{{"name", "r-quote"},
                     {"host", virtualHost},
                     {"pathPrefix", prefix},
                     {"kind", "streaming"},
                     {"timeoutMs", 5000},
                     {"targetLatencyMs", 300},
                     {"priority", 0},
                     {"maxAttempts", 2},
                     {"sticky", true},
                     {"resumable", true},
                     {"gapTargetMs", 400},
                     {"service", "modelo"}};
    store.put("config", "main", configuration(7, {route}, {"modelo"}));

    const int port = freePort();
    const int others = store.addTranslatedPort({{"127.0.2.1", "127.0.9.21"}});
    const int cutOff = store.addTranslatedPort({{"127.0.1.1", "127.0.9.11"}, {"127.0.1.2", "127.0.9.12"}, {"127.0.1.3", "127.0.9.13"}});
    Gateway gateway({{"127.0.1.1", "127.0.9.11"}, {"127.0.1.2", "127.0.9.12"}, {"127.0.1.3", "127.0.9.13"}, {"127.0.2.1", "127.0.9.21"}}, port, cutOff);
    Hosts hosts(daemon, folder, store.address());
    const auto startHost = [&](const std::string &address, int storePort) {
        hosts.start(1, {{"peerAddress", address + ":" + std::to_string(port)}, {"storeAddress", "127.0.0.1:" + std::to_string(storePort)}});
    };
    startHost("127.0.1.1", others);
    startHost("127.0.1.2", others);
    startHost("127.0.1.3", others);
    startHost("127.0.2.1", gateway.storePort());
    if (!hosts.waitUntilReady(20)) {
        std::cerr << "the hosts did not become ready\n";
        return couldNotRun;
    }
    std::this_thread::sleep_for(calmTime);
    if (trouble) {
        record.line("disruption: " + hosts.host(3).name + " is cut off");
        gateway.setCut(true);
    }
    std::this_thread::sleep_for(milliseconds(200));
    record.line("release: replicas of version v2 join");
    startReplica("i-new1", "v2");
    startReplica("i-new2", "v2");
    std::this_thread::sleep_for(milliseconds(300));
    std::mutex mutex;
    int begun = 0;
    int mixed = 0;
    std::vector<std::thread> callers;
    for (int number = 0; number < streams; ++number) {
        callers.emplace_back([&, number] {
            const std::set<std::string> versions =
                beginAndTakeUp(record, hosts.host(static_cast<std::size_t>(number) % 3), hosts.host(3), std::to_string(1000 + number));
            const std::lock_guard<std::mutex> lock(mutex);
            begun += versions.empty() ? 0 : 1;
            mixed += versions.size() > 1 ? 1 : 0;
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    gateway.setCut(false);
    record.line(std::to_string(begun) + " streams of v2 were taken up; " + std::to_string(mixed) + " hold events of two versions");
    if (begun <= allowedStreams) {
        return couldNotRun;
    }
    return mixed > allowedStreams ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: case-13 DAEMON FOLDER RECORD\n";
        return couldNotRun;
    }
    const char *trouble = std::getenv("TROUBLE");
    try {
        return play(argv[1], argv[2], argv[3], trouble == nullptr || std::strcmp(trouble, "0") != 0);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return couldNotRun;
    }
}
