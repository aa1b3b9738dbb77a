#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "ObjectStore.h"

namespace Bergamotramp {

/** The objects of one kind as last seen, with the latest changes, from which other hosts can follow the kind. */
class ObjectMirror
{
public:
    /** Changes that are kept; who is further behind lists the kind again. */
    static constexpr std::size_t maxChanges = 600;

    /** Takes a complete list. One that is older than what is known is ignored. */
    void take(const ListReply &list);
    /** Takes the changes that follow the known revision, or a part of them and more. */
    void take(const WatchReply &changes);

    /** Whether anything is known. */
    [[nodiscard]] bool known() const;
    [[nodiscard]] std::uint64_t revision() const;
    /** The complete list if it is at least at @p revision, else Unavailable. */
    [[nodiscard]] ListReply list(std::uint64_t revision) const;
    /** The changes after @p revision, which are none if it is the newest; HistoryGone when they are no longer known. */
    [[nodiscard]] WatchReply since(std::uint64_t revision) const;

private:
    struct Change {
        /** Revision of the answer that brought the change; that of a removed object may be older. */
        std::uint64_t revision = 0;
        ObjectChange change;
    };

    std::map<std::string, ObjectRecord> objects;
    std::deque<Change> changes;
    /** Changes after this revision are known. */
    std::uint64_t historyFrom = 0;
    std::uint64_t newest = 0;
};

} // namespace Bergamotramp
