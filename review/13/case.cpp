// Case 13: a caller's body, under a transfer coding that this host does not know, is taken for the next request and runs.

#include <array>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <memory>
#include <set>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../standin-3/Deployment.h"
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
constexpr int requests = 6;
constexpr time_t answerTimeoutSeconds = 2;

/** The requests that replicas ran, by their ids. */
struct Runs {
    std::mutex mutex;
    std::set<std::string> ids{};
};

/** Sends the bytes on a new connection and returns what comes back until it ends or nothing more arrives. */
std::string exchange(int port, const std::string &bytes)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const timeval timeout{.tv_sec = answerTimeoutSeconds, .tv_usec = 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    std::string answer;
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
        && ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())) {
        std::array<char, 4096> buffer{};
        for (ssize_t size = ::recv(socket, buffer.data(), buffer.size(), 0); size > 0; size = ::recv(socket, buffer.data(), buffer.size(), 0)) {
            answer.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }
    ::close(socket);
    return answer;
}

std::string requestHead(const std::string &path, const std::string &id)
{
    return "POST " + std::string(prefix) + path + " HTTP/1.1\r\nHost: " + virtualHost + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\n";
}

int play(const std::string &daemon, const std::string &folder, const std::string &recordFile, bool trouble)
{
    Record record(recordFile);
    Runs runs;
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    const auto note = [&runs](const std::string &id) {
        const std::lock_guard<std::mutex> lock(runs.mutex);
        runs.ids.insert(id);
    };
    for (const char *id : {"i-1", "i-2", "i-3"}) {
        replicas.push_back(std::make_unique<Replica>(record, Replica::Options{.id = id, .slots = 6, .events = 3, .began = note}));
        store.put("servers", id, registration("vitrine", replicas.back()->address(), replicas.back()->settings().slots));
    }
    const json route{{"name", "r-safe"},
                     {"host", virtualHost},
                     {"pathPrefix", prefix},
                     {"kind", "safe"},
                     {"timeoutMs", 1500},
                     {"targetLatencyMs", 150},
                     {"priority", 2},
                     {"maxAttempts", 2},
                     {"service", "vitrine"}};
    store.put("config", "main", configuration(7, {route}, {"vitrine"}));
    Hosts hosts(daemon, folder, store.address());
    hosts.start(3);
    if (!hosts.waitUntilReady(20)) {
        std::cerr << "the hosts did not become ready\n";
        return couldNotRun;
    }
    std::set<std::string> sent;
    for (int number = 0; number < requests; ++number) {
        const std::string id = "9c41d07be2a35f6" + std::to_string(number);
        // The body of the request, which no client sends as a request.
        const std::string body = requestHead("inner", "1111111111111111") + "Content-Length: 0\r\n\r\n";
        const std::string framing = trouble ? "Transfer-Encoding: gzip\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        const Hosts::Host &host = hosts.host(static_cast<std::size_t>(number) % hosts.all().size());
        sent.insert(id);
        record.line("send " + id + " to " + host.name + " with " + framing.substr(0, framing.size() - 2) + ", a body of " + std::to_string(body.size())
                    + " bytes");
        const std::string answer = exchange(host.port("entryAddress"), requestHead("2f", id) + framing + "\r\n" + body);
        record.line("answered " + answer.substr(0, answer.find('\r')));
    }
    std::this_thread::sleep_for(milliseconds(500));
    const std::lock_guard<std::mutex> lock(runs.mutex);
    int unasked = 0;
    for (const std::string &id : runs.ids) {
        if (!sent.contains(id)) {
            ++unasked;
            record.line("a replica ran " + id + ", which no client sent");
        }
    }
    if (!trouble && runs.ids != sent) {
        std::cerr << "the ordinary requests did not run\n";
        return couldNotRun;
    }
    return unasked > 0 ? ruleBroken : ruleHeld;
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
