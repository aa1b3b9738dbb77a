#include "JournalShard.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

/** Part of the memory for recent results. */
constexpr std::size_t recentShare = 8;
/** Keys are evicted above this share of the index's memory, so that sweeping them is done before new ones are refused. */
constexpr double evictionShare = 0.9;
/** Slots that a tick sweeps; with ticks of 10 ms a shard of 100,000 keys is swept in 8 s. */
constexpr std::size_t slotsPerTick = 128;

} // namespace

JournalShard::JournalShard(JournalShardSettings given)
    : settings(std::move(given))
    , keys(this->settings.shard)
    , index(this->settings.retention)
    , queue(this->index)
    , compaction({this->settings.snapshotObjects, this->settings.longestChain, this->settings.objectBytes, this->settings.partKeys},
                 this->keys,
                 this->index,
                 this->queue,
                 this->fences)
    , replay(this->index, this->fences, this->recent, this->compaction)
    , append(this->settings.host, this->settings.incarnation)
    , pacing(absl::StrCat(this->settings.host, "/", this->settings.shard), this->settings.firstBackoff, this->settings.longestBackoff)
    , memoryLimit(0)
{
    this->setMemory(this->settings.memoryBytes);
}

// ---- Requests ----

JournalActions JournalShard::begin(std::uint64_t request, const JournalIntent &intent, absl::Time now)
{
    return this->accept({request, intent, now}, now);
}

JournalActions JournalShard::finish(std::uint64_t request, const JournalCompletion &completion, absl::Time now)
{
    return this->accept({request, completion, now}, now);
}

JournalActions JournalShard::read(std::uint64_t request, const std::string &key, absl::Time now)
{
    return this->accept({request, key, now}, now);
}

JournalActions JournalShard::accept(JournalRequest request, absl::Time now)
{
    JournalActions actions;
    if (this->step == Step::Idle || this->step == Step::Close || this->releasing) {
        actions.emplace_back(JournalReply{request.request, refusalOf(request.event, wire::JOURNAL_STATE_NOT_HOLDER)});
    } else if (this->queue.bytes() > this->settings.queueBytes) {
        actions.emplace_back(JournalReply{request.request, refusalOf(request.event, wire::JOURNAL_STATE_UNAVAILABLE)});
    } else if (!this->held) {
        this->waiting.push_back(std::move(request));
    } else {
        this->evaluate(request, now, actions);
        this->startNext(now, actions);
    }
    return actions;
}

// Keys within the shortest retention can't be dropped without the risk of a second run.
bool JournalShard::full(const JournalEvent &event, absl::Time now) const
{
    const auto *intent = std::get_if<JournalIntent>(&event);
    return intent != nullptr && this->index.bytes() > this->memoryLimit && !this->index.knows(intent->key, now);
}

JournalDecision JournalShard::decide(const JournalEvent &event, absl::Time now) const
{
    if (const auto *intent = std::get_if<JournalIntent>(&event)) {
        return this->index.begin(*intent, now);
    }
    if (const auto *completion = std::get_if<JournalCompletion>(&event)) {
        return this->index.finish(*completion, now);
    }
    return this->index.read(std::get<std::string>(event), now);
}

// An answer that rests on a record which isn't durable yet waits for it, whoever caused the record.
void JournalShard::evaluate(const JournalRequest &request, absl::Time now, JournalActions &actions)
{
    if (this->full(request.event, now)) {
        JournalAnswer refusal = refusalOf(request.event, wire::JOURNAL_STATE_UNAVAILABLE);
        std::get<wire::JournalBegun>(refusal).set_not_recorded(true);
        actions.emplace_back(JournalReply{request.request, std::move(refusal)});
        return;
    }
    JournalDecision decision = this->decide(request.event, now);
    std::optional<wire::JournalEntry> record = std::exchange(decision.record, std::nullopt);
    const bool intent = decision.state == wire::JOURNAL_STATE_NEW;
    JournalDeferredAnswer answer{request.request, {}, keyOf(request.event), request.arrived, record.has_value()};
    const std::uint64_t sequence = record.has_value() ? this->queue.push(std::move(*record), intent) : this->queue.undurable(answer.key);
    const bool finished = decision.state == wire::JOURNAL_STATE_FINISHED;
    answer.answer = answerOf(request.event, decision, finished ? this->resultOf(answer.key) : wire::RecordedResult());
    if (sequence != 0) {
        this->deferred.add(sequence, std::move(answer));
    } else {
        actions.emplace_back(JournalReply{answer.request, std::move(answer.answer)});
    }
}

