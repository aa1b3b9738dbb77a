#include "JournalDeferred.h"

#include <utility>

namespace Bergamotramp {

void JournalDeferred::add(std::uint64_t sequence, JournalDeferredAnswer answer)
{
    this->answers.emplace(sequence, std::move(answer));
}

void JournalDeferred::release(std::uint64_t sequence, const Check &stands, JournalActions &actions)
{
    const auto last = this->answers.upper_bound(sequence);
    for (auto entry = this->answers.begin(); entry != last; ++entry) {
        JournalDeferredAnswer &deferred = entry->second;
        if (grantsRun(deferred.answer) && !stands(deferred, entry->first)) {
            setState(deferred.answer, wire::JOURNAL_STATE_UNAVAILABLE);
        }
        actions.emplace_back(JournalReply{deferred.request, std::move(deferred.answer)});
    }
    this->answers.erase(this->answers.begin(), last);
}

std::vector<std::uint64_t> JournalDeferred::expire(absl::Time limit, const Check &neverStarted, JournalActions &actions)
{
    std::vector<std::uint64_t> abandoned;
    for (auto entry = this->answers.begin(); entry != this->answers.end();) {
        JournalDeferredAnswer &deferred = entry->second;
        if (deferred.arrived > limit) {
            ++entry;
            continue;
        }
        const bool ownGrant = grantsRun(deferred.answer) && deferred.owner;
        const bool never = ownGrant && neverStarted(deferred, entry->first);
        setState(deferred.answer, wire::JOURNAL_STATE_UNAVAILABLE);
        if (never) {
            std::get<wire::JournalBegun>(deferred.answer).set_never_started(true);
        }
        if (ownGrant) {
            abandoned.push_back(entry->first);
        }
        actions.emplace_back(JournalReply{deferred.request, std::move(deferred.answer)});
        entry = this->answers.erase(entry);
    }
    return abandoned;
}

void JournalDeferred::refuse(std::uint64_t sequence, JournalActions &actions)
{
    const auto [first, last] = this->answers.equal_range(sequence);
    for (auto entry = first; entry != last; ++entry) {
        setState(entry->second.answer, wire::JOURNAL_STATE_UNAVAILABLE);
        actions.emplace_back(JournalReply{entry->second.request, std::move(entry->second.answer)});
    }
    this->answers.erase(first, last);
}

void JournalDeferred::refuseAll(wire::JournalState state, JournalActions &actions)
{
    for (auto &[sequence, deferred] : this->answers) {
        setState(deferred.answer, state);
        actions.emplace_back(JournalReply{deferred.request, std::move(deferred.answer)});
    }
    this->answers.clear();
}

void JournalDeferred::clear()
{
    this->answers.clear();
}

} // namespace Bergamotramp
