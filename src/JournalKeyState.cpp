#include "JournalKeyState.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "RendezvousHash.h"

namespace Bergamotramp {

// With 64 bits, two of the 24 million keys of a day would collide in a shard about once in ten thousand days. The first half is the seed of
// the second, so that keys which collide in one half still differ in the other.
absl::uint128 journalKeyDigest(std::string_view key)
{
    const std::uint64_t high = stableHash(key);
    return absl::MakeUint128(high, stableHash(high, key));
}

std::uint64_t journalCallHash(const std::string &host, std::uint64_t callNumber)
{
    return callNumber == 0 ? 0 : stableHash(absl::StrCat(host, "/", callNumber)) | 1U;
}

JournalKeyState JournalKeyState::fromRecord(const wire::JournalEntry &record, std::uint64_t object)
{
    JournalKeyState state;
    state.digest = journalKeyDigest(record.key());
    state.fingerprint = record.fingerprint();
    state.deadlineUs = record.deadline_us();
    state.writtenUs = record.written_us();
    const std::uint64_t callHash = record.call_hash() != 0 ? record.call_hash() : journalCallHash(record.host(), record.request());
    state.reference = record.finished() ? object : callHash;
    state.attempt = record.attempt();
    state.idempotent = record.idempotent();
    state.finished = record.finished();
    state.notRun = record.not_run();
    state.earlierAttempts = record.earlier_attempts();
    state.largeResult = !record.result().body_object().empty();
    return state;
}

JournalKeyState JournalKeyState::fromKept(const wire::JournalKept &kept)
{
    JournalKeyState state;
    state.digest = absl::MakeUint128(kept.digest_high(), kept.digest_low());
    state.fingerprint = kept.fingerprint();
    state.deadlineUs = kept.written_us() + kept.time_left_us();
    state.writtenUs = kept.written_us();
    state.reference = kept.reference();
    state.attempt = kept.attempt();
    state.idempotent = kept.idempotent();
    state.finished = kept.finished();
    state.notRun = kept.not_run();
    state.earlierAttempts = kept.earlier_attempts();
    state.largeResult = kept.large_result();
    return state;
}

wire::JournalKept JournalKeyState::toKept() const
{
    wire::JournalKept kept;
    kept.set_digest_high(absl::Uint128High64(this->digest));
    kept.set_digest_low(absl::Uint128Low64(this->digest));
    kept.set_fingerprint(this->fingerprint);
    kept.set_time_left_us(this->deadlineUs - this->writtenUs);
    kept.set_written_us(this->writtenUs);
    kept.set_reference(this->reference);
    kept.set_attempt(this->attempt);
    kept.set_idempotent(this->idempotent);
    kept.set_finished(this->finished);
    kept.set_not_run(this->notRun);
    kept.set_earlier_attempts(this->earlierAttempts);
    kept.set_large_result(this->largeResult);
    return kept;
}

wire::JournalEntry JournalKeyState::toRecord(const std::string &key) const
{
    wire::JournalEntry record;
    record.set_key(key);
    record.set_fingerprint(this->fingerprint);
    record.set_idempotent(this->idempotent);
    record.set_attempt(this->attempt);
    record.set_deadline_us(this->deadlineUs);
    record.set_written_us(this->writtenUs);
    record.set_finished(this->finished);
    record.set_not_run(this->notRun);
    record.set_earlier_attempts(this->earlierAttempts);
    record.set_call_hash(this->finished ? 0 : this->reference);
    return record;
}

absl::Time JournalKeyState::endTime() const
{
    return absl::FromUnixMicros(this->finished || this->notRun ? this->writtenUs : std::max(this->writtenUs, this->deadlineUs));
}

wire::JournalState JournalKeyState::stateAt(absl::Time now) const
{
    if (this->notRun) {
        return wire::JOURNAL_STATE_NOT_FOUND;
    }
    if (this->finished) {
        return wire::JOURNAL_STATE_FINISHED;
    }
    return absl::ToUnixMicros(now) < this->deadlineUs ? wire::JOURNAL_STATE_IN_PROGRESS : wire::JOURNAL_STATE_UNKNOWN;
}

} // namespace Bergamotramp
