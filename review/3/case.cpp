// A replica in trouble sends bytes without end where the size of a chunk is due. The host collects them until the platform kills it for
// its memory, and the answers of all other requests on that host are lost.
#include "../standin/Fleet.h"

using namespace Review;

namespace {

constexpr std::int64_t contactMs = 4000;
// The sheet's machine: memory, and bandwidth of its link of which the replica uses less than half.
constexpr double memoryMb = 110;
constexpr std::size_t bytesPerMs = 50'000;
constexpr int lookups = 8;
constexpr std::int64_t lookupWorkMs = 1200;
constexpr int lookupBudgetMs = 2000;
constexpr int streamBudgetMs = 5000;
constexpr std::int64_t observedMs = 12'000;
// The rule allows this many.
constexpr int allowedLosses = 3;

/** Answers with a sound head and then, until the caller closes the connection, with bytes that are no chunk. */
bool answerWithoutEnd(const Replica &replica, const Message &request, Connection &connection)
{
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto &[name, value] : replica.answerFields(request)) {
        head += name + ": " + (name == "Content-Type" ? "text/event-stream" : value) + "\r\n";
    }
    bool open = connection.send(head + "Transfer-Encoding: chunked\r\n\r\n");
    const std::string bytes(bytesPerMs * 10, '\0');
    for (std::int64_t next = elapsedMs(); open; next += 10) {
        open = connection.send(bytes);
        sleepMs(next + 10 - elapsedMs());
    }
    return false;
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    const Run run;
    ObjectStore store(run.ip(1));
    store.put("config",
              "main",
              configOf({{{"name", "notes"},
                         {"host", "site.example"},
                         {"pathPrefix", "/notes/"},
                         {"kind", "streaming"},
                         {"timeoutMs", streamBudgetMs},
                         {"targetLatencyMs", 300},
                         {"gapTargetMs", 500},
                         {"priority", 0},
                         {"service", "llm"},
                         {"maxAttempts", 1},
                         {"sticky", true},
                         {"resumable", false}},
                        {{"name", "lookup"},
                         {"host", "site.example"},
                         {"pathPrefix", "/lookup/"},
                         {"kind", "safe"},
                         {"timeoutMs", lookupBudgetMs},
                         {"targetLatencyMs", 1500},
                         {"priority", 2},
                         {"service", "trace"},
                         {"maxAttempts", 2}}},
                       {"llm", "trace"}));
    const auto sick = std::make_shared<std::atomic<bool>>(false);
    const auto llm = std::make_shared<Replica *>(nullptr);
    Replica model(store, run.ip(1), "model-1", "llm", "zone-a", 8, [llm, sick](const Message &request, Connection &connection) {
        return *sick ? answerWithoutEnd(**llm, request, connection) : (*llm)->stream(request, connection, 10, 30);
    });
    *llm = &model;
    std::vector<std::unique_ptr<Replica>> sound;
    for (int number = 1; number <= 2; ++number) {
        const auto self = std::make_shared<Replica *>(nullptr);
        sound.push_back(std::make_unique<Replica>(
            store, run.ip(1), "trace-" + std::to_string(number), "trace", "zone-a", 6, [self](const Message &request, Connection &connection) {
                return (*self)->answerAfter(request, connection, request.target == "/lookup/first" ? 20 : lookupWorkMs, "sheet");
            }));
        *self = sound.back().get();
    }
    Host host("host-1", run.ip(11), "zone-a", store.address(), {run.ip(11)}, run.folder());
    host.start();
    if (!host.waitReady(10'000)) {
        record.line("the host did not become ready");
        host.kill();
        finish(2);
    }
    sleepMs(contactMs + 500);

    std::atomic<bool> stopped = false;
    std::atomic<int> lost = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < lookups; ++caller) {
        callers.emplace_back([&, caller] {
            auto channel = connectTo(host.front());
            bool kept = false;
            for (int count = 0; channel && !stopped; ++count) {
                const std::string id = "lookup" + std::to_string(caller) + "x" + std::to_string(count);
                Message answer;
                const bool sent = channel->send(requestText(kept ? "/lookup/sheet" : "/lookup/first", id, lookupBudgetMs));
                const ReadEnd how = sent ? channel->read(answer, Clock::now() + Milliseconds(lookupBudgetMs + 500)) : ReadEnd::Closed;
                std::size_t runs = 0;
                for (const auto &replica : sound) {
                    runs += replica->runs().count(id);
                }
                if (how == ReadEnd::Complete && answer.status == 200) {
                    ++served;
                } else {
                    record.line("%s: %s, status %d; passed on to a sound replica: %s; on a kept channel: %s",
                                id.c_str(),
                                how == ReadEnd::Complete ? "answered"
                                : how == ReadEnd::Closed ? "the channel was closed without an answer"
                                                         : "no answer",
                                answer.status,
                                runs > 0 ? "yes" : "no",
                                kept ? "yes" : "no");
                    lost += how == ReadEnd::Closed && runs > 0 && kept ? 1 : 0;
                    return;
                }
                kept = true;
            }
        });
    }
    sleepMs(1000);
    *sick = Run::trouble();
    record.line("model-1 %s", *sick ? "is in trouble: its bodies are bytes that are no answer, without end" : "stays sound");
    const auto channel = connectTo(host.front());
    std::thread streamCaller([&] {
        Message answer;
        channel->send(requestText("/notes/1", "stream0", streamBudgetMs));
        record.line("stream0 is sent");
        const ReadEnd how = channel->read(answer, Clock::now() + Milliseconds(streamBudgetMs + 500));
        record.line("stream0: %s, status %d", how == ReadEnd::Complete ? "complete answer" : "no complete answer", answer.status);
    });
    double most = 0;
    bool killed = false;
    for (const std::int64_t end = elapsedMs() + observedMs; elapsedMs() < end && !killed; sleepMs(5)) {
        const double resident = host.residentMb();
        if (resident > most + 10) {
            record.line("the host has %.0f MB resident", resident);
        }
        most = std::max(most, resident);
        if (resident > memoryMb) {
            record.line("the host uses %.0f MB, more than memoryMb = %.0f; the platform kills it", resident, memoryMb);
            killed = true;
            host.kill();
        }
    }
    stopped = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    streamCaller.join();
    host.kill();
    record.line("most memory %.0f MB; lookups served %d, lost on kept channels %d (allowed %d)", most, served.load(), lost.load(), allowedLosses);
    const bool broken = lost > allowedLosses;
    record.line(broken ? "LOST is broken" : "the rule held");
    finish(broken ? 1 : 0);
}
