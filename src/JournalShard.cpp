#include "JournalShard.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include <absl/strings/str_cat.h>

#include "RendezvousHash.h"

namespace Bergamotramp {

namespace {

template <typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

JournalAnswer answerOf(const JournalIntent &, JournalDecision &decision)
{
    wire::JournalBegun begun;
    begun.set_state(decision.state);
    begun.set_attempt(decision.attempt);
    begun.set_earlier_attempts(decision.earlierAttempts);
    if (decision.state == wire::JOURNAL_STATE_FINISHED) {
        *begun.mutable_result() = std::move(decision.result);
    }
    return begun;
}

JournalAnswer answerOf(const JournalCompletion &, JournalDecision &decision)
{
    wire::JournalFinished finished;
    finished.set_state(decision.state);
    if (decision.state == wire::JOURNAL_STATE_FINISHED) {
        *finished.mutable_result() = std::move(decision.result);
    }
    return finished;
}

JournalAnswer answerOf(const std::string &, JournalDecision &decision)
{
    wire::JournalRecord record;
    record.set_state(decision.state);
    if (decision.state == wire::JOURNAL_STATE_FINISHED) {
        *record.mutable_result() = std::move(decision.result);
    }
    return record;
}

void setState(JournalAnswer &answer, wire::JournalState state)
{
    std::visit(
        [state](auto &message) {
            message.Clear();
            message.set_state(state);
        },
        answer);
}

JournalAnswer refusal(const std::variant<JournalIntent, JournalCompletion, std::string> &event, wire::JournalState state)
{
    JournalDecision decision{state, 0, {}, std::nullopt};
    return std::visit([&decision](const auto &typed) { return answerOf(typed, decision); }, event);
}

bool grantsRun(const JournalAnswer &answer)
{
    const auto *begun = std::get_if<wire::JournalBegun>(&answer);
    return begun != nullptr && begun->state() == wire::JOURNAL_STATE_NEW;
}

} // namespace

JournalShard::JournalShard(JournalShardSettings settings) : settings(std::move(settings)), index(this->settings.retention), backoff(this->settings.firstBackoff)
{
}

// ---- Requests ----

JournalActions JournalShard::begin(std::uint64_t request, const JournalIntent &intent, absl::Time now)
{
    JournalActions actions;
    this->accept({request, intent, now}, now, actions);
    return actions;
}

JournalActions JournalShard::finish(std::uint64_t request, const JournalCompletion &completion, absl::Time now)
{
    JournalActions actions;
    this->accept({request, completion, now}, now, actions);
    return actions;
}

JournalActions JournalShard::read(std::uint64_t request, const std::string &key, absl::Time now)
{
    JournalActions actions;
    this->accept({request, key, now}, now, actions);
    return actions;
}

void JournalShard::accept(Waiting request, absl::Time now, JournalActions &actions)
{
    if (this->step == Step::Idle || this->releasing) {
        actions.emplace_back(JournalReply{request.request, refusal(request.event, wire::JOURNAL_STATE_NOT_HOLDER)});
        return;
    }
    if (this->queuedBytes > this->settings.queueBytes) {
        actions.emplace_back(JournalReply{request.request, refusal(request.event, wire::JOURNAL_STATE_UNAVAILABLE)});
        return;
    }
    if (!this->held) {
        this->waiting.push_back(std::move(request));
        return;
    }
    this->evaluate(request, now, actions);
    this->startNext(now, actions);
}

void JournalShard::evaluate(const Waiting &request, absl::Time now, JournalActions &actions)
{
    std::visit(Overloaded{
                   [&](const JournalIntent &intent) { this->settle(request, intent.key, this->index.begin(intent, now), now, actions); },
                   [&](const JournalCompletion &completion) { this->settle(request, completion.key, this->index.finish(completion, now), now, actions); },
                   [&](const std::string &key) { this->settle(request, key, this->index.read(key, now), now, actions); },
               },
               request.event);
}

// An answer that rests on a record which isn't durable yet waits for it, whoever caused the record.
void JournalShard::settle(const Waiting &request, const std::string &key, JournalDecision decision, absl::Time, JournalActions &actions)
{
    Deferred answer{request.request, {}, key, request.arrived, decision.record.has_value()};
    answer.answer = std::visit([&decision](const auto &typed) { return answerOf(typed, decision); }, request.event);
    if (decision.record.has_value()) {
        const std::uint64_t sequence = this->enqueue(std::move(*decision.record), decision.state == wire::JOURNAL_STATE_NEW);
        this->deferred.emplace(sequence, std::move(answer));
        return;
    }
    const auto pending = this->undurable.find(key);
    if (pending != this->undurable.end()) {
        this->deferred.emplace(pending->second, std::move(answer));
        return;
    }
    actions.emplace_back(JournalReply{answer.request, std::move(answer.answer)});
}

std::uint64_t JournalShard::enqueue(wire::JournalEntry record, bool intent)
{
    JournalQueued queued{++this->lastSequence, std::move(record), std::nullopt, intent, false};
    const wire::JournalEntry *before = this->index.find(queued.record.key());
    if (before != nullptr) {
        queued.before = *before;
    }
    this->index.put(queued.record);
    this->undurable[queued.record.key()] = queued.sequence;
    this->queuedBytes += queued.record.ByteSizeLong();
    this->queue.push_back(std::move(queued));
    return this->lastSequence;
}

void JournalShard::expireRequests(absl::Time now, JournalActions &actions)
{
    std::vector<std::uint64_t> abandoned;
    for (auto entry = this->deferred.begin(); entry != this->deferred.end();) {
        Deferred &answer = entry->second;
        if (answer.arrived + this->settings.requestWait > now) {
            ++entry;
            continue;
        }
        const bool grant = grantsRun(answer.answer);
        const bool never = grant && answer.owner && this->neverStarted(answer, entry->first, now);
        setState(answer.answer, wire::JOURNAL_STATE_UNAVAILABLE);
        if (never) {
            std::get<wire::JournalBegun>(answer.answer).set_never_started(true);
        }
        if (grant && answer.owner) {
            abandoned.push_back(entry->first);
        }
        actions.emplace_back(JournalReply{answer.request, std::move(answer.answer)});
        entry = this->deferred.erase(entry);
    }
    for (const std::uint64_t sequence : abandoned) {
        this->abandon(sequence, actions);
    }
}

void JournalShard::expireWaiting(absl::Time now, JournalActions &actions)
{
    while (!this->waiting.empty() && this->waiting.front().arrived + this->settings.requestWait <= now) {
        const Waiting &oldest = this->waiting.front();
        actions.emplace_back(JournalReply{oldest.request, refusal(oldest.event, wire::JOURNAL_STATE_UNAVAILABLE)});
        this->waiting.pop_front();
    }
}

// A record in doubt may still become durable, and then another host may read it as a started attempt.
// The proof has to be later than the arrival: at the same instant another host may have taken over in between.
bool JournalShard::neverStarted(const Deferred &answer, std::uint64_t sequence, absl::Time) const
{
    if (!this->held || this->holderAt <= answer.arrived) {
        return false;
    }
    const auto position = std::find_if(this->queue.begin(), this->queue.end(), [sequence](const JournalQueued &queued) { return queued.sequence == sequence; });
    return position != this->queue.end() && !position->record.earlier_attempts();
}

// An intent that nobody waits for any more is taken back, so that it doesn't block its key until its deadline.
void JournalShard::abandon(std::uint64_t sequence, JournalActions &actions)
{
    for (std::size_t position = 0; position < this->queue.size(); ++position) {
        if (this->queue[position].sequence == sequence) {
            this->rollBack(position, actions);
            return;
        }
    }
    if (this->append.has_value()) {
        for (JournalQueued &queued : this->append->records) {
            queued.abandoned = queued.abandoned || queued.sequence == sequence;
        }
    }
}

void JournalShard::rollBack(std::size_t position, JournalActions &actions)
{
    JournalQueued &queued = this->queue[position];
    const std::string key = queued.record.key();
    if (this->undurable[key] != queued.sequence) {
        queued.abandoned = true;
        return;
    }
    if (queued.before.has_value()) {
        this->index.put(*queued.before);
    } else {
        this->index.erase(key);
    }
    const auto [first, last] = this->deferred.equal_range(queued.sequence);
    for (auto entry = first; entry != last; ++entry) {
        setState(entry->second.answer, wire::JOURNAL_STATE_UNAVAILABLE);
        actions.emplace_back(JournalReply{entry->second.request, std::move(entry->second.answer)});
    }
    this->deferred.erase(first, last);
    this->queuedBytes -= queued.record.ByteSizeLong();
    this->queue.erase(this->queue.begin() + static_cast<std::ptrdiff_t>(position));
    const std::uint64_t previous = this->lastUndurable(key);
    if (previous == 0) {
        this->undurable.erase(key);
    } else {
        this->undurable[key] = previous;
    }
}

std::uint64_t JournalShard::lastUndurable(const std::string &key) const
{
    for (auto queued = this->queue.rbegin(); queued != this->queue.rend(); ++queued) {
        if (queued->record.key() == key) {
            return queued->sequence;
        }
    }
    std::uint64_t last = 0;
    if (this->append.has_value()) {
        for (const JournalQueued &queued : this->append->records) {
            last = queued.record.key() == key ? queued.sequence : last;
        }
    }
    return last;
}

// ---- Takeover ----

JournalActions JournalShard::takeOver(absl::Time)
{
    JournalActions actions;
    if (this->step == Step::Idle) {
        this->reset();
        this->reload(actions);
    } else {
        this->releasing = false;
    }
    return actions;
}

JournalActions JournalShard::release(absl::Time now)
{
    JournalActions actions;
    this->releasing = true;
    for (const Waiting &request : std::exchange(this->waiting, {})) {
        actions.emplace_back(JournalReply{request.request, refusal(request.event, wire::JOURNAL_STATE_NOT_HOLDER)});
    }
    if (!this->held && this->step != Step::Idle) {
        this->reset();
    }
    this->startNext(now, actions);
    return actions;
}

void JournalShard::reload(JournalActions &actions)
{
    this->index.clear();
    this->append.reset();
    this->chain.clear();
    this->chainBytes = 0;
    this->loadedRoot.Clear();
    this->sendRead(Step::ReadRoot, this->rootKey(), actions);
}

void JournalShard::rootRead(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    if (!result.answered || (result.object.has_value() && !this->loadedRoot.ParseFromString(result.object->value))) {
        this->backOff(Step::ReadRoot, now);
        return;
    }
    this->takeEntries(this->loadedRoot);
    this->number = this->loadedRoot.number() + 1;
    this->partsRead = 0;
    this->snapshotBytes = result.object.has_value() ? result.object->value.size() : 0;
    if (this->loadedRoot.parts() > 0) {
        this->sendRead(Step::ReadPart, this->partKey(this->loadedRoot.number(), 0), actions);
    } else {
        this->sendRead(Step::Replay, this->objectKey(this->number), actions);
    }
}

void JournalShard::partRead(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    wire::JournalSnapshot part;
    if (!result.answered || (result.object.has_value() && !part.ParseFromString(result.object->value))) {
        this->backOff(Step::ReadPart, now);
        return;
    }
    // The parts of a snapshot are removed once a newer one stands.
    if (!result.object.has_value()) {
        this->reload(actions);
        return;
    }
    this->takeEntries(part);
    this->snapshotBytes += result.object->value.size();
    if (++this->partsRead < this->loadedRoot.parts()) {
        this->sendRead(Step::ReadPart, this->partKey(this->loadedRoot.number(), this->partsRead), actions);
    } else {
        this->sendRead(Step::Replay, this->objectKey(this->number), actions);
    }
}

void JournalShard::chainRead(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    if (!result.answered) {
        this->backOff(Step::Replay, now);
        return;
    }
    if (!result.object.has_value()) {
        this->open(now, actions);
        return;
    }
    if (!this->replay(result.object->value)) {
        this->backOff(Step::Replay, now);
        return;
    }
    this->sendRead(Step::Replay, this->objectKey(this->number), actions);
}

bool JournalShard::replay(const std::string &bytes)
{
    wire::JournalObject object;
    if (!object.ParseFromString(bytes)) {
        return false;
    }
    for (const wire::JournalEntry &entry : object.entries()) {
        this->index.put(entry);
    }
    this->chain.push_back({this->number, object.opening()});
    this->chainBytes += bytes.size();
    ++this->number;
    return true;
}

void JournalShard::takeEntries(const wire::JournalSnapshot &part)
{
    for (const wire::JournalEntry &entry : part.entries()) {
        this->index.put(entry);
    }
}

void JournalShard::open(absl::Time now, JournalActions &actions)
{
    this->append.emplace();
    this->append->opening = true;
    this->buildAppend(now);
    this->sendAppend(now, actions);
}

void JournalShard::serveWaiting(absl::Time now, JournalActions &actions)
{
    for (const Waiting &request : std::exchange(this->waiting, {})) {
        this->evaluate(request, now, actions);
    }
}

// ---- Appending ----

void JournalShard::startNext(absl::Time now, JournalActions &actions)
{
    if (this->step != Step::Ready) {
        return;
    }
    if (this->snapshotDue(now)) {
        this->startSnapshot(now, actions);
    } else if (!this->queue.empty() && now >= this->lastAppend + this->settings.appendInterval) {
        this->append.emplace();
        this->buildAppend(now);
        this->sendAppend(now, actions);
    } else if (this->queue.empty() && this->releasing) {
        this->reset();
    }
}

void JournalShard::buildAppend(absl::Time now)
{
    JournalPendingAppend &pending = *this->append;
    wire::JournalObject object;
    object.mutable_writer()->set_name(this->settings.host);
    object.mutable_writer()->set_incarnation(this->settings.incarnation);
    pending.writeNumber = ++this->lastWriteNumber;
    object.set_write_number(pending.writeNumber);
    object.set_opening(pending.opening);
    std::size_t bytes = 0;
    while (!pending.opening && !this->queue.empty()) {
        const std::size_t size = this->queue.front().record.ByteSizeLong();
        if (bytes > 0 && bytes + size > this->settings.objectBytes) {
            break;
        }
        bytes += size;
        this->queuedBytes -= size;
        *object.add_entries() = this->queue.front().record;
        pending.records.push_back(std::move(this->queue.front()));
        this->queue.pop_front();
    }
    pending.bytes = object.SerializeAsString();
    pending.firstSent = now;
}

void JournalShard::sendAppend(absl::Time now, JournalActions &actions)
{
    this->append->repeated = this->append->repeated || this->append->inDoubt;
    this->lastAppend = now;
    this->sendWrite(Step::Append, this->objectKey(this->number), this->append->bytes, Precondition::absent(), actions);
}

void JournalShard::sendProbe(absl::Time now, JournalActions &actions)
{
    this->probeSent = now;
    this->sendRead(Step::Probe, this->objectKey(this->number), actions);
}

void JournalShard::appendSettled(const WriteResult &result, absl::Time now, JournalActions &actions)
{
    switch (result.outcome) {
    case WriteOutcome::Applied:
        this->applied(now, actions);
        break;
    case WriteOutcome::Unanswered:
        this->append->inDoubt = true;
        this->sendRead(Step::ReadBack, this->objectKey(this->number), actions);
        break;
    case WriteOutcome::Conflict:
        this->sendRead(Step::ReadBack, this->objectKey(this->number), actions);
        break;
    case WriteOutcome::Unavailable:
        if (this->append->opening || this->append->inDoubt) {
            this->backOff(Step::Append, now);
        } else {
            this->returnToQueue();
            this->backOff(Step::Probe, now);
        }
        break;
    }
}

void JournalShard::readBack(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    wire::JournalObject object;
    if (!result.answered || (result.object.has_value() && !object.ParseFromString(result.object->value))) {
        this->backOff(Step::ReadBack, now);
        return;
    }
    if (!result.object.has_value() && this->append->inDoubt) {
        this->backOff(Step::Append, now);
        return;
    }
    const bool own = result.object.has_value() && object.writer().name() == this->settings.host && object.writer().incarnation() == this->settings.incarnation
                     && object.write_number() == this->append->writeNumber;
    if (own) {
        this->applied(now, actions);
    } else if (!this->append->opening) {
        this->lose(actions);
    } else if (!result.object.has_value()) {
        this->reload(actions);
    } else {
        this->replay(result.object->value);
        this->sendRead(Step::Replay, this->objectKey(this->number), actions);
    }
}

// Creating an object proves nothing where an object was deleted before. Two writes can meet that: an opening, because the chain may have
// been compacted while it was read, and a repeated write, because the first one may have been applied, covered by a snapshot and deleted.
void JournalShard::applied(absl::Time now, JournalActions &actions)
{
    if (this->append->opening || this->append->repeated) {
        this->sendRead(Step::Verify, this->rootKey(), actions);
        return;
    }
    this->verified({true, std::nullopt}, now, actions);
}

void JournalShard::verified(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    wire::JournalSnapshot root;
    if (!result.answered || (result.object.has_value() && !root.ParseFromString(result.object->value))) {
        this->backOff(Step::Verify, now);
        return;
    }
    if (this->append->opening && root.number() != this->loadedRoot.number()) {
        this->reload(actions);
        return;
    }
    if (root.number() >= this->number) {
        this->lose(actions);
        return;
    }
    const JournalPendingAppend done = std::move(*this->append);
    this->append.reset();
    this->chain.push_back({this->number++, done.opening});
    this->chainBytes += done.bytes.size();
    this->holderAt = std::max(this->holderAt, done.firstSent);
    this->backoff = this->settings.firstBackoff;
    this->step = Step::Ready;
    this->held = true;
    this->commit(done.records, now, actions);
    this->serveWaiting(now, actions);
    this->startNext(now, actions);
}

void JournalShard::commit(const std::vector<JournalQueued> &records, absl::Time now, JournalActions &actions)
{
    for (const JournalQueued &queued : records) {
        this->committedSequence = queued.sequence;
        const auto pending = this->undurable.find(queued.record.key());
        if (pending != this->undurable.end() && pending->second == queued.sequence) {
            this->undurable.erase(pending);
        }
        this->dropAbandoned(queued, now);
    }
    this->releaseAnswers(now, actions);
}

void JournalShard::dropAbandoned(const JournalQueued &queued, absl::Time now)
{
    if (!queued.intent || (!queued.abandoned && absl::ToUnixMicros(now) < queued.record.deadline_us())) {
        return;
    }
    JournalDecision decision = this->index.finish({queued.record.key(), queued.record.attempt(), {}, true}, now);
    if (decision.record.has_value()) {
        this->enqueue(std::move(*decision.record), false);
    }
}

void JournalShard::releaseAnswers(absl::Time now, JournalActions &actions)
{
    const auto last = this->deferred.upper_bound(this->committedSequence);
    for (auto entry = this->deferred.begin(); entry != last; ++entry) {
        Deferred &answer = entry->second;
        if (grantsRun(answer.answer)) {
            const wire::JournalEntry *current = this->index.find(answer.key);
            const bool stands = current != nullptr && current->attempt() == std::get<wire::JournalBegun>(answer.answer).attempt() && !current->not_run()
                                && !current->finished() && absl::ToUnixMicros(now) < current->deadline_us();
            if (!stands) {
                setState(answer.answer, wire::JOURNAL_STATE_UNAVAILABLE);
            }
        }
        actions.emplace_back(JournalReply{answer.request, std::move(answer.answer)});
    }
    this->deferred.erase(this->deferred.begin(), last);
}

void JournalShard::returnToQueue()
{
    std::vector<JournalQueued> records = std::move(this->append->records);
    this->append.reset();
    for (auto queued = records.rbegin(); queued != records.rend(); ++queued) {
        this->queuedBytes += queued->record.ByteSizeLong();
        this->queue.push_front(std::move(*queued));
    }
}

void JournalShard::probed(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    if (!result.answered) {
        this->backOff(Step::Probe, now);
        return;
    }
    if (result.object.has_value()) {
        this->lose(actions);
        return;
    }
    this->holderAt = std::max(this->holderAt, this->probeSent);
    this->step = Step::Ready;
    this->startNext(now, actions);
}

void JournalShard::lose(JournalActions &actions)
{
    for (auto &[sequence, answer] : this->deferred) {
        setState(answer.answer, wire::JOURNAL_STATE_NOT_HOLDER);
        actions.emplace_back(JournalReply{answer.request, std::move(answer.answer)});
    }
    for (const Waiting &request : this->waiting) {
        actions.emplace_back(JournalReply{request.request, refusal(request.event, wire::JOURNAL_STATE_NOT_HOLDER)});
    }
    this->reset();
}

void JournalShard::reset()
{
    this->index.clear();
    this->step = Step::Idle;
    this->held = false;
    this->releasing = false;
    this->outstanding = 0;
    this->retryAt = absl::InfiniteFuture();
    this->backoff = this->settings.firstBackoff;
    this->holderAt = absl::InfinitePast();
    this->queue.clear();
    this->queuedBytes = 0;
    this->undurable.clear();
    this->append.reset();
    this->deferred.clear();
    this->waiting.clear();
    this->chain.clear();
    this->chainBytes = 0;
    this->snapshot.reset();
    this->partsWritten.clear();
    this->expiredObjects.clear();
}

// ---- Compaction ----

// A number is used for one snapshot only: the parts of a failed one may still arrive at the store and must not mix with others.
bool JournalShard::snapshotDue(absl::Time now) const
{
    if (this->number - 1 <= this->lastSnapshotNumber) {
        return false;
    }
    const bool worthIt = this->chain.size() >= this->settings.snapshotObjects && this->chainBytes * 4 >= this->snapshotBytes;
    return !this->releasing && now >= this->nextSnapshot && (worthIt || this->chain.size() >= this->settings.longestChain);
}

void JournalShard::startSnapshot(absl::Time now, JournalActions &actions)
{
    std::vector<std::string> objects = this->index.expire(now);
    this->expiredObjects.insert(this->expiredObjects.end(), std::make_move_iterator(objects.begin()), std::make_move_iterator(objects.end()));
    this->snapshot.emplace();
    this->snapshot->number = this->number - 1;
    this->lastSnapshotNumber = this->snapshot->number;
    this->snapshot->parts = this->snapshotParts();
    this->sendPart(actions);
}

// Records that wait for the store are in the index already; the snapshot holds what stood before them.
std::vector<std::string> JournalShard::snapshotParts() const
{
    std::unordered_map<std::string, const std::optional<wire::JournalEntry> *> before;
    for (const JournalQueued &queued : this->queue) {
        before.emplace(queued.record.key(), &queued.before);
    }
    std::vector<wire::JournalSnapshot> parts(1);
    std::size_t bytes = 0;
    const auto add = [&](const wire::JournalEntry &entry) {
        const std::size_t size = entry.ByteSizeLong();
        if (bytes > 0 && bytes + size > this->settings.objectBytes) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += size;
        *parts.back().add_entries() = entry;
    };
    this->index.forEach([&](const wire::JournalEntry &entry) {
        const auto overlaid = before.find(entry.key());
        if (overlaid == before.end()) {
            add(entry);
        } else if (overlaid->second->has_value()) {
            add(**overlaid->second);
        }
    });
    parts.front().set_parts(static_cast<std::uint32_t>(parts.size() - 1));
    std::vector<std::string> texts;
    for (wire::JournalSnapshot &part : parts) {
        part.set_number(this->number - 1);
        texts.push_back(part.SerializeAsString());
    }
    return texts;
}

// The first part is the root, written last.
void JournalShard::sendPart(JournalActions &actions)
{
    JournalPendingSnapshot &pending = *this->snapshot;
    if (pending.written + 1 == pending.parts.size()) {
        this->sendRead(Step::RecheckRoot, this->rootKey(), actions);
        return;
    }
    const std::string key = this->partKey(pending.number, pending.written);
    this->partsWritten.push_back(key);
    this->sendWrite(Step::WritePart, key, pending.parts[pending.written + 1], Precondition::none(), actions);
}

void JournalShard::partSettled(const WriteResult &result, absl::Time now, JournalActions &actions)
{
    if (result.outcome != WriteOutcome::Applied) {
        this->postponeSnapshot(now, actions);
        return;
    }
    ++this->snapshot->written;
    this->sendPart(actions);
}

void JournalShard::rootRechecked(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    wire::JournalSnapshot root;
    if (!result.answered || (result.object.has_value() && !root.ParseFromString(result.object->value))) {
        this->postponeSnapshot(now, actions);
        return;
    }
    if (root.number() >= this->number) {
        this->lose(actions);
        return;
    }
    for (std::uint32_t part = 0; part < root.parts(); ++part) {
        this->snapshot->oldKeys.push_back(this->partKey(root.number(), part));
    }
    const Precondition precondition = result.object.has_value() ? Precondition::at(result.object->version) : Precondition::absent();
    this->sendWrite(Step::WriteRoot, this->rootKey(), this->snapshot->parts.front(), precondition, actions);
}

void JournalShard::rootSettled(const WriteResult &result, absl::Time now, JournalActions &actions)
{
    if (result.outcome != WriteOutcome::Applied) {
        this->postponeSnapshot(now, actions);
        return;
    }
    const JournalPendingSnapshot done = std::move(*this->snapshot);
    this->snapshot.reset();
    JournalDeleteObjects obsolete{std::exchange(this->expiredObjects, {})};
    for (const ChainObject &object : std::exchange(this->chain, {})) {
        if (!object.opening) {
            obsolete.keys.push_back(this->objectKey(object.number));
        }
    }
    std::vector<std::string> partKeys = std::exchange(this->partsWritten, {});
    partKeys.insert(partKeys.end(), done.oldKeys.begin(), done.oldKeys.end());
    for (const std::string &key : partKeys) {
        bool current = false;
        for (std::size_t part = 0; part + 1 < done.parts.size(); ++part) {
            current = current || key == this->partKey(done.number, part);
        }
        if (!current) {
            obsolete.keys.push_back(key);
        }
    }
    this->snapshotBytes = 0;
    for (const std::string &part : done.parts) {
        this->snapshotBytes += part.size();
    }
    this->chainBytes = 0;
    actions.emplace_back(std::move(obsolete));
    this->step = Step::Ready;
    this->startNext(now, actions);
}

// The chain alone is complete, so a snapshot may fail; its parts are removed with the next one.
void JournalShard::postponeSnapshot(absl::Time now, JournalActions &actions)
{
    this->snapshot.reset();
    this->nextSnapshot = now + absl::Seconds(5);
    this->step = Step::Ready;
    this->startNext(now, actions);
}

// ---- Calls of the store ----

JournalActions JournalShard::objectRead(std::uint64_t ticket, const JournalReadResult &result, absl::Time now)
{
    JournalActions actions;
    if (ticket != this->outstanding) {
        return actions;
    }
    this->outstanding = 0;
    switch (this->step) {
    case Step::ReadRoot:
        this->rootRead(result, now, actions);
        break;
    case Step::ReadPart:
        this->partRead(result, now, actions);
        break;
    case Step::Replay:
        this->chainRead(result, now, actions);
        break;
    case Step::ReadBack:
        this->readBack(result, now, actions);
        break;
    case Step::Verify:
        this->verified(result, now, actions);
        break;
    case Step::Probe:
        this->probed(result, now, actions);
        break;
    case Step::RecheckRoot:
        this->rootRechecked(result, now, actions);
        break;
    default:
        break;
    }
    return actions;
}

JournalActions JournalShard::writeSettled(std::uint64_t ticket, const WriteResult &result, absl::Time now)
{
    JournalActions actions;
    if (ticket != this->outstanding) {
        return actions;
    }
    this->outstanding = 0;
    if (this->step == Step::Append) {
        this->appendSettled(result, now, actions);
    } else if (this->step == Step::WritePart) {
        this->partSettled(result, now, actions);
    } else if (this->step == Step::WriteRoot) {
        this->rootSettled(result, now, actions);
    }
    return actions;
}

JournalActions JournalShard::tick(absl::Time now)
{
    JournalActions actions;
    this->expireWaiting(now, actions);
    this->expireRequests(now, actions);
    if (now >= this->retryAt) {
        this->retryAt = absl::InfiniteFuture();
        this->resume(actions, now);
    }
    this->startNext(now, actions);
    return actions;
}

void JournalShard::resume(JournalActions &actions, absl::Time now)
{
    switch (this->step) {
    case Step::ReadRoot:
        this->reload(actions);
        break;
    case Step::ReadPart:
        this->sendRead(Step::ReadPart, this->partKey(this->loadedRoot.number(), this->partsRead), actions);
        break;
    case Step::Replay:
    case Step::ReadBack:
        this->sendRead(this->step, this->objectKey(this->number), actions);
        break;
    case Step::Append:
        this->sendAppend(now, actions);
        break;
    case Step::Verify:
        this->sendRead(Step::Verify, this->rootKey(), actions);
        break;
    case Step::Probe:
        this->sendProbe(now, actions);
        break;
    default:
        break;
    }
}

void JournalShard::backOff(Step retry, absl::Time now)
{
    // Spread by host and try, so that the holders of many shards don't return to the store at once.
    const double spread =
        0.5 + static_cast<double>(stableHash(absl::StrCat(this->settings.host, "/", this->settings.shard, "/", this->lastTicket)) % 1000) / 1000.0;
    this->step = retry;
    this->retryAt = now + this->backoff * spread;
    this->backoff = std::min(this->backoff * 2, this->settings.longestBackoff);
}

void JournalShard::sendRead(Step next, const std::string &key, JournalActions &actions)
{
    this->step = next;
    this->outstanding = ++this->lastTicket;
    actions.emplace_back(JournalReadObject{this->outstanding, key});
}

void JournalShard::sendWrite(Step next, const std::string &key, const std::string &value, Precondition precondition, JournalActions &actions)
{
    this->step = next;
    this->outstanding = ++this->lastTicket;
    actions.emplace_back(JournalWriteObject{this->outstanding, key, value, precondition});
}

std::string JournalShard::objectKey(std::uint64_t objectNumber) const
{
    return absl::StrCat("journal/", this->settings.shard, "/", absl::Dec(objectNumber, absl::kZeroPad20));
}

std::string JournalShard::rootKey() const
{
    return absl::StrCat("journal/", this->settings.shard, "/snapshot");
}

std::string JournalShard::partKey(std::uint64_t snapshotNumber, std::size_t part) const
{
    return absl::StrCat("journal/", this->settings.shard, "/snapshot-parts/", snapshotNumber, "/", part);
}

bool JournalShard::active() const
{
    return this->step != Step::Idle;
}

bool JournalShard::loaded() const
{
    return this->held;
}

std::size_t JournalShard::entryCount() const
{
    return this->index.size();
}

std::size_t JournalShard::queuedRecords() const
{
    return this->queue.size() + (this->append.has_value() ? this->append->records.size() : 0);
}

std::uint64_t JournalShard::nextNumber() const
{
    return this->number;
}

} // namespace Bergamotramp