// A result that is not in memory is answered by a reference, and the host that asked reads it from the store.
wire::RecordedResult JournalShard::resultOf(const std::string &key) const
{
    const wire::RecordedResult *result = this->queue.resultOf(this->queue.undurable(key));
    result = result == nullptr ? this->recent.find(key) : result;
    if (result != nullptr) {
        return *result;
    }
    wire::RecordedResult reference;
    reference.set_journal_object(this->keys.object(this->index.find(key)->reference));
    return reference;
}

void JournalShard::serveWaiting(absl::Time now, JournalActions &actions)
{
    for (const JournalRequest &request : std::exchange(this->waiting, {})) {
        this->evaluate(request, now, actions);
    }
}

void JournalShard::expireWaiting(absl::Time now, JournalActions &actions)
{
    while (!this->waiting.empty() && this->waiting.front().arrived + this->settings.requestWait <= now) {
        const JournalRequest &oldest = this->waiting.front();
        actions.emplace_back(JournalReply{oldest.request, refusalOf(oldest.event, wire::JOURNAL_STATE_UNAVAILABLE)});
        this->waiting.pop_front();
    }
}

// An intent that nobody waits for any more is taken back, so that it doesn't block its key until its deadline.
void JournalShard::expireDeferred(absl::Time now, JournalActions &actions)
{
    const auto never = [this](const JournalDeferredAnswer &answer, std::uint64_t sequence) { return this->neverStarted(answer, sequence); };
    for (const std::uint64_t sequence : this->deferred.expire(now - this->settings.requestWait, never, actions)) {
        if (this->queue.abandon(sequence)) {
            this->deferred.refuse(sequence, actions);
        }
    }
}

void JournalShard::refuseWaiting(JournalActions &actions)
{
    for (const JournalRequest &request : std::exchange(this->waiting, {})) {
        actions.emplace_back(JournalReply{request.request, refusalOf(request.event, wire::JOURNAL_STATE_NOT_HOLDER)});
    }
}

// A record in doubt may still become durable, and then another host may read it as a started attempt.
// The proof has to be later than the arrival: at the same instant another host may have taken over in between.
bool JournalShard::neverStarted(const JournalDeferredAnswer &answer, std::uint64_t sequence) const
{
    if (!this->held || this->holderAt <= answer.arrived) {
        return false;
    }
    const JournalQueued *queued = this->queue.find(sequence);
    return queued != nullptr && !queued->record.earlier_attempts();
}

bool JournalShard::grantStands(const JournalDeferredAnswer &answer, absl::Time now) const
{
    const JournalKeyState *current = this->index.find(answer.key);
    return current != nullptr && current->attempt == std::get<wire::JournalBegun>(answer.answer).attempt() && !current->notRun && !current->finished
           && absl::ToUnixMicros(now) < current->deadlineUs;
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
    this->refuseWaiting(actions);
    if (!this->held && this->step != Step::Idle) {
        this->reset();
    }
    this->startNext(now, actions);
    return actions;
}

void JournalShard::reload(JournalActions &actions)
{
    this->replay.start();
    this->sendRead(Step::ReadRoot, this->keys.root(), actions);
}

void JournalShard::rootRead(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    if (!result.answered || !this->replay.takeRoot(result.object)) {
        this->backOff(Step::ReadRoot, now);
        return;
    }
    this->number = this->replay.rootNumber() + 1;
    this->readNextPart(actions);
}

void JournalShard::readNextPart(JournalActions &actions)
{
    const std::optional<std::size_t> part = this->replay.nextPart();
    if (part.has_value()) {
        this->sendRead(Step::ReadPart, this->keys.part(this->replay.rootNumber(), *part), actions);
    } else {
        this->sendRead(Step::Replay, this->keys.object(this->number), actions);
    }
}

void JournalShard::partRead(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    if (result.answered && !result.object.has_value()) {
        // The parts of a snapshot are removed once a newer one stands.
        this->reload(actions);
    } else if (!result.answered || !this->replay.takePart(result.object->value)) {
        this->backOff(Step::ReadPart, now);
    } else {
        this->readNextPart(actions);
    }
}

void JournalShard::chainRead(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    if (result.answered && !result.object.has_value()) {
        this->append.startOpening(now);
        this->sendAppend(now, actions);
    } else if (!result.answered || !this->replay.takeObject(this->number, result.object->value)) {
        this->backOff(Step::Replay, now);
    } else {
        ++this->number;
        this->sendRead(Step::Replay, this->keys.object(this->number), actions);
    }
}

// ---- Appending ----

