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

constexpr int batchSize = 32;
constexpr int fingerprint = 7;

struct Options {
    std::size_t keys = 80'000;
    std::size_t bodyBytes = 1000;
    std::size_t memoryBytes = 40'000'000;
};

std::size_t allocatedBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::string makeKey(std::size_t number)
{
    return absl::StrCat("organisation-",
                        number % 1500,
                        "/service-",
                        number % 18,
                        "/",
                        absl::Hex(stableHash(absl::StrCat(number)), absl::kZeroPad16),
                        absl::Hex(stableHash(absl::StrCat(number, "b")), absl::kZeroPad16));
}

/**
 * Measures the processing time of each event of one journal shard. The simulated store confirms every write and keeps
 * only the latest snapshot object; everything else is discarded.
 */
class ShardBenchmark
{
public:
    explicit ShardBenchmark(const Options &options) : options(options), shard(makeSettings(options))
    {
    }

    void fill()
    {
        this->performActions(this->shard.takeOver(this->now));
        for (std::size_t first = 0; first < this->options.keys; first += batchSize) {
            const std::size_t last = std::min(first + batchSize, this->options.keys);
            for (std::size_t key = first; key < last; ++key) {
                this->measureEvent([&] { return this->shard.begin(key, {makeKey(key), fingerprint, false, "host", key + 1, absl::Seconds(60)}, this->now); });
            }
            this->now += absl::Milliseconds(100);
            this->measureEvent([&] { return this->shard.tick(this->now); });
            for (std::size_t key = first; key < last; ++key) {
                JournalCompletion completion{makeKey(key), 1, {}, false};
                completion.result.set_body(std::string(this->options.bodyBytes, 'x'));
                this->measureEvent([&] { return this->shard.finish(key, completion, this->now); });
            }
            this->now += absl::Milliseconds(100);
            this->measureEvent([&] { return this->shard.tick(this->now); });
        }
    }

    void report(std::size_t baselineBytes)
    {
        const std::size_t bytes = allocatedBytes() - baselineBytes - this->eventDurationsMs.capacity() * sizeof(double);
        std::sort(this->eventDurationsMs.begin(), this->eventDurationsMs.end());
        const auto percentile = [this](double share) {
            return this->eventDurationsMs[static_cast<std::size_t>(share * static_cast<double>(this->eventDurationsMs.size() - 1))];
        };
        std::printf(
            "{\"keys\": %zu, \"bytes\": %zu, \"estimatedBytes\": %zu, \"recentBytes\": %zu, \"eventMsP50\": %.4f, \"eventMsP99\": %.4f, \"eventMsLongest\": "
            "%.2f, "
            "\"snapshots\": %d, \"snapshotBytes\": %zu, \"snapshotParts\": %d}\n",
            this->shard.keyCount(),
            bytes,
            this->shard.memoryUsed(),
            this->shard.resultCacheBytes(),
            percentile(0.5),
            percentile(0.99),
            this->eventDurationsMs.back(),
            this->snapshots,
            this->snapshotBytes,
            this->snapshotParts);
    }

private:
    static JournalShardSettings makeSettings(const Options &options)
    {
        JournalShardSettings settings;
        settings.host = "host";
        settings.memoryBytes = options.memoryBytes;
        settings.appendInterval = absl::Milliseconds(50);
        return settings;
    }

    template <typename Event>
    void measureEvent(const Event &event)
    {
        const absl::Time started = absl::Now();
        JournalActions actions = event();
        this->eventDurationsMs.push_back(absl::ToDoubleMilliseconds(absl::Now() - started));
        this->performActions(std::move(actions));
    }

    void performActions(JournalActions actions)
    {
        for (const JournalAction &action : actions) {
            if (const auto *read = std::get_if<JournalReadObject>(&action)) {
                this->measureEvent([&] { return this->shard.handleReadResult(read->ticket, this->read(read->key), this->now); });
            } else if (const auto *write = std::get_if<JournalWriteObject>(&action)) {
                this->recordSnapshotWrite(*write);
                this->measureEvent([&] { return this->shard.handleWriteResult(write->ticket, {WriteOutcome::Applied, 1}, this->now); });
            }
        }
    }

    void recordSnapshotWrite(const JournalWriteObject &write)
    {
        if (write.key.find("snapshot") == std::string::npos) {
            return;
        }
        this->unfinishedSnapshotBytes += write.value.size();
        ++this->unfinishedSnapshotParts;
        if (write.key.find("snapshot-parts") == std::string::npos) {
            this->snapshotRoot = write.value;
            this->snapshotBytes = std::exchange(this->unfinishedSnapshotBytes, 0);
            this->snapshotParts = std::exchange(this->unfinishedSnapshotParts, 0);
            ++this->snapshots;
        }
    }

    JournalReadResult read(const std::string &key) const
    {
        const bool isSnapshotRoot = key.find("snapshot") != std::string::npos && !this->snapshotRoot.empty();
        return {true, isSnapshotRoot ? std::optional(StoredObject{key, this->snapshotRoot, 1}) : std::nullopt};
    }

    const Options options;
    JournalShard shard;
    absl::Time now = absl::FromUnixSeconds(1'700'000'000);
    std::vector<double> eventDurationsMs;
    std::string snapshotRoot;
    std::size_t unfinishedSnapshotBytes = 0;
    int unfinishedSnapshotParts = 0;
    int snapshots = 0;
    std::size_t snapshotBytes = 0;
    int snapshotParts = 0;
};

/** Memory per key of a hash table of complete journal entries without result bodies, for comparison with the index. */
double recordBytesPerKey(std::size_t keys)
{
    const std::size_t baselineBytes = allocatedBytes();
    absl::flat_hash_map<std::string, wire::JournalEntry> entries;
    for (std::size_t key = 0; key < keys; ++key) {
        wire::JournalEntry entry;
        entry.set_key(makeKey(key));
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
    return static_cast<double>(allocatedBytes() - baselineBytes) / static_cast<double>(keys);
}

} // namespace

} // namespace Bergamotramp

int main(int argc, char **argv)
{
    Bergamotramp::Options options;
    CLI::App app("Fills one journal shard and prints its memory use, event latencies and snapshot sizes as JSON.");
    app.add_option("--keys", options.keys, "number of keys to begin and finish")->check(CLI::PositiveNumber);
    app.add_option("--body-bytes", options.bodyBytes, "size of each result body in bytes");
    app.add_option("--memory-bytes", options.memoryBytes, "memory limit of the shard in bytes");
    CLI11_PARSE(app, argc, argv);
    std::printf("{\"recordBytesPerKey\": %.1f}\n", Bergamotramp::recordBytesPerKey(options.keys));
    const std::size_t baselineBytes = Bergamotramp::allocatedBytes();
    Bergamotramp::ShardBenchmark benchmark(options);
    benchmark.fill();
    benchmark.report(baselineBytes);
    return 0;
}
