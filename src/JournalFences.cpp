#include "JournalFences.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

JournalFences::Holder JournalFences::holderOf(const wire::HostId &writer)
{
    return {writer.name(), writer.incarnation()};
}

void JournalFences::opened(std::uint64_t number, const wire::HostId &writer)
{
    Holder holder = JournalFences::holderOf(writer);
    const auto stale = [&holder](const Fence &fence) { return fence.holder == holder; };
    for (const Fence &fence : this->fences) {
        if (stale(fence)) {
            this->droppedNumbers.push_back(fence.number);
        }
    }
    std::erase_if(this->fences, stale);
    if (this->isOpen && this->current != holder) {
        this->fences.push_back({number, this->current});
    }
    this->current = std::move(holder);
    this->isOpen = true;
}

void JournalFences::closed(const wire::HostId &writer)
{
    this->isOpen = this->isOpen && this->current != JournalFences::holderOf(writer);
}

bool JournalFences::needed(std::uint64_t number) const
{
    return std::any_of(this->fences.begin(), this->fences.end(), [number](const Fence &fence) { return fence.number == number; });
}

std::size_t JournalFences::size() const
{
    return this->fences.size();
}

const std::vector<std::uint64_t> &JournalFences::dropped() const
{
    return this->droppedNumbers;
}

void JournalFences::forget(std::uint64_t number)
{
    std::erase(this->droppedNumbers, number);
}

void JournalFences::clear()
{
    this->current = {};
    this->isOpen = false;
    this->fences.clear();
    this->droppedNumbers.clear();
}

void JournalFences::load(const wire::JournalSnapshot &root)
{
    this->current = JournalFences::holderOf(root.holder());
    this->isOpen = root.open();
    this->fences.clear();
    this->droppedNumbers.clear();
    for (const wire::JournalFence &fence : root.fences()) {
        this->fences.push_back({fence.number(), JournalFences::holderOf(fence.holder())});
    }
}

void JournalFences::save(wire::JournalSnapshot &root) const
{
    const auto write = [](const Holder &holder, wire::HostId &id) {
        id.set_name(holder.name);
        id.set_incarnation(holder.incarnation);
    };
    write(this->current, *root.mutable_holder());
    root.set_open(this->isOpen);
    for (const Fence &fence : this->fences) {
        wire::JournalFence &saved = *root.add_fences();
        saved.set_number(fence.number);
        write(fence.holder, *saved.mutable_holder());
    }
}

} // namespace Bergamotramp