void JournalShard::startNext(absl::Time now, JournalActions &actions)
{
    if (this->step != Step::Ready) {
        return;
    }
    if (this->releasing && this->compaction.active()) {
        this->compaction.postpone(now);
    }
    if (!this->releasing && this->compaction.due(this->number - 1, now)) {
        this->compaction.start(this->number - 1, now);
        this->snapshotTurn = true;
    }
    const bool appendDue = !this->queue.empty() && now >= this->lastAppend + this->settings.appendInterval;
    if (this->compaction.active() && (this->snapshotTurn || !appendDue)) {
        this->snapshotTurn = false;
        this->sendPart(now, actions);
    } else if (appendDue) {
        this->snapshotTurn = true;
        this->append.start(this->queue.takeBatch(this->settings.objectBytes), now);
        this->sendAppend(now, actions);
    } else if (this->queue.empty() && this->releasing) {
        this->sendClosing(now, actions);
    }
}

void JournalShard::sendClosing(absl::Time now, JournalActions &actions)
{
    this->append.startClosing(now);
    this->sendWrite(Step::Close, {0, this->keys.object(this->number), this->append.bytes(), Precondition::absent()}, actions);
}

void JournalShard::sendAppend(absl::Time now, JournalActions &actions)
{
    this->append.sent();
    this->lastAppend = now;
    this->sendWrite(Step::Append, {0, this->keys.object(this->number), this->append.bytes(), Precondition::absent()}, actions);
}

void JournalShard::sendProbe(absl::Time now, JournalActions &actions)
{
    this->probeSent = now;
    this->sendRead(Step::Probe, this->keys.object(this->number), actions);
}

void JournalShard::follow(JournalVerdict verdict, const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    switch (verdict) {
    case JournalVerdict::Durable:
        this->durable(now, actions);
        break;
    case JournalVerdict::Verify:
        this->sendRead(Step::Verify, this->keys.root(), actions);
        break;
    case JournalVerdict::ReadBack:
        this->sendRead(Step::ReadBack, this->keys.object(this->number), actions);
        break;
    case JournalVerdict::RepeatWrite:
        this->backOff(Step::Append, now);
        break;
    case JournalVerdict::RepeatRead:
        this->backOff(Step::ReadBack, now);
        break;
    case JournalVerdict::NotWritten:
        this->queue.returnBatch();
        this->backOff(Step::Probe, now);
        break;
    case JournalVerdict::Lost:
        this->lose(actions);
        break;
    case JournalVerdict::Reload:
        this->reload(actions);
        break;
    case JournalVerdict::Foreign:
        this->chainRead(result, now, actions);
        break;
    }
}

void JournalShard::verified(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    wire::JournalSnapshot root;
    if (!result.answered || (result.object.has_value() && !root.ParseFromString(result.object->value))) {
        this->backOff(Step::Verify, now);
        return;
    }
    this->follow(this->append.verified(root.number(), this->replay.rootNumber(), this->number), result, now, actions);
}

void JournalShard::durable(absl::Time now, JournalActions &actions)
{
    if (this->append.opening()) {
        this->fences.opened(this->number, this->append.writer());
    }
    this->compaction.addObject(this->number, this->append.bytes().size());
    this->holderAt = std::max(this->holderAt, this->append.firstSent());
    this->pacing.succeeded();
    this->step = Step::Ready;
    this->held = true;
    this->commit(now, actions);
    this->serveWaiting(now, actions);
    this->startNext(now, actions);
}

void JournalShard::commit(absl::Time now, JournalActions &actions)
{
    const std::vector<JournalQueued> records = this->queue.commitBatch(this->number++);
    for (const JournalQueued &queued : records) {
        if (queued.record.finished()) {
            this->recent.put(queued.record.key(), queued.record.result());
        }
        this->dropAbandoned(queued, now);
    }
    if (!records.empty()) {
        const auto stands = [this, now](const JournalDeferredAnswer &answer, std::uint64_t) { return this->grantStands(answer, now); };
        this->deferred.release(records.back().sequence, stands, actions);
    }
}

