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

/** Outcome of an attempt to run an item. */
struct ItemOutcome {
    enum class Kind {
        Completed,
        /** Failed, but another attempt may succeed. */
        Retryable,
        /** Failed, and no attempt can succeed. */
        Failed,
        /** Not run to its end because an upstream, a host or a link failed; the item runs again after a delay and the attempt is not counted. */
        Interrupted,
        /** Not run, or cancelled; the item goes back to the queue and the attempt is not counted. */
        Requeued,
    };

    Kind kind = Kind::Completed;
    /** The response body, or the reason of the failure. */
    std::string text;

    bool operator==(const ItemOutcome &) const = default;
};

/** A write of results, followed by a conditional update of the progress record. */
struct SegmentCommit {
    /** Name of the output part and its JSONL text; both empty when only the claim changes. */
    std::string part;
    std::string outputText;
    SegmentProgress progress;
    std::uint64_t expectedVersion = 0;

    bool operator==(const SegmentCommit &) const = default;
};

/** A conditional update of the progress record that claims or closes a segment. */
struct SegmentClaim {
    SegmentProgress progress;
    Precondition precondition;

    bool operator==(const SegmentClaim &) const = default;

    /**
     * The update by which @p host claims the segment. Returns nothing when the segment is finished, closed, or claimed by a holder that may
     * still be working (@p holderAlive).
     */
    static std::optional<SegmentClaim> plan(
        const std::optional<StoredObject> &stored, std::int64_t items, const std::string &host, std::uint64_t incarnation, bool holderAlive);
    /** The update that closes a segment of a cancelled job; nothing when it is closed or finished already. */
    static std::optional<SegmentClaim> close(const std::optional<StoredObject> &stored, std::int64_t items);
};

/**
 * One claim of a segment by one host. Decides which items to run and what to commit, and evaluates the outcome of each commit.
 * An item is finished only when the store has accepted the commit with its result.
 */
class BatchSegment
{
public:
    enum class State {
        Working,
        /** All items are finished in the store. */
        Finished,
        /** This host no longer has the claim: it has released it, or another host has claimed the segment. */
        Lost,
        Cancelled,
    };

    /** @p claimed is the progress record that the claim has written, and @p version is its version in the store. */
    BatchSegment(std::vector<SegmentItem> items, SegmentProgress claimed, std::uint64_t version, std::int64_t maxAttempts);

    [[nodiscard]] State state() const;
    /** Marks the next item as running and returns its index; nothing while all are running, finished or waiting for a retry. */
    std::optional<std::size_t> nextItem(absl::Time now);
    [[nodiscard]] const SegmentItem &item(std::size_t index) const;
    [[nodiscard]] std::size_t runningItems() const;
    /** Number of items that are not running and have no result, also those that wait for a retry. */
    [[nodiscard]] std::size_t waitingItems() const;
    void itemEnded(std::size_t index, const ItemOutcome &outcome, absl::Time now);

    /** Bytes of results that are not part of a commit yet. */
    [[nodiscard]] std::size_t uncommittedBytes() const;
    [[nodiscard]] bool allItemsEnded() const;
    /** The next commit, if there is something to commit and none is in flight. @p release also gives up the claim. */
    std::optional<SegmentCommit> nextCommit(bool release);
    /** Reports the outcome of the commit in flight. After Conflict and Unanswered, applyReadBack() has to follow. */
    void commitSettled(const WriteResult &result);
    /** Called when the job is cancelled: no more items are started and no more results are committed. */
    void markCancelled();
    /** Resolves a commit whose outcome is unknown from the progress record that was read from the store. */
    void applyReadBack(const std::optional<StoredObject> &stored);
    /** Whether the progress record has to be read for applyReadBack(). */
    [[nodiscard]] bool needsReadBack() const;

private:
    enum class ItemState {
        Waiting,
        Running,
        /** Has a result that is not committed. */
        Ended,
        Committed,
    };
    struct Entry {
        SegmentItem item;
        ItemState state = ItemState::Waiting;
        std::int64_t attempts = 0;
        std::int64_t interruptions = 0;
        absl::Time notBefore = absl::InfinitePast();
        bool failed = false;
    };

    void finishEntry(Entry &entry, bool failed, const std::string &text);
    void applyCommit(std::uint64_t newVersion);
    void revertCommit();

    std::vector<Entry> entries;
    SegmentProgress committed;
    std::uint64_t version;
    std::int64_t maxAttempts;
    State currentState = State::Working;
    std::string uncommittedOutput;
    std::vector<std::size_t> uncommittedItems;
    std::optional<SegmentCommit> commitInFlight;
    std::vector<std::size_t> inFlightItems;
    bool readBackNeeded = false;
    std::uint64_t partCount = 0;
    std::size_t runningCount = 0;
};

} // namespace Bergamotramp
