#include "Kit.h"

using namespace Review;

namespace {

constexpr std::size_t answerBytes = 3'000'000;
constexpr int timeBudgetMs = 5'000;
constexpr std::int64_t workMs = 300;
// The client reads slowly for this long and then as fast as the answer comes.
constexpr std::int64_t slowMs = 3'700;
constexpr std::size_t pieceBytes = 10'000;
constexpr std::int64_t pauseMs = 50;

struct Outcome {
    int status = 0;
    std::size_t bytes = 0;
    bool complete = false;
    std::int64_t afterMs = 0;
};

Outcome fetch(const Host &host, const std::string &id)
{
    const int fd = connectTo(host.entry(), true);
    const std::int64_t start = nowMs();
    sendAll(fd, "GET /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(timeBudgetMs) + "\r\n\r\n");
    Reader reader(fd, pieceBytes);
    Message answer;
    if (!reader.readHead(answer, start + timeBudgetMs)) {
        return {};
    }
    const std::size_t length = std::stoull(answer.field("content-length"));
    bool open = true;
    while (open && answer.body.size() < length && nowMs() < start + timeBudgetMs) {
        open = reader.take(answer, std::min(pieceBytes, length - answer.body.size()), start + timeBudgetMs);
        if (nowMs() < start + slowMs) {
            sleepMs(pauseMs);
        }
    }
    close(fd);
    return {.status = answer.status(), .bytes = answer.body.size(), .complete = answer.body.size() == length, .afterMs = nowMs() - start};
}

} // namespace

int main(int, char **arguments)
{
    const Case test = Case::fromArguments(arguments);
    Store store;
    const Listener replicaListener;
    serve(replicaListener, [&test](int fd) {
        Reader reader(fd);
        const Message request = reader.readMessage(nowMs() + 60'000, false);
        if (request.complete) {
            test.record.line("replica: runs " + request.field("x-request-id"));
            sleepMs(workMs);
            sendAll(fd,
                    responseText(200,
                                 std::string(answerBytes, 'a'),
                                 "X-Request-Id: " + request.field("x-request-id") + "\r\nX-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"));
            test.record.line("replica: has sent its whole answer to " + request.field("x-request-id"));
            reader.waitForEnd(nowMs() + 60'000);
        }
    });
    store.put("config", "main", config(7, Json::array({route("sheet", "/puxa403/", "safe", "vitrine")})));
    store.put("servers", "i-7f3a91c2", replica("vitrine", replicaListener.address()));
    Host host(test.folder, "edge-1", store.address());
    host.writeSettings({});
    host.start();
    if (!host.waitReady(10'000)) {
        finish(exitNotRun);
    }
    std::thread stop;
    if (test.trouble) {
        stop = std::thread([&] {
            sleepMs(workMs / 3);
            host.process.signal(SIGTERM);
            test.record.line("platform: SIGTERM to edge-1");
        });
    }
    test.record.line("client: sends r1");
    const Outcome outcome = fetch(host, "r1");
    if (stop.joinable()) {
        stop.join();
    }
    test.record.line("client: status " + std::to_string(outcome.status) + ", " + std::to_string(outcome.bytes) + " of " + std::to_string(answerBytes)
                     + " bytes, the channel or the answer ended after " + std::to_string(outcome.afterMs) + " ms");
    host.process.killAndWait();
    if (outcome.status != 200 || (!outcome.complete && outcome.afterMs >= timeBudgetMs)) {
        finish(exitNotRun);
    }
    test.record.line(outcome.complete ? "held" : "LOST broken: the channel ended without the complete answer");
    finish(outcome.complete ? exitHeld : exitBroken);
}
