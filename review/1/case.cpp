// A host is removed for good and a new one comes at another address. The hosts disagree on which of them may take over the jobs of the
// removed one, so that some accepted jobs have no runner.
#include "../standin/Fleet.h"

using namespace Review;

namespace {

constexpr std::int64_t contactMs = 4000;
constexpr int jobs = 16;
constexpr int itemsInJob = 2;
// An item takes 2 s.
constexpr int events = 100;
constexpr std::int64_t intervalMs = 20;
constexpr std::int64_t newHostAfterMs = 1000;
constexpr std::int64_t finishMs = 18'000;
// How long the jobs are watched beyond finishS, for the record.
constexpr std::int64_t watchedMs = 55'000;

struct Zone {
    std::string name;
    int hosts;
};

std::string submission(int job)
{
    nlohmann::json items = nlohmann::json::array();
    for (int item = 0; item < itemsInJob; ++item) {
        items.push_back({{"id", "job" + std::to_string(job) + "item" + std::to_string(item)},
                         {"path", "/batch/1/work"},
                         {"headers", {{"X-Model", "m"}, {"X-Token-Count", "540,400"}, {"X-Prompt-Prefix", "9c2e41:300,5d07b8:240"}}},
                         {"body", "q83vEjRWeJA="},
                         {"tokens", 940}});
    }
    return nlohmann::json{{"items", items}}.dump();
}

/** The results of a job that a host lists; null if it doesn't answer. */
nlohmann::json listedResults(const Host &host, const std::string &job)
{
    const auto channel = connectTo(host.front());
    Message answer;
    if (!channel || !channel->send("GET /bergamotramp/lots/" + job + "?after=0 HTTP/1.1\r\nHost: site.example\r\n\r\n")
        || channel->read(answer, Clock::now() + Milliseconds(2000)) != ReadEnd::Complete || answer.status != 200) {
        return nullptr;
    }
    return nlohmann::json::parse(answer.body)["results"];
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    const Run run;
    ObjectStore store(run.ip(1));
    store.put("config",
              "main",
              configOf({{{"name", "batch"},
                         {"host", "site.example"},
                         {"pathPrefix", "/batch/"},
                         {"kind", "batch"},
                         {"timeoutMs", 15000},
                         {"targetLatencyMs", 500},
                         {"dueMs", 18000},
                         {"retentionS", 60},
                         {"gapTargetMs", 500},
                         {"priority", 2},
                         {"service", "llm"},
                         {"maxAttempts", 3},
                         {"sticky", true},
                         {"maxCount", 2000000}}},
                       {"llm"}));
    std::atomic<int> busy = 0;
    std::atomic<std::int64_t> lastBusyMs = 0;
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int number = 1; number <= 3; ++number) {
        const auto self = std::make_shared<Replica *>(nullptr);
        replicas.push_back(std::make_unique<Replica>(store,
                                                     run.ip(1),
                                                     "model-" + std::to_string(number),
                                                     "llm",
                                                     "zone-a",
                                                     8,
                                                     [self, &busy, &lastBusyMs](const Message &request, Connection &connection) {
                                                         ++busy;
                                                         const bool open = (*self)->stream(request, connection, events, intervalMs);
                                                         --busy;
                                                         lastBusyMs = elapsedMs();
                                                         return open;
                                                     }));
        *self = replicas.back().get();
    }
    const std::vector<Zone> zones{{"zone-a", 6}, {"zone-b", 5}, {"zone-c", 2}};
    std::vector<std::string> seeds;
    for (int number = 1; number <= 3; ++number) {
        seeds.push_back(run.ip(10 + number));
    }
    std::vector<std::unique_ptr<Host>> hosts;
    for (const Zone &zone : zones) {
        for (int number = 1; number <= zone.hosts; ++number) {
            hosts.push_back(std::make_unique<Host>(
                zone.name + "-host-" + std::to_string(number), run.ip(11 + static_cast<int>(hosts.size())), zone.name, store.address(), seeds, run.folder()));
            hosts.back()->start();
        }
    }
    const auto end = [&hosts](int result) {
        for (const auto &host : hosts) {
            host->kill();
        }
        finish(result);
    };
    for (const auto &host : hosts) {
        if (!host->waitReady(10'000)) {
            record.line("%s did not become ready", host->name.c_str());
            end(2);
        }
    }
    sleepMs(contactMs + 1500);
    record.line("%zu hosts in %zu zones are ready", hosts.size(), zones.size());
    const std::size_t removed = hosts.size() - 1;
    for (int job = 0; job < jobs; ++job) {
        const std::string id = "job" + std::to_string(job);
        const auto channel = connectTo(hosts[removed]->front());
        Message answer;
        if (!channel || !channel->send(requestText("/batch/", id, 4000, submission(job)))
            || channel->read(answer, Clock::now() + Milliseconds(5000)) != ReadEnd::Complete || answer.status != 202) {
            record.line("%s was not accepted: status %d", id.c_str(), answer.status);
            end(2);
        }
        record.line("%s (%d items) is sent to %s: 202", id.c_str(), itemsInJob, hosts[removed]->name.c_str());
    }
    const std::int64_t submitted = elapsedMs();
    sleepMs(500);
    if (Run::trouble()) {
        record.line("%s is removed for good", hosts[removed]->name.c_str());
        hosts[removed]->kill();
        sleepMs(newHostAfterMs);
        hosts.push_back(std::make_unique<Host>("zone-c-host-3", run.ip(60), "zone-c", store.address(), seeds, run.folder()));
        hosts.back()->start();
        record.line("%s starts at another address", hosts.back()->name.c_str());
    }
    int unlisted = 0;
    for (std::int64_t checkAt = submitted + finishMs; checkAt <= submitted + finishMs + watchedMs; checkAt += 5000) {
        sleepMs(checkAt - elapsedMs());
        int open = 0;
        int deadLetters = 0;
        for (int job = 0; job < jobs; ++job) {
            const std::string id = "job" + std::to_string(job);
            nlohmann::json results;
            for (std::size_t host = 0; results.is_null() && host < removed; ++host) {
                results = listedResults(*hosts[host], id);
            }
            const int listed = static_cast<int>(results.size());
            open += listed < itemsInJob ? 1 : 0;
            deadLetters += static_cast<int>(std::ranges::count_if(results, [](const nlohmann::json &result) { return result["state"] == "dead_letter"; }));
            if (checkAt == submitted + finishMs && listed < itemsInJob) {
                record.line("%s: %d of %d items are listed", id.c_str(), listed, itemsInJob);
            }
        }
        record.line(
            "%lld ms after the last submission: %d of %d jobs have unlisted items, %d items are listed as dead_letter; requests at replicas: %d, the last one "
            "ended %lld ms ago",
            static_cast<long long>(elapsedMs() - submitted),
            open,
            jobs,
            deadLetters,
            busy.load(),
            static_cast<long long>(elapsedMs() - lastBusyMs));
        if (checkAt == submitted + finishMs) {
            // The rule counts items only while all replicas have been idle for the last 5 s.
            unlisted = busy == 0 && elapsedMs() - lastBusyMs >= 5000 ? open : 0;
        }
        if (open == 0) {
            break;
        }
    }
    record.line(unlisted > 0 ? "LOST is broken: %d accepted jobs are left lying when finishS is over" : "the rule held (%d jobs left lying)", unlisted);
    end(unlisted > 0 ? 1 : 0);
}
