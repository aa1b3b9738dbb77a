#include "JournalIndex.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

/** A slot and its entry in the hash table, which is between 7/16 and 7/8 full. */
constexpr std::size_t bytesPerKey = sizeof(JournalKeyState) + 11;

// Attempt numbers go on when a key was freed, so that a repeated "not run" of an old attempt can't free a newer one.
wire::JournalEntry intentRecord(const JournalIntent &intent, const JournalKeyState *before, absl::Time now)
{
    wire::JournalEntry record;
    record.set_key(intent.key);
    record.set_fingerprint(intent.fingerprint);
    record.set_idempotent(intent.idempotent);
    record.set_attempt(before == nullptr ? 1 : before->attempt + 1);
    record.set_deadline_us(absl::ToUnixMicros(now + intent.timeLeft));
    record.set_host(intent.host);
    record.set_request(intent.callNumber);
    record.set_written_us(absl::ToUnixMicros(now));
    record.set_earlier_attempts(before != nullptr && !before->notRun);
    return record;
}

// If an earlier attempt may have run, the key isn't freed. Its intent only expires.
wire::JournalEntry notRunRecord(wire::JournalEntry record, absl::Time now)
{
    record.set_written_us(absl::ToUnixMicros(now));
    if (record.earlier_attempts()) {
        record.set_deadline_us(std::min(record.deadline_us(), absl::ToUnixMicros(now)));
    } else {
        record.set_not_run(true);
    }
    return record;
}

// The intent expires at once, so that the next begin() may start the next attempt.
wire::JournalEntry endedWithoutResultRecord(wire::JournalEntry record, absl::Time now)
{
    record.set_written_us(absl::ToUnixMicros(now));
    record.set_deadline_us(std::min(record.deadline_us(), absl::ToUnixMicros(now)));
    return record;
}

wire::JournalEntry resultRecord(wire::JournalEntry record, const JournalCompletion &completion, absl::Time now)
{
    record.set_written_us(absl::ToUnixMicros(now));
    record.set_finished(true);
    record.set_not_run(false);
    record.clear_call_hash();
    *record.mutable_result() = completion.result;
    return record;
}

// A withdrawn call has an entry of its own. The state of the caller's key has room for one call only, and a begin that was delayed may arrive
// after the calls that followed it were withdrawn as well. Callers' keys contain no line break, because they come from a header.
std::string withdrawnCallKey(const std::string &key, std::uint64_t callHash)
{
    return absl::StrCat(key, "\n", absl::Hex(callHash));
}

wire::JournalEntry withdrawnCallRecord(const std::string &callKey, absl::Time kept)
{
    wire::JournalEntry record;
    record.set_key(callKey);
    record.set_attempt(1);
    record.set_written_us(absl::ToUnixMicros(kept));
    record.set_not_run(true);
    return record;
}

// An attempt whose call was withdrawn has not run. If an earlier attempt may have run, the key isn't freed; the attempt only ends.
std::optional<JournalKeyState> applyWithdrawal(const JournalIndex &index, const std::string &key, const JournalKeyState *entry, absl::Time now)
{
    if (entry == nullptr) {
        return std::nullopt;
    }
    JournalKeyState state = *entry;
    const bool mayBeWithdrawn = !state.finished && !state.notRun && state.reference != 0;
    if (mayBeWithdrawn && index.contains(withdrawnCallKey(key, state.reference), now)) {
        state.notRun = !state.earlierAttempts;
        state.deadlineUs = std::min(state.deadlineUs, absl::ToUnixMicros(now));
    }
    return state;
}

// Stands in place of the hash of a call, in a record that is written only to prove that its writer is the holder.
std::uint64_t unknownAttemptHash(std::uint32_t attempt)
{
    return journalCallHash("", attempt);
}

bool isOfCall(const JournalKeyState &state, const std::string &host, std::uint64_t callNumber)
{
    return callNumber != 0 && !state.finished && state.reference == journalCallHash(host, callNumber);
}

} // namespace

