#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "JobTypes.h"

namespace Bergamotramp {

/** How a run of an item ended. */
enum class RunEnd {
    /** The whole output is there. */
    Completed,
    /** The upstream says that the item can never be done. */
    Impossible,
    /** The upstream ran the item and failed. */
    Failed,
    /** Cut off or refused; it goes on from the last event. */
    Interrupted,
};

/** One job at the host that runs it: its items, their runs, and the results with their fixed positions. */
class Job
{
public:
    Job(JobRecord header, std::vector<BatchItem> items);

    [[nodiscard]] const JobRecord &header() const;
    [[nodiscard]] const BatchItem &item(std::size_t index) const;
    [[nodiscard]] const BatchItem *findItem(std::string_view id) const;

    /** An item that is due for a run, or nothing. Items that were interrupted come before new ones. */
    [[nodiscard]] std::optional<std::size_t> nextItem(absl::Time now) const;
    void started(std::size_t index);
    /** The last event that has been received of an item. */
    [[nodiscard]] std::optional<std::uint64_t> lastEvent(std::size_t index) const;
    /** Takes one event; false when it doesn't follow the last one, so that the run has to end. */
    bool event(std::size_t index, std::optional<std::uint64_t> id, std::string_view data);
    /** Takes the end of a run. @p maxFailures failed runs give the item up. */
    void ended(std::size_t index, RunEnd end, int maxFailures, absl::Time now);
    /** Gives up every item without a result. */
    void giveUpRest();

    /** Results that wait to be stored, from the first on, up to @p maxBytes of output but at least one. */
    [[nodiscard]] std::vector<JobResult> unstored(std::size_t maxBytes) const;
    [[nodiscard]] bool hasUnstored() const;
    /** Takes the results of the next object of the chain, whoever wrote it. */
    void stored(const std::vector<JobResult> &results);
    /** Number of the next object of the chain. */
    [[nodiscard]] std::uint64_t nextObject() const;

    /** Stored results from a position on, up to @p maxBytes of output but at least one. */
    [[nodiscard]] JobPage page(std::size_t position, std::size_t maxBytes) const;
    [[nodiscard]] std::size_t storedResults() const;
    [[nodiscard]] std::int64_t tokensFinished() const;
    /** Whether every item has a result, stored or not. */
    [[nodiscard]] bool allSettled() const;
    /** Whether every item has a stored result. */
    [[nodiscard]] bool complete() const;
    /** Items without a result that do not run. */
    [[nodiscard]] std::size_t waiting() const;

private:
    struct ItemState {
        bool running = false;
        /** Has a result, stored or not. */
        bool settled = false;
        int failures = 0;
        int interruptions = 0;
        std::optional<std::uint64_t> lastEvent;
        bool hasOutput = false;
        std::string output;
        absl::Time notBefore = absl::InfinitePast();
    };

    void settle(std::size_t index, bool completed);

    JobRecord jobHeader;
    std::vector<BatchItem> items;
    std::vector<ItemState> states;
    absl::flat_hash_map<std::string, std::size_t> indexes;
    std::vector<JobResult> storedList;
    std::vector<JobResult> unstoredList;
    std::uint64_t objects = 0;
    std::int64_t finishedTokens = 0;
};

} // namespace Bergamotramp
