#include "JournalSlots.h"

namespace Bergamotramp {

std::size_t JournalSlots::Hash::operator()(std::uint32_t slot) const
{
    return (*this)((*this->slots)[slot].digest);
}

std::size_t JournalSlots::Hash::operator()(absl::uint128 digest) const
{
    return absl::Uint128Low64(digest);
}

bool JournalSlots::Equal::operator()(std::uint32_t left, std::uint32_t right) const
{
    return left == right;
}

bool JournalSlots::Equal::operator()(std::uint32_t slot, absl::uint128 digest) const
{
    return (*this->slots)[slot].digest == digest;
}

bool JournalSlots::Equal::operator()(absl::uint128 digest, std::uint32_t slot) const
{
    return (*this)(slot, digest);
}

JournalSlots::JournalSlots() : usedSlots(0, Hash{&this->slots}, Equal{&this->slots})
{
}

const JournalKeyState *JournalSlots::find(absl::uint128 digest) const
{
    const auto found = this->usedSlots.find(digest);
    return found == this->usedSlots.end() ? nullptr : &this->slots[*found];
}

void JournalSlots::put(const JournalKeyState &state)
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

void JournalSlots::erase(absl::uint128 digest)
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

std::size_t JournalSlots::slotCount() const
{
    return this->slots.size();
}

const JournalKeyState *JournalSlots::at(std::size_t slot) const
{
    const JournalKeyState &state = this->slots[slot];
    return state.attempt == 0 ? nullptr : &state;
}

std::size_t JournalSlots::size() const
{
    return this->usedSlots.size();
}

void JournalSlots::clear()
{
    this->usedSlots.clear();
    this->slots.clear();
    this->freeSlots.clear();
}

} // namespace Bergamotramp