JournalIndex::JournalIndex(absl::Duration retention) : JournalIndex(JournalRetentionLimits{retention, retention})
{
}

JournalIndex::JournalIndex(JournalRetentionLimits limits) : retention(limits)
{
}

JournalDecision JournalIndex::begin(const JournalIntent &intent, absl::Time now) const
{
    const std::optional<JournalKeyState> entry = applyWithdrawal(*this, intent.key, this->findUnexpired(intent.key, now), now);
    const wire::JournalState state = !entry.has_value() ? wire::JOURNAL_STATE_NOT_FOUND : entry->stateAt(now);
    const bool sameCall = entry.has_value() && isOfCall(*entry, intent.host, intent.callNumber);
    const bool withdrawn = intent.callNumber != 0 && this->contains(withdrawnCallKey(intent.key, journalCallHash(intent.host, intent.callNumber)), now);
    // The attempt of this call has ended, and its host does not wait for an answer. Another attempt would only block the key.
    if (withdrawn || (sameCall && state != wire::JOURNAL_STATE_IN_PROGRESS)) {
        return {wire::JOURNAL_STATE_UNAVAILABLE, 0, std::nullopt};
    }
    const bool mayRun = state == wire::JOURNAL_STATE_NOT_FOUND
                        || (state == wire::JOURNAL_STATE_UNKNOWN && entry->idempotent && intent.idempotent && entry->fingerprint == intent.fingerprint);
    if (mayRun) {
        wire::JournalEntry record = intentRecord(intent, entry.has_value() ? &*entry : nullptr, now);
        const std::uint32_t attempt = record.attempt();
        const bool earlier = record.earlier_attempts();
        return {wire::JOURNAL_STATE_NEW, attempt, std::move(record), earlier};
    }
    if (entry->fingerprint != intent.fingerprint) {
        return {wire::JOURNAL_STATE_CONFLICT, 0, std::nullopt};
    }
    // The reply may be lost after the intent was recorded. A repetition of the same call is granted the same attempt.
    if (state == wire::JOURNAL_STATE_IN_PROGRESS && sameCall) {
        return {wire::JOURNAL_STATE_NEW, entry->attempt, std::nullopt, entry->earlierAttempts};
    }
    return {state, entry->attempt, std::nullopt};
}

JournalDecision JournalIndex::finish(const JournalCompletion &completion, absl::Time now) const
{
    const std::optional<JournalKeyState> entry = applyWithdrawal(*this, completion.key, this->find(completion.key), now);
    if (!entry.has_value() || completion.attempt == 0 || completion.attempt > entry->attempt) {
        // The attempt may be known to a later holder that this one has not noticed. The append of the record fails then.
        return {wire::JOURNAL_STATE_NOT_FOUND, 0, withdrawnCallRecord(withdrawnCallKey(completion.key, unknownAttemptHash(completion.attempt)), now)};
    }
    const bool current = completion.attempt == entry->attempt;
    const bool withoutResult = completion.notRun || completion.endedWithoutResult;
    if (entry->finished || entry->notRun || (withoutResult && !current) || (completion.endedWithoutResult && !entry->idempotent)) {
        return {entry->stateAt(now), entry->attempt, std::nullopt};
    }
    wire::JournalEntry record = entry->toRecord(completion.key);
    if (completion.endedWithoutResult) {
        record = endedWithoutResultRecord(std::move(record), now);
    } else if (completion.notRun) {
        record = notRunRecord(std::move(record), now);
    } else {
        record = resultRecord(std::move(record), completion, now);
    }
    const wire::JournalState state = JournalKeyState::fromRecord(record, 0).stateAt(now);
    return {state, entry->attempt, std::move(record)};
}

JournalDecision JournalIndex::withdraw(const JournalWithdrawal &withdrawal, absl::Time now) const
{
    const JournalKeyState *entry = this->findUnexpired(withdrawal.key, now);
    // Kept for as long as the attempt, whose deadline may be later.
    const absl::Time kept = entry == nullptr ? now : std::max(now, entry->endTime());
    const std::uint64_t callHash = journalCallHash(withdrawal.host, withdrawal.callNumber);
    return {this->read(withdrawal.key, now).state, 0, withdrawnCallRecord(withdrawnCallKey(withdrawal.key, callHash), kept)};
}

