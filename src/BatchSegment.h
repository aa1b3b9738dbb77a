#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

#include "BatchRecords.h"
#include "StoreTypes.h"

namespace Bergamotramp {

/** How an attempt at an item ended. */
struct ItemEnd {
    enum class Kind {
        Completed,
        /** May succeed when attempted again. */
        Retryable,
        /** Can't succeed. */
        Failed,
        /** Given back without an attempt that counts. */
        Returned,
    };

    Kind kind = Kind::Completed;
    /** Answer or reason. */
    std::string text;

    bool operator==(const ItemEnd &) const = default;
};

/** A write of results followed by a conditional update of the progress. */
struct SegmentCommit {
    /** Output part and its JSONL text; empty when only the claim changes. */
    std::string part;
    std::string outputText;
    SegmentProgress progress;
    std::uint64_t expectedVersion = 0;

    bool operator==(const SegmentCommit &) const = default;
};

/** Whether a host may claim a segment, and the record that claims it. */
struct SegmentClaim {
    SegmentProgress progress;
    Precondition precondition;

    bool operator==(const SegmentClaim &) const = default;

    /** @p holderLives says whether the current holder may still be working. Returns nothing when there is nothing to claim. */
    static std::optional<SegmentClaim> plan(
        const std::optional<StoredObject> &stored, std::int64_t items, const std::string &host, std::uint64_t incarnation, bool holderLives);
    /** The record that closes a segment of a cancelled job; nothing when it is closed or finished already. */
    static std::optional<SegmentClaim> close(const std::optional<StoredObject> &stored, std::int64_t items);
};

/**
 * One claim of a segment by one host: which items to run, what to commit, and what the outcome of a commit means.
 * Only a commit that the store has accepted finishes an item.
 */
class BatchSegment
{
public:
    enum class State {
        Working,
        /** All items are finished in the store. */
        Finished,
        /** Another host has the segment. */
        Lost,
        Cancelled,
    };

    /** @p version is the version of the progress record that made the claim. */
    BatchSegment(std::vector<JobItem> items, SegmentProgress claimed, std::uint64_t version, std::int64_t maxAttempts);

    [[nodiscard]] State state() const;
    /** Index of the next item to run; nothing while all are running, finished or backing off. */
    std::optional<std::size_t> nextItem(absl::Time now);
    [[nodiscard]] const JobItem &item(std::size_t index) const;
    [[nodiscard]] std::size_t running() const;
    /** Items that could be started. */
    [[nodiscard]] std::size_t waiting() const;
    void itemEnded(std::size_t index, const ItemEnd &end, absl::Time now);

    /** Bytes of results that are not committed. */
    [[nodiscard]] std::size_t uncommittedBytes() const;
    [[nodiscard]] bool allEnded() const;
    /** The next commit, if there is something to commit and none is under way. @p release gives the claim back. */
    std::optional<SegmentCommit> nextCommit(bool release);
    /** Outcome of the conditional update of the commit under way; Unanswered and Conflict need readBack(). */
    void commitSettled(const WriteResult &result);
    /** The job was cancelled: nothing more is started or committed. */
    void markCancelled();
    /** What stands in the store after a commit whose outcome is not known. */
    void readBack(const std::optional<StoredObject> &stored);
    /** Whether readBack() is awaited. */
    [[nodiscard]] bool needsReadBack() const;

private:
    enum class ItemState {
        Waiting,
        Running,
        /** Ended here, not committed. */
        Ended,
        Committed,
    };
    struct Entry {
        JobItem item;
        ItemState state = ItemState::Waiting;
        std::int64_t attempts = 0;
        absl::Time notBefore = absl::InfinitePast();
        bool failed = false;
    };

    void finishEntry(Entry &entry, bool failed, const std::string &text);
    void applyCommit(std::uint64_t newVersion);
    void dropCommit();

    std::vector<Entry> entries;
    SegmentProgress committed;
    std::uint64_t version;
    std::int64_t maxAttempts;
    State current = State::Working;
    std::string pendingOutput;
    std::vector<std::size_t> pendingItems;
    std::optional<SegmentCommit> underWay;
    std::vector<std::size_t> underWayItems;
    bool readBackNeeded = false;
    std::uint64_t parts = 0;
    std::size_t runningCount = 0;
};

} // namespace Bergamotramp
