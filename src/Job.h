#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "JobTypes.h"
#include "StreamOrigins.h"

namespace Bergamotramp {

/** Outcome of one run of an item. */
enum class RunOutcome {
    /** The upstream returned the whole output. */
    Completed,
    /** The upstream reports that no run of this item can succeed. */
    FailedPermanently,
    /** The upstream ran the item and failed; counts towards the failure limit. */
    Failed,
    /** The run was cut off or refused. It does not count as a failure; the next run resumes after the last event received. */
    Interrupted,
};

/**
 * State of one job on the host that runs it: the items, their runs and the results.
 * Results are stored as a chain of numbered objects. Each number is created only once, so a stored result never changes its position, even
 * while two hosts run the job.
 */
class Job
{
public:
    Job(JobRecord header, std::vector<BatchItem> items);

    [[nodiscard]] const JobRecord &header() const;
    [[nodiscard]] const BatchItem &item(std::size_t index) const;
    [[nodiscard]] const BatchItem *findItem(std::string_view id) const;

    using ItemFilter = std::function<bool(std::size_t index)>;
    /** Index of an item to start now among those that @p mayStart accepts, or nothing. Items with a partial output come before new ones. */
    [[nodiscard]] std::optional<std::size_t> nextItem(
        absl::Time now, const ItemFilter &mayStart = [](std::size_t) { return true; }) const;
    /** @p origin is what writes the output, if the item has none yet. */
    void markStarted(std::size_t index, const StreamOrigin &origin = {});
    /** What wrote the partial output of an item. */
    [[nodiscard]] const StreamOrigin &outputOrigin(std::size_t index) const;
    /**
     * Discards the partial outputs for which @p cannotContinue returns true, so that their items begin anew; returns their number. It
     * gets the origin of an output and the number of runs since its last event, all of which were interrupted.
     */
    std::size_t discardOutputs(const std::function<bool(const StreamOrigin &, int interruptions)> &cannotContinue);
    /** Id of the last event received for an item; the next run resumes after it. */
    [[nodiscard]] std::optional<std::uint64_t> lastEvent(std::size_t index) const;
    /** Size limit of an item's output. The store could not hold a larger one. */
    static constexpr std::size_t maxOutputBytes = 512 * 1024;
    /**
     * Appends the data of an event to the item's output and ignores an event that was received before. Returns false when the event has no id
     * or doesn't follow the last one, or when the output is too large; the caller then has to end the run. A too large output is discarded.
     */
    bool appendEvent(std::size_t index, std::optional<std::uint64_t> id, std::string_view data);
    /** Records the end of a run. After @p maxFailures failed runs the item gets a failed result. */
    void finishRun(std::size_t index, RunOutcome outcome, int maxFailures, absl::Time now);
    /** Adds a failed result for every item without a result. */
    void failRemainingItems();

    /**
     * Content of the next object in the chain: the oldest results that are not stored yet, up to @p maxBytes of output but at least
     * one, and the failure counts that are not stored yet.
     */
    [[nodiscard]] ResultObject unstoredState(std::size_t maxBytes) const;
    /** Whether there are results or failure counts that are not stored yet. */
    [[nodiscard]] bool hasUnstoredState() const;
    /** Applies the next object in the chain, whichever host wrote it. */
    void addStoredObject(const ResultObject &object);
    /** Number of the next object in the chain of result objects. */
    [[nodiscard]] std::uint64_t nextResultObject() const;

    /** Stored results starting at @p position, up to @p maxBytes of output but at least one. */
    [[nodiscard]] JobPage page(std::size_t position, std::size_t maxBytes) const;
    [[nodiscard]] std::size_t storedResultCount() const;
    [[nodiscard]] std::int64_t tokensFinished() const;
    /** Whether every item has a result, stored or not. */
    [[nodiscard]] bool allItemsHaveResult() const;
    /** Whether every item has a stored result. */
    [[nodiscard]] bool allResultsStored() const;
    /** Number of items that have no result and are not running. */
    [[nodiscard]] std::size_t waitingItems() const;

private:
    struct ItemState {
        bool running = false;
        /** Whether the item has a result, stored or not. */
        bool hasResult = false;
        int failures = 0;
        int storedFailures = 0;
        int interruptions = 0;
        std::optional<std::uint64_t> lastEvent;
        bool hasOutput = false;
        StreamOrigin origin;
        std::string output;
        absl::Time notBefore = absl::InfinitePast();
    };

    void addResult(std::size_t index, bool completed);
    static void discardOutput(ItemState &state);
    [[nodiscard]] static bool hasUnstoredFailures(const ItemState &state);

    JobRecord jobHeader;
    std::vector<BatchItem> items;
    std::vector<ItemState> states;
    absl::flat_hash_map<std::string, std::size_t> indexById;
    std::vector<JobResult> storedList;
    std::vector<JobResult> unstoredList;
    std::uint64_t resultObjects = 0;
    std::int64_t finishedTokens = 0;
};

} // namespace Bergamotramp
