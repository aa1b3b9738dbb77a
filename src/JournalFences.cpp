#include "JournalFences.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

JournalFences::Holder JournalFences::holderOf(const wire::HostId &writer)
{
    return {writer.name(), writer.incarnation()};
}

void JournalFences::noteOpening(std::uint64_t number, const wire::HostId &writer)
{
    Holder holder = JournalFences::holderOf(writer);
    const auto stale = [&holder](const Fence &fence) { return fence.holder == holder; };
    for (const Fence &fence : this->fences) {
        if (stale(fence)) {
            this->obsoleteNumbers.push_back(fence.number);
        }
    }
    std::erase_if(this->fences, stale);
    if (this->lastHolderMayAppend && this->lastHolder != holder) {
        this->fences.push_back({number, this->lastHolder});
    }
    this->lastHolder = std::move(holder);
    this->lastHolderMayAppend = true;
}

void JournalFences::noteClosing(const wire::HostId &writer)
{
    this->lastHolderMayAppend = this->lastHolderMayAppend && this->lastHolder != JournalFences::holderOf(writer);
}

bool JournalFences::isNeeded(std::uint64_t number) const
{
    return std::any_of(this->fences.begin(), this->fences.end(), [number](const Fence &fence) { return fence.number == number; });
}

std::size_t JournalFences::size() const
{
    return this->fences.size();
}

const std::vector<std::uint64_t> &JournalFences::obsolete() const
{
    return this->obsoleteNumbers;
}

void JournalFences::removeObsolete(std::uint64_t number)
{
    std::erase(this->obsoleteNumbers, number);
}

void JournalFences::clear()
{
    this->lastHolder = {};
    this->lastHolderMayAppend = false;
    this->fences.clear();
    this->obsoleteNumbers.clear();
}

void JournalFences::load(const wire::JournalSnapshot &root)
{
    this->lastHolder = JournalFences::holderOf(root.holder());
    this->lastHolderMayAppend = root.open();
    this->fences.clear();
    this->obsoleteNumbers.clear();
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
    write(this->lastHolder, *root.mutable_holder());
    root.set_open(this->lastHolderMayAppend);
    for (const Fence &fence : this->fences) {
        wire::JournalFence &saved = *root.add_fences();
        saved.set_number(fence.number);
        write(fence.holder, *saved.mutable_holder());
    }
}

} // namespace Bergamotramp