void JournalShard::dropAbandoned(const JournalQueued &queued, absl::Time now)
{
    if (!queued.intent || (!queued.abandoned && absl::ToUnixMicros(now) < queued.record.deadline_us())) {
        return;
    }
    JournalDecision decision = this->index.finish({queued.record.key(), queued.record.attempt(), {}, true}, now);
    if (decision.record.has_value()) {
        this->queue.push(std::move(*decision.record), false);
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
    this->deferred.refuseAll(wire::JOURNAL_STATE_NOT_HOLDER, actions);
    this->refuseWaiting(actions);
    this->reset();
}

void JournalShard::reset()
{
    this->index.clear();
    this->fences.clear();
    this->recent.clear();
    this->queue.clear();
    this->deferred.clear();
    this->waiting.clear();
    this->compaction.clear();
    this->pacing.clear();
    this->step = Step::Idle;
    this->held = false;
    this->releasing = false;
    this->outstanding = 0;
    this->holderAt = absl::InfinitePast();
}

// ---- Compaction ----

void JournalShard::sendPart(absl::Time now, JournalActions &actions)
{
    std::optional<JournalWriteObject> part = this->compaction.nextPart(now);
    if (part.has_value()) {
        this->sendWrite(Step::WritePart, std::move(*part), actions);
    } else {
        this->sendRead(Step::RecheckRoot, this->keys.root(), actions);
    }
}

void JournalShard::partSettled(const WriteResult &result, absl::Time now, JournalActions &actions)
{
    if (result.outcome != WriteOutcome::Applied) {
        this->postponeSnapshot(now, actions);
        return;
    }
    this->step = Step::Ready;
    this->startNext(now, actions);
}

void JournalShard::rootRechecked(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    wire::JournalSnapshot root;
    if (!result.answered || (result.object.has_value() && !root.ParseFromString(result.object->value))) {
        this->postponeSnapshot(now, actions);
    } else if (root.number() >= this->number) {
        this->lose(actions);
    } else {
        this->sendWrite(Step::WriteRoot, this->compaction.rootWrite(result.object, root), actions);
    }
}

void JournalShard::rootSettled(const WriteResult &result, absl::Time now, JournalActions &actions)
{
    if (result.outcome != WriteOutcome::Applied) {
        this->postponeSnapshot(now, actions);
        return;
    }
    actions.emplace_back(this->compaction.finish());
    this->step = Step::Ready;
    this->startNext(now, actions);
}

void JournalShard::postponeSnapshot(absl::Time now, JournalActions &actions)
{
    this->compaction.postpone(now);
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
        this->follow(this->append.readBack(result), result, now, actions);
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
        this->follow(this->append.settled(result.outcome), {}, now, actions);
    } else if (this->step == Step::WritePart) {
        this->partSettled(result, now, actions);
    } else if (this->step == Step::WriteRoot) {
        this->rootSettled(result, now, actions);
    } else if (this->step == Step::Close) {
        this->reset();
    }
    return actions;
}

JournalActions JournalShard::tick(absl::Time now)
{
    JournalActions actions;
    this->expireWaiting(now, actions);
    this->expireDeferred(now, actions);
    if (this->pacing.takeDue(now)) {
        this->resume(now, actions);
    }
    this->startNext(now, actions);
    this->index.evict(static_cast<std::size_t>(static_cast<double>(this->memoryLimit) * evictionShare), now);
    this->nextSweep = this->nextSweep < this->index.slotCount() ? this->nextSweep : 0;
    this->index.sweep(this->nextSweep, slotsPerTick, now);
    this->nextSweep += slotsPerTick;
    return actions;
}

void JournalShard::setMemory(std::size_t bytes)
{
    this->recent.setLimit(bytes / recentShare);
    this->memoryLimit = bytes - bytes / recentShare;
}

void JournalShard::resume(absl::Time now, JournalActions &actions)
{
    switch (this->step) {
    case Step::ReadRoot:
        this->reload(actions);
        break;
    case Step::ReadPart:
        this->readNextPart(actions);
        break;
    case Step::Replay:
    case Step::ReadBack:
        this->sendRead(this->step, this->keys.object(this->number), actions);
        break;
    case Step::Append:
        this->sendAppend(now, actions);
        break;
    case Step::Verify:
        this->sendRead(Step::Verify, this->keys.root(), actions);
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
    this->step = retry;
    this->pacing.failed(this->lastTicket, now);
}

void JournalShard::sendRead(Step next, const std::string &key, JournalActions &actions)
{
    this->step = next;
    this->outstanding = ++this->lastTicket;
    actions.emplace_back(JournalReadObject{this->outstanding, key});
}

void JournalShard::sendWrite(Step next, JournalWriteObject write, JournalActions &actions)
{
    this->step = next;
    this->outstanding = ++this->lastTicket;
    write.ticket = this->outstanding;
    actions.emplace_back(std::move(write));
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

std::size_t JournalShard::memoryUsed() const
{
    return this->index.bytes() + this->recent.bytes();
}

std::size_t JournalShard::recentBytes() const
{
    return this->recent.bytes();
}

std::size_t JournalShard::queuedRecords() const
{
    return this->queue.size();
}

std::uint64_t JournalShard::nextNumber() const
{
    return this->number;
}

} // namespace Bergamotramp
