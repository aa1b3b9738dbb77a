#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "ObjectStore.h"

namespace Bergamotramp {

/** Copy of all store objects of one kind with a history of the latest changes, from which a relay serves its followers. */
class ObjectMirror
{
public:
    /** Length of the history. A follower that is further behind has to list the kind again. */
    static constexpr std::size_t maxChanges = 600;

    /** Replaces the objects with a complete list, and clears the history. Ignores a list older than the newest known revision. */
    void apply(const ListReply &list);
    /** Applies changes after the newest known revision. The reply may repeat changes that are already known. */
    void apply(const WatchReply &changes);

    /** Whether a list has been applied. */
    [[nodiscard]] bool isInitialized() const;
    [[nodiscard]] std::uint64_t revision() const;
    /** The complete list; StoreResult::Unavailable when the mirror has not reached @p revision. */
    [[nodiscard]] ListReply list(std::uint64_t revision) const;
    /** The changes after @p revision, empty when there are none; HistoryExpired when the history no longer reaches back to it. */
    [[nodiscard]] WatchReply changesSince(std::uint64_t revision) const;

private:
    struct Change {
        /** Revision of the watch reply with the change. The revision in a removed object can be older. */
        std::uint64_t revision = 0;
        ObjectChange change;
    };

    std::map<std::string, ObjectRecord> objects;
    std::deque<Change> changes;
    /** The history is complete after this revision. */
    std::uint64_t historyStart = 0;
    std::uint64_t newestRevision = 0;
};

} // namespace Bergamotramp
