#include "JournalKeyTable.h"

namespace Bergamotramp {

std::size_t JournalKeyTable::Hash::operator()(std::uint32_t slot) const
{
    return (*this)((*this->slots)[slot].digest);
}

std::size_t JournalKeyTable::Hash::operator()(absl::uint128 digest) const
{
    return absl::Uint128Low64(digest);
}

bool JournalKeyTable::Equal::operator()(std::uint32_t left, std::uint32_t right) const
{
    return left == right;
}

bool JournalKeyTable::Equal::operator()(std::uint32_t slot, absl::uint128 digest) const
{
    return (*this->slots)[slot].digest == digest;
}

bool JournalKeyTable::Equal::operator()(absl::uint128 digest, std::uint32_t slot) const
{
    return (*this)(slot, digest);
}

JournalKeyTable::JournalKeyTable() : usedSlots(0, Hash{&this->slots}, Equal{&this->slots})
{
}

const JournalKeyState *JournalKeyTable::find(absl::uint128 digest) const
{
    const auto found = this->usedSlots.find(digest);
    return found == this->usedSlots.end() ? nullptr : &this->slots[*found];
}

void JournalKeyTable::put(const JournalKeyState &state)
{
    const auto found = this->usedSlots.find(state.digest);
    if (found != this->usedSlots.end()) {
        this->slots[*found] = state;
        return;
    }
    std::uint32_t slot = static_cast<std::uint32_t>(this->slots.size());
    if (this->freeSlots.empty()) {
        this->slots.push_back(state);
    } else {
        slot = this->freeSlots.back();
        this->freeSlots.pop_back();
        this->slots[slot] = state;
    }
    this->usedSlots.insert(slot);
}

void JournalKeyTable::erase(absl::uint128 digest)
{
    const auto found = this->usedSlots.find(digest);
    if (found == this->usedSlots.end()) {
        return;
    }
    const std::uint32_t slot = *found;
    this->usedSlots.erase(found);
    this->slots[slot] = JournalKeyState{};
    this->freeSlots.push_back(slot);
}

std::size_t JournalKeyTable::slotCount() const
{
    return this->slots.size();
}

const JournalKeyState *JournalKeyTable::at(std::size_t slot) const
{
    const JournalKeyState &state = this->slots[slot];
    return state.attempt == 0 ? nullptr : &state;
}

std::size_t JournalKeyTable::size() const
{
    return this->usedSlots.size();
}

void JournalKeyTable::clear()
{
    this->usedSlots.clear();
    this->slots.clear();
    this->freeSlots.clear();
}

} // namespace Bergamotramp
