#include "Kit.h"

using namespace Review;

namespace {

constexpr std::int64_t contactMs = 4'000;
constexpr std::int64_t cancelMs = 3'000;
constexpr std::int64_t silenceMs = 1'000;
constexpr std::int64_t observeMs = 20'000;

} // namespace

int main(int, char **arguments)
{
    const Case test = Case::fromArguments(arguments);
    Store store;
    Engine engine(test.record, 10, 500);
    store.put(
        "config", "main", config(7, Json::array({route("draft", "/pule252/", "batch", "modelo", {{"dueMs", 18000}, {"retentionS", 60}, {"maxAttempts", 3}})})));
    Json entry = replica("modelo", engine.address());
    entry["slots"] = 4;
    store.put("servers", "i-7f3a91c2", entry);
    const auto door = store.openDoor();
    Host runner(test.folder, "edge-1", door->listener.address());
    Host second(test.folder, "edge-2", store.address());
    Host third(test.folder, "edge-3", store.address());
    const std::vector<std::string> seeds{runner.control(), second.control(), third.control()};
    for (Host *host : {&runner, &second, &third}) {
        host->writeSettings(seeds);
        host->start();
    }
    for (Host *host : {&runner, &second, &third}) {
        if (!host->waitReady(10'000)) {
            finish(exitNotRun);
        }
    }
    sleepMs(4'000);
    const Message accepted = call(runner.entry(), jobRequest("/pule252/", "7c41e09b52d6a3f8", 40), 5'000);
    test.record.line("client: job sent to edge-1, status " + std::to_string(accepted.status()));
    if (accepted.status() != 202) {
        finish(exitNotRun);
    }
    sleepMs(2'000);
    if (test.trouble) {
        door->silent = true;
        test.record.line("store: silent for edge-1");
    }
    sleepMs(200);
    const Message ended =
        call(second.entry(), "DELETE /bergamotramp/lots/7c41e09b52d6a3f8 HTTP/1.1\r\nHost: ficu95.example\r\nX-Deadline-Ms: 4000\r\n\r\n", 5'000);
    const std::int64_t ackAt = nowMs();
    test.record.line("client: end of the job sent to edge-2, status " + std::to_string(ended.status()));
    if (ended.status() != 200) {
        finish(exitNotRun);
    }
    sleepMs(silenceMs - 200);
    door->silent = false;
    const std::int64_t silenceEnd = nowMs();
    test.record.line("store: serves edge-1 again, " + std::to_string(door->lost) + " answers were lost");
    sleepMs(observeMs);
    const std::int64_t judgedFrom = std::max(ackAt + cancelMs, test.trouble ? silenceEnd + contactMs : 0);
    int late = 0;
    for (const auto &[id, at] : engine.runs()) {
        late += at > judgedFrom ? 1 : 0;
    }
    for (Host *host : {&runner, &second, &third}) {
        host->process.killAndWait();
    }
    test.record.line(std::to_string(late) + " items ran that reached the replica later than cancelMs after the ack and contactMs after the silence: "
                     + (late > 0 ? "UNASKED broken" : "held"));
    finish(late > 0 ? exitBroken : exitHeld);
}
