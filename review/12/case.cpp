// Case 12: a route of jobs is split over two services, and the only replica of the smaller one is lost for good.

#include <cstdlib>
#include <cstring>
#include <iostream>
#include <memory>
#include <vector>

#include "../standin-3/JobWatch.h"
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

constexpr const char *prefix = "/pule252/";
constexpr const char *job = "7c41e09b52d6a3f8";
constexpr int items = 120;
constexpr int stableReplicas = 6;
// heartbeatMs is 1,200: the registration of a replica is removed after three intervals of silence.
constexpr auto registrationLapse = milliseconds(3600);
constexpr auto contactTime = milliseconds(4000);
// The job is due 18 s after it was sent, and has finishS more after the traffic, which is this job alone.
constexpr double dueSeconds = 18;
constexpr double finishSeconds = 18;
// No replica has had an unlisted item in the last 5 s.
constexpr double idleSeconds = 5;

int play(const std::string &daemon, const std::string &folder, const std::string &recordFile, bool trouble)
{
    Record record(recordFile);
    Activity activity(record);
    Store store;
    const auto note = [&activity](const std::string &) { activity.note(); };
    const auto startReplica = [&](const std::string &id, const std::string &service) {
        auto replica = std::make_unique<Replica>(record, Replica::Options{.id = id, .began = note, .finished = note});
        store.put("servers", id, registration(service, replica->address(), replica->settings().slots));
        return replica;
    };
    std::vector<std::unique_ptr<Replica>> stable;
    for (int number = 1; number <= stableReplicas; ++number) {
        stable.push_back(startReplica("i-stable" + std::to_string(number), "modelo"));
    }
    const auto next = startReplica("i-next1", "modelo-next");
    json route = batchRoute(prefix);
    route["split"] = json::array({{{"service", "modelo"}, {"weight", 90}}, {{"service", "modelo-next"}, {"weight", 10}}});
    store.put("config", "main", configuration(7, {route}, {"modelo", "modelo-next"}));

    Hosts hosts(daemon, folder, store.address());
    hosts.start(3);
    if (!hosts.waitUntilReady(20)) {
        std::cerr << "the hosts did not become ready\n";
        return couldNotRun;
    }
    std::this_thread::sleep_for(seconds(3));
    if (trouble) {
        record.line("disruption: i-next1 is lost for good");
        next->crash();
    }
    std::this_thread::sleep_for(registrationLapse);
    if (trouble) {
        store.erase("servers", "i-next1");
        record.line("its registration is removed");
    }
    std::this_thread::sleep_for(contactTime + seconds(1));

    JobWatch jobs(record, hosts, prefix);
    if (!jobs.submit(0, job, items)) {
        std::cerr << "the job was not accepted\n";
        return couldNotRun;
    }
    const double submitted = record.seconds();
    while (jobs.unlisted() > 0 && record.seconds() < submitted + dueSeconds + finishSeconds) {
        std::this_thread::sleep_for(milliseconds(500));
        jobs.read();
    }
    int running = 0;
    for (const auto &replica : stable) {
        running += replica->running();
    }
    const double idle = activity.idleSeconds();
    record.line("not listed " + std::to_string(jobs.unlisted()) + "; items at replicas " + std::to_string(running) + "; last item had or finished "
                + std::to_string(idle) + " s ago");
    if (jobs.unlisted() == 0) {
        return ruleHeld;
    }
    return running == 0 && idle > idleSeconds ? ruleBroken : couldNotRun;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: case-12 DAEMON FOLDER RECORD\n";
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
