#include "JournalDeferredReplies.h"

#include <utility>

namespace Bergamotramp {

void JournalDeferredReplies::add(std::uint64_t sequence, JournalDeferredReply reply)
{
    this->replies.emplace(sequence, std::move(reply));
}

void JournalDeferredReplies::release(std::uint64_t sequence, const Condition &grantValid, JournalActions &actions)
{
    const auto last = this->replies.upper_bound(sequence);
    for (auto entry = this->replies.begin(); entry != last; ++entry) {
        JournalDeferredReply &deferred = entry->second;
        if (grantsRun(deferred.answer) && !grantValid(deferred, entry->first)) {
            replaceWithState(deferred.answer, wire::JOURNAL_STATE_UNAVAILABLE);
        }
        actions.emplace_back(JournalReply{deferred.requestId, std::move(deferred.answer)});
    }
    this->replies.erase(this->replies.begin(), last);
}

std::vector<std::uint64_t> JournalDeferredReplies::expire(absl::Time latestArrival, const Condition &neverStarted, JournalActions &actions)
{
    std::vector<std::uint64_t> abandoned;
    for (auto entry = this->replies.begin(); entry != this->replies.end();) {
        JournalDeferredReply &deferred = entry->second;
        if (deferred.arrived > latestArrival) {
            ++entry;
            continue;
        }
        const bool ownGrant = grantsRun(deferred.answer) && deferred.ownsRecord;
        const bool provenNeverStarted = ownGrant && neverStarted(deferred, entry->first);
        replaceWithState(deferred.answer, wire::JOURNAL_STATE_UNAVAILABLE);
        if (provenNeverStarted) {
            std::get<wire::JournalBegun>(deferred.answer).set_never_started(true);
        }
        if (ownGrant) {
            abandoned.push_back(entry->first);
        }
        actions.emplace_back(JournalReply{deferred.requestId, std::move(deferred.answer)});
        entry = this->replies.erase(entry);
    }
    return abandoned;
}

void JournalDeferredReplies::refuse(std::uint64_t sequence, JournalActions &actions)
{
    const auto [first, last] = this->replies.equal_range(sequence);
    for (auto entry = first; entry != last; ++entry) {
        replaceWithState(entry->second.answer, wire::JOURNAL_STATE_UNAVAILABLE);
        actions.emplace_back(JournalReply{entry->second.requestId, std::move(entry->second.answer)});
    }
    this->replies.erase(first, last);
}

void JournalDeferredReplies::refuseAll(wire::JournalState state, JournalActions &actions)
{
    for (auto &[sequence, deferred] : this->replies) {
        replaceWithState(deferred.answer, state);
        actions.emplace_back(JournalReply{deferred.requestId, std::move(deferred.answer)});
    }
    this->replies.clear();
}

void JournalDeferredReplies::clear()
{
    this->replies.clear();
}

} // namespace Bergamotramp
