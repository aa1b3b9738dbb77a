// A host that stops answers 503, which promises that the request has not run, to a request that may run once and is at work at a replica.
#include "../standin/Fleet.h"

using namespace Review;

namespace {

constexpr int requests = 3;
constexpr std::int64_t contactMs = 4000;
constexpr std::int64_t workMs = 4600;
constexpr int timeBudgetMs = 5000;
// When the request is sent, after SIGTERM.
constexpr std::int64_t sentAfterStopMs = 3000;

bool promisesNotRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    const Run run;
    ObjectStore store(run.ip(1));
    store.put("config",
              "main",
              configOf({{{"name", "order"},
                         {"host", "site.example"},
                         {"pathPrefix", "/order/"},
                         {"kind", "unsafe"},
                         {"timeoutMs", timeBudgetMs},
                         {"targetLatencyMs", 300},
                         {"priority", 0},
                         {"service", "quotes"},
                         {"maxAttempts", 1}}},
                       {"quotes"}));
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int number = 1; number <= 2; ++number) {
        Replica *self = nullptr;
        const auto pointer = std::make_shared<Replica *>(nullptr);
        replicas.push_back(std::make_unique<Replica>(
            store, run.ip(1), "replica-" + std::to_string(number), "quotes", "zone-a", 6, [pointer](const Message &request, Connection &connection) {
                const bool isLong = request.target == "/order/long";
                return (*pointer)->answerAfter(request, connection, isLong ? workMs : 20, "done");
            }));
        self = replicas.back().get();
        *pointer = self;
    }
    std::vector<std::unique_ptr<Host>> hosts;
    for (int number = 1; number <= 2; ++number) {
        hosts.push_back(std::make_unique<Host>(
            "host-" + std::to_string(number), run.ip(10 + number), "zone-a", store.address(), std::vector<std::string>{run.ip(11), run.ip(12)}, run.folder()));
        hosts.back()->start();
    }
    bool ready = true;
    for (const auto &host : hosts) {
        ready = host->waitReady(10'000) && ready;
    }
    const auto end = [&hosts](int result) {
        for (const auto &host : hosts) {
            host->kill();
        }
        return result;
    };
    if (!ready) {
        record.line("the hosts did not become ready");
        finish(end(2));
    }
    sleepMs(contactMs + 500);
    std::vector<std::unique_ptr<Connection>> channels;
    for (int number = 0; number < requests; ++number) {
        channels.push_back(connectTo(hosts[0]->front()));
        Message answer;
        const std::string id = "short" + std::to_string(number);
        if (!channels.back() || !channels.back()->send(requestText("/order/short", id, timeBudgetMs))
            || channels.back()->read(answer, Clock::now() + Milliseconds(timeBudgetMs)) != ReadEnd::Complete || answer.status != 200) {
            record.line("request %s was not served", id.c_str());
            finish(end(2));
        }
        record.line("request %s: status %d; its channel stays open", id.c_str(), answer.status);
    }
    if (Run::trouble()) {
        record.line("SIGTERM to host-1; the platform kills it after graceS = 8 s");
        hosts[0]->signal(SIGTERM);
    }
    sleepMs(sentAfterStopMs);
    bool broken = false;
    bool served = true;
    std::vector<std::string> ids;
    for (int number = 0; number < requests; ++number) {
        ids.push_back("long" + std::to_string(number));
        record.line("request %s is sent to host-1 on its open channel, time budget %d ms", ids.back().c_str(), timeBudgetMs);
        if (!channels[static_cast<std::size_t>(number)]->send(requestText("/order/long", ids.back(), timeBudgetMs))) {
            record.line("the channel was closed before");
        }
    }
    for (int number = 0; number < requests; ++number) {
        const std::string &id = ids[static_cast<std::size_t>(number)];
        Message answer;
        const ReadEnd how = channels[static_cast<std::size_t>(number)]->read(answer, Clock::now() + Milliseconds(timeBudgetMs + 1500));
        std::size_t runs = 0;
        for (const auto &replica : replicas) {
            runs += replica->runs().count(id);
        }
        record.line("request %s: %s, status %d %s; it has run %zu times",
                    id.c_str(),
                    how == ReadEnd::Complete ? "answered" : "no complete answer",
                    answer.status,
                    answer.body.c_str(),
                    runs);
        served = served && how == ReadEnd::Complete && answer.status == 200;
        if (how == ReadEnd::Complete && promisesNotRun(answer.status) && runs > 0) {
            record.line("REFUSED is broken: %d promises that %s has not run, and replicas ran it", answer.status, id.c_str());
            broken = true;
        }
    }
    if (broken) {
        // What the promise leads to: the client sends the same order again, as a new attempt at another host.
        const auto channel = connectTo(hosts[1]->front());
        Message answer;
        channel->send(requestText("/order/long", "long0again", timeBudgetMs));
        channel->read(answer, Clock::now() + Milliseconds(timeBudgetMs + 1000));
        record.line("the client's new attempt at host-2: status %d; the order has now run twice", answer.status);
    }
    if (!Run::trouble() && !served) {
        record.line("without the disruption a request was not served");
        finish(end(1));
    }
    record.line(broken ? "the rule was broken" : "the rule held");
    finish(end(broken ? 1 : 0));
}
