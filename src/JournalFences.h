#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "bergamotramp.pb.h"

namespace Bergamotramp {

/**
 * Which openings still have to stand. An opening makes the next append of the holder before it fail, however long that one was paused. It is
 * needed until that holder is known to append no more: it closed its holding, or the same process opened a later one.
 */
class JournalFences
{
public:
    /** The object @p number is an opening by @p writer. */
    void opened(std::uint64_t number, const wire::HostId &writer);
    /** @p writer ends its holding and appends no more. */
    void closed(const wire::HostId &writer);
    [[nodiscard]] bool needed(std::uint64_t number) const;
    [[nodiscard]] std::size_t size() const;
    /** Openings that are needed no more and were not forgotten. */
    [[nodiscard]] const std::vector<std::uint64_t> &dropped() const;
    void forget(std::uint64_t number);
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

    Holder current;
    bool isOpen = false;
    std::vector<Fence> fences;
    std::vector<std::uint64_t> droppedNumbers;
};

} // namespace Bergamotramp
