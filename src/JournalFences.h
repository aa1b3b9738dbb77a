#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "bergamotramp.pb.h"

namespace Bergamotramp {

/**
 * Tracks the openings (see JournalShard) that must not be deleted yet. An opening makes the next append of the previous holder fail, however long that
 * holder was paused. It is needed until that holder is known to append no more: it wrote a closing object, or the same process wrote a later opening.
 */
class JournalFences
{
public:
    /** Records that the object @p number is an opening by @p writer. */
    void noteOpening(std::uint64_t number, const wire::HostId &writer);
    /** Records that @p writer released the shard and appends no more. */
    void noteClosing(const wire::HostId &writer);
    [[nodiscard]] bool isNeeded(std::uint64_t number) const;
    [[nodiscard]] std::size_t size() const;
    /** Openings that are no longer needed and were not passed to removeObsolete() yet. */
    [[nodiscard]] const std::vector<std::uint64_t> &obsolete() const;
    void removeObsolete(std::uint64_t number);
    void clear();
    void load(const wire::JournalSnapshot &root);
    void save(wire::JournalSnapshot &root) const;

private:
    struct Holder {
        std::string name;
        std::uint64_t incarnation = 0;

        bool operator==(const Holder &) const = default;
    };
    struct Fence {
        std::uint64_t number = 0;
        Holder holder;
    };

    static Holder holderOf(const wire::HostId &writer);

    Holder lastHolder;
    bool lastHolderMayAppend = false;
    std::vector<Fence> fences;
    std::vector<std::uint64_t> obsoleteNumbers;
};

} // namespace Bergamotramp
