#include "JournalIndex.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

wire::JournalState stateOf(const wire::JournalEntry &entry, absl::Time now)
{
    if (entry.not_run()) {
        return wire::JOURNAL_STATE_NOT_FOUND;
    }
    if (entry.finished()) {
        return wire::JOURNAL_STATE_FINISHED;
    }
    return absl::ToUnixMicros(now) < entry.deadline_us() ? wire::JOURNAL_STATE_IN_PROGRESS : wire::JOURNAL_STATE_UNKNOWN;
}

// A freed key keeps its attempt number, so that a repeated "not run" of an old attempt can't free a newer one.
wire::JournalEntry intentRecord(const JournalIntent &intent, const wire::JournalEntry *before, absl::Time now)
{
    wire::JournalEntry record;
    record.set_key(intent.key);
    record.set_fingerprint(intent.fingerprint);
    record.set_idempotent(intent.idempotent);
    record.set_attempt(before == nullptr ? 1 : before->attempt() + 1);
    record.set_deadline_us(absl::ToUnixMicros(now + intent.timeLeft));
    record.set_host(intent.host);
    record.set_request(intent.request);
    record.set_written_us(absl::ToUnixMicros(now));
    record.set_earlier_attempts(before != nullptr && !before->not_run());
    return record;
}

// While an earlier attempt may have run, the key stays taken: its intent only expires.
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

// The intent expires at once, so that the next begin gets the next attempt number.
wire::JournalEntry endedRecord(wire::JournalEntry record, absl::Time now)
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
    *record.mutable_result() = completion.result;
    return record;
}

} // namespace

JournalIndex::JournalIndex(absl::Duration retention) : retention(retention)
{
}

JournalDecision JournalIndex::begin(const JournalIntent &intent, absl::Time now) const
{
    const wire::JournalEntry *entry = this->findUnexpired(intent.key, now);
    const wire::JournalState state = entry == nullptr ? wire::JOURNAL_STATE_NOT_FOUND : stateOf(*entry, now);
    const bool mayRun = state == wire::JOURNAL_STATE_NOT_FOUND
                        || (state == wire::JOURNAL_STATE_UNKNOWN && entry->idempotent() && intent.idempotent && entry->fingerprint() == intent.fingerprint);
    if (mayRun) {
        wire::JournalEntry record = intentRecord(intent, entry, now);
        const std::uint32_t attempt = record.attempt();
        const bool earlier = record.earlier_attempts();
        return {wire::JOURNAL_STATE_NEW, attempt, {}, std::move(record), earlier};
    }
    if (entry->fingerprint() != intent.fingerprint) {
        return {wire::JOURNAL_STATE_CONFLICT, 0, {}, std::nullopt};
    }
    // The answer to a call may get lost after its intent was recorded; the same call may ask again.
    const bool sameCall = intent.request != 0 && entry->request() == intent.request && entry->host() == intent.host;
    if (state == wire::JOURNAL_STATE_IN_PROGRESS && sameCall) {
        return {wire::JOURNAL_STATE_NEW, entry->attempt(), {}, std::nullopt, entry->earlier_attempts()};
    }
    return {state, entry->attempt(), entry->result(), std::nullopt};
}

JournalDecision JournalIndex::finish(const JournalCompletion &completion, absl::Time now) const
{
    const wire::JournalEntry *entry = this->find(completion.key);
    if (entry == nullptr || completion.attempt == 0 || completion.attempt > entry->attempt()) {
        return {wire::JOURNAL_STATE_NOT_FOUND, 0, {}, std::nullopt};
    }
    const bool current = completion.attempt == entry->attempt();
    const bool withoutResult = completion.notRun || completion.ended;
    if (entry->finished() || entry->not_run() || (withoutResult && !current) || (completion.ended && !entry->idempotent())) {
        return {stateOf(*entry, now), entry->attempt(), entry->result(), std::nullopt};
    }
    if (completion.ended) {
        wire::JournalEntry record = endedRecord(*entry, now);
        return {stateOf(record, now), entry->attempt(), {}, std::move(record)};
    }
    if (completion.notRun) {
        wire::JournalEntry record = notRunRecord(*entry, now);
        const wire::JournalState state = stateOf(record, now);
        return {state, entry->attempt(), {}, std::move(record)};
    }
    return {wire::JOURNAL_STATE_FINISHED, entry->attempt(), completion.result, resultRecord(*entry, completion, now)};
}

JournalDecision JournalIndex::read(const std::string &key, absl::Time now) const
{
    const wire::JournalEntry *entry = this->findUnexpired(key, now);
    if (entry == nullptr) {
        return {};
    }
    return {stateOf(*entry, now), entry->attempt(), entry->result(), std::nullopt};
}

void JournalIndex::put(const wire::JournalEntry &record)
{
    this->entries.insert_or_assign(record.key(), record);
}

void JournalIndex::erase(const std::string &key)
{
    this->entries.erase(key);
}

const wire::JournalEntry *JournalIndex::find(const std::string &key) const
{
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? nullptr : &found->second;
}

bool JournalIndex::neverRun(const std::string &key, absl::Time now) const
{
    const wire::JournalEntry *entry = this->findUnexpired(key, now);
    return entry == nullptr || entry->not_run();
}

void JournalIndex::forEach(const std::function<void(const wire::JournalEntry &)> &visit) const
{
    for (const auto &[key, entry] : this->entries) {
        visit(entry);
    }
}

std::vector<std::string> JournalIndex::expire(absl::Time now)
{
    std::vector<std::string> objects;
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const auto current = entry++;
        if (!this->expired(current->second, now)) {
            continue;
        }
        if (!current->second.result().body_object().empty()) {
            objects.push_back(current->second.result().body_object());
        }
        this->entries.erase(current);
    }
    return objects;
}

std::size_t JournalIndex::size() const
{
    return this->entries.size();
}

void JournalIndex::clear()
{
    this->entries.clear();
}

const wire::JournalEntry *JournalIndex::findUnexpired(const std::string &key, absl::Time now) const
{
    const wire::JournalEntry *entry = this->find(key);
    return entry == nullptr || this->expired(*entry, now) ? nullptr : entry;
}

bool JournalIndex::expired(const wire::JournalEntry &entry, absl::Time now) const
{
    const std::int64_t last = entry.finished() || entry.not_run() ? entry.written_us() : std::max(entry.written_us(), entry.deadline_us());
    return absl::FromUnixMicros(last) + this->retention < now;
}

} // namespace Bergamotramp