JournalDecision JournalIndex::read(const std::string &key, absl::Time now) const
{
    const std::optional<JournalKeyState> entry = applyWithdrawal(*this, key, this->findUnexpired(key, now), now);
    if (!entry.has_value()) {
        return {};
    }
    return {entry->stateAt(now), entry->attempt, std::nullopt};
}

void JournalIndex::put(const wire::JournalEntry &record, std::uint64_t object)
{
    this->put(JournalKeyState::fromRecord(record, object));
}

void JournalIndex::put(const JournalKeyState &state)
{
    const JournalKeyState *before = this->table.find(state.digest);
    if (before != nullptr) {
        this->removeFromCounts(JournalKeyState(*before));
    }
    this->table.put(state);
    this->retention.add(state);
    if (state.finished && state.reference != 0) {
        this->references.addReference(state.reference, state.largeResult);
    }
}

// The slot itself stays unchanged until it is overwritten or erased.
void JournalIndex::removeFromCounts(const JournalKeyState &state)
{
    this->retention.remove(state);
    if (state.finished && state.reference != 0) {
        this->references.removeReference(state.reference);
    }
}

void JournalIndex::setResultObject(const std::string &key, std::uint64_t object)
{
    const JournalKeyState *found = this->find(key);
    if (found != nullptr && found->finished) {
        JournalKeyState state = *found;
        state.reference = object;
        this->put(state);
    }
}

void JournalIndex::erase(const std::string &key)
{
    const JournalKeyState *found = this->find(key);
    if (found != nullptr) {
        this->removeFromCounts(JournalKeyState(*found));
        this->table.erase(journalKeyDigest(key));
    }
}

const JournalKeyState *JournalIndex::find(const std::string &key) const
{
    return this->table.find(journalKeyDigest(key));
}

bool JournalIndex::contains(const std::string &key, absl::Time now) const
{
    return this->findUnexpired(key, now) != nullptr;
}

std::size_t JournalIndex::slotCount() const
{
    return this->table.slotCount();
}

const JournalKeyState *JournalIndex::at(std::size_t slot) const
{
    return this->table.at(slot);
}

void JournalIndex::sweep(std::size_t slot, std::size_t count, absl::Time now)
{
    for (const std::size_t end = std::min(slot + count, this->table.slotCount()); slot < end; ++slot) {
        const JournalKeyState *state = this->table.at(slot);
        if (state != nullptr && this->retention.isExpired(*state, now)) {
            const JournalKeyState expired = *state;
            this->removeFromCounts(expired);
            this->table.erase(expired.digest);
        }
    }
}

void JournalIndex::evict(std::size_t limit, absl::Time now)
{
    const std::size_t used = this->bytes();
    if (used > limit) {
        this->retention.evict((used - limit + bytesPerKey - 1) / bytesPerKey, now);
    }
}

absl::Time JournalIndex::expiryHorizon(absl::Time now) const
{
    return this->retention.expiryHorizon(now);
}

void JournalIndex::raiseExpiryHorizon(absl::Time horizon)
{
    this->retention.raiseHorizon(horizon);
}

JournalObjectReferences &JournalIndex::objectReferences()
{
    return this->references;
}

const JournalObjectReferences &JournalIndex::objectReferences() const
{
    return this->references;
}

std::size_t JournalIndex::size() const
{
    return this->table.size();
}

std::size_t JournalIndex::bytes() const
{
    return this->table.size() * bytesPerKey + this->references.bytes();
}

void JournalIndex::clear()
{
    this->table.clear();
    this->retention.clear();
    this->references.clear();
}

const JournalKeyState *JournalIndex::findUnexpired(const std::string &key, absl::Time now) const
{
    const JournalKeyState *entry = this->find(key);
    return entry == nullptr || this->retention.isExpired(*entry, now) ? nullptr : entry;
}

} // namespace Bergamotramp
