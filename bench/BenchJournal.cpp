#include <malloc.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include "JournalShard.h"
#include "RendezvousHash.h"

namespace Bergamotramp {

namespace {

constexpr int batch = 32;
constexpr int fingerprint = 7;

struct Options {
    std::size_t keys = 80'000;
    std::size_t bodyBytes = 1000;
    std::size_t memoryBytes = 40'000'000;
};

std::size_t allocated()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::string keyOf(std::size_t number)
{
    return absl::StrCat("organisation-",
                        number % 1500,
                        "/service-",
                        number % 18,
                        "/",
                        absl::Hex(stableHash(absl::StrCat(number)), absl::kZeroPad16),
                        absl::Hex(stableHash(absl::StrCat(number, "b")), absl::kZeroPad16));
}

/** One shard over a store that takes every write and forgets it, with the time that each event takes. */
class Run
{
public:
    explicit Run(const Options &options) : options(options), shard(settingsOf(options))
    {
    }

    void fill()
    {
        this->take(this->shard.takeOver(this->now));
        for (std::size_t first = 0; first < this->options.keys; first += batch) {
            const std::size_t last = std::min(first + batch, this->options.keys);
            for (std::size_t key = first; key < last; ++key) {
                this->timed([&] { return this->shard.begin(key, {keyOf(key), fingerprint, false, "host", key + 1, absl::Seconds(60)}, this->now); });
            }
            this->now += absl::Milliseconds(100);
            this->timed([&] { return this->shard.tick(this->now); });
            for (std::size_t key = first; key < last; ++key) {
                JournalCompletion completion{keyOf(key), 1, {}, false};
                completion.result.set_body(std::string(this->options.bodyBytes, 'x'));
                this->timed([&] { return this->shard.finish(key, completion, this->now); });
            }
            this->now += absl::Milliseconds(100);
            this->timed([&] { return this->shard.tick(this->now); });
        }
    }

    void report(std::size_t before)
    {
        const std::size_t bytes = allocated() - before - this->durations.capacity() * sizeof(double);
        std::sort(this->durations.begin(), this->durations.end());
        const auto at = [this](double share) { return this->durations[static_cast<std::size_t>(share * static_cast<double>(this->durations.size() - 1))]; };
        std::printf(
            "{\"keys\": %zu, \"bytes\": %zu, \"estimatedBytes\": %zu, \"recentBytes\": %zu, \"eventMsP50\": %.4f, \"eventMsP99\": %.4f, \"eventMsLongest\": "
            "%.2f, "
            "\"snapshots\": %d, \"snapshotBytes\": %zu, \"snapshotParts\": %d}\n",
            this->shard.entryCount(),
            bytes,
            this->shard.memoryUsed(),
            this->shard.recentBytes(),
            at(0.5),
            at(0.99),
            this->durations.back(),
            this->snapshots,
            this->snapshotBytes,
            this->snapshotParts);
    }

private:
    static JournalShardSettings settingsOf(const Options &options)
    {
        JournalShardSettings settings;
        settings.host = "host";
        settings.memoryBytes = options.memoryBytes;
        settings.appendInterval = absl::Milliseconds(50);
        return settings;
    }

    template <typename Event>
    void timed(const Event &event)
    {
        const absl::Time started = absl::Now();
        JournalActions actions = event();
        this->durations.push_back(absl::ToDoubleMilliseconds(absl::Now() - started));
        this->take(std::move(actions));
    }

    void take(JournalActions actions)
    {
        for (const JournalAction &action : actions) {
            if (const auto *read = std::get_if<JournalReadObject>(&action)) {
                this->timed([&] { return this->shard.objectRead(read->ticket, this->read(read->key), this->now); });
            } else if (const auto *write = std::get_if<JournalWriteObject>(&action)) {
                this->note(*write);
                this->timed([&] { return this->shard.writeSettled(write->ticket, {WriteOutcome::Applied, 1}, this->now); });
            }
        }
    }

    void note(const JournalWriteObject &write)
    {
        if (write.key.find("snapshot") == std::string::npos) {
            return;
        }
        this->partBytes += write.value.size();
        ++this->parts;
        if (write.key.find("snapshot-parts") == std::string::npos) {
            this->root = write.value;
            this->snapshotBytes = std::exchange(this->partBytes, 0);
            this->snapshotParts = std::exchange(this->parts, 0);
            ++this->snapshots;
        }
    }

    JournalReadResult read(const std::string &key) const
    {
        const bool isRoot = key.find("snapshot") != std::string::npos && !this->root.empty();
        return {true, isRoot ? std::optional(StoredObject{key, this->root, 1}) : std::nullopt};
    }

    const Options options;
    JournalShard shard;
    absl::Time now = absl::FromUnixSeconds(1'700'000'000);
    std::vector<double> durations;
    std::string root;
    std::size_t partBytes = 0;
    int parts = 0;
    int snapshots = 0;
    std::size_t snapshotBytes = 0;
    int snapshotParts = 0;
};

/** What a table of whole records takes, without any result. */
double recordBytesPerKey(std::size_t keys)
{
    const std::size_t before = allocated();
    absl::flat_hash_map<std::string, wire::JournalEntry> entries;
    for (std::size_t key = 0; key < keys; ++key) {
        wire::JournalEntry entry;
        entry.set_key(keyOf(key));
        entry.set_fingerprint(fingerprint);
        entry.set_attempt(1);
        entry.set_deadline_us(1);
        entry.set_written_us(1);
        entry.set_finished(true);
        entry.set_host("host");
        entry.mutable_result()->set_status(200);
        entry.mutable_result()->set_content_type("application/json");
        entries.emplace(entry.key(), entry);
    }
    return static_cast<double>(allocated() - before) / static_cast<double>(keys);
}

} // namespace

} // namespace Bergamotramp

int main(int argc, char **argv)
{
    Bergamotramp::Options options;
    CLI::App app("Fills one journal shard; prints its memory per key, the longest event and the size of its snapshots as JSON.");
    app.add_option("--keys", options.keys, "keys to begin and finish")->check(CLI::PositiveNumber);
    app.add_option("--body-bytes", options.bodyBytes, "size of each result");
    app.add_option("--memory-bytes", options.memoryBytes, "limit of the shard's memory");
    CLI11_PARSE(app, argc, argv);
    std::printf("{\"recordBytesPerKey\": %.1f}\n", Bergamotramp::recordBytesPerKey(options.keys));
    const std::size_t before = Bergamotramp::allocated();
    Bergamotramp::Run run(options);
    run.fill();
    run.report(before);
    return 0;
}
