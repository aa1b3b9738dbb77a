#include "JournalShard.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

/** The result cache gets one part in this many of the memory. */
constexpr std::size_t resultCacheDivisor = 8;
/** Keys are evicted above this share of the index's memory, so that their memory is freed before new keys have to be refused. */
constexpr double evictionShare = 0.9;
/** Slots swept per tick. With ticks of 10 ms a shard of 100,000 keys is swept in 8 s. */
constexpr std::size_t slotsPerTick = 128;

} // namespace

JournalShard::JournalShard(JournalShardSettings initialSettings)
    : settings(std::move(initialSettings))
    , keys(this->settings.shard)
    , index(this->settings.retention)
    , queue(this->index)
    , compaction({this->settings.snapshotAfterObjects, this->settings.maxChainObjects, this->settings.maxObjectBytes, this->settings.maxPartKeys},
                 this->keys,
                 this->index,
                 this->queue,
                 this->fences)
    , replay(this->index, this->fences, this->resultCache, this->compaction)
    , append(this->settings.host, this->settings.incarnation)
    , backoff(absl::StrCat(this->settings.host, "/", this->settings.shard), this->settings.initialBackoff, this->settings.maxBackoff)
    , indexMemoryLimit(0)
{
    this->setMemoryLimit(this->settings.memoryBytes);
}

// ---- Requests ----

JournalActions JournalShard::begin(std::uint64_t requestId, const JournalIntent &intent, absl::Time now)
{
    return this->accept({requestId, intent, now}, now);
}

JournalActions JournalShard::finish(std::uint64_t requestId, const JournalCompletion &completion, absl::Time now)
{
    return this->accept({requestId, completion, now}, now);
}

JournalActions JournalShard::withdraw(std::uint64_t requestId, const JournalWithdrawal &withdrawal, absl::Time now)
{
    return this->accept({requestId, withdrawal, now}, now);
}

JournalActions JournalShard::read(std::uint64_t requestId, const std::string &key, absl::Time now)
{
    return this->accept({requestId, key, now}, now);
}

JournalActions JournalShard::accept(JournalRequest request, absl::Time now)
{
    JournalActions actions;
    if (this->step == Step::Idle || this->step == Step::Close || this->releasing) {
        actions.emplace_back(JournalReply{request.requestId, makeRefusal(request.event, wire::JOURNAL_STATE_NOT_HOLDER)});
    } else if (this->queue.bytes() > this->settings.maxQueueBytes) {
        actions.emplace_back(JournalReply{request.requestId, makeRefusal(request.event, wire::JOURNAL_STATE_UNAVAILABLE)});
    } else if (!this->held) {
        this->waitingRequests.push_back(std::move(request));
    } else {
        this->evaluate(request, now, actions);
        this->startNextWrite(now, actions);
    }
    return actions;
}

// When memory runs out, new keys are refused: dropping a key within the shortest retention could let its request run a second time.
bool JournalShard::indexFullFor(const JournalEvent &event, absl::Time now) const
{
    const auto *intent = std::get_if<JournalIntent>(&event);
    return intent != nullptr && this->index.bytes() > this->indexMemoryLimit && !this->index.contains(intent->key, now);
}

JournalDecision JournalShard::decide(const JournalEvent &event, absl::Time now) const
{
    if (const auto *intent = std::get_if<JournalIntent>(&event)) {
        return this->index.begin(*intent, now);
    }
    if (const auto *completion = std::get_if<JournalCompletion>(&event)) {
        return this->index.finish(*completion, now);
    }
    if (const auto *withdrawal = std::get_if<JournalWithdrawal>(&event)) {
        return this->index.withdraw(*withdrawal, now);
    }
    return this->index.read(std::get<std::string>(event), now);
}

// A reply that depends on a record which isn't durable yet is deferred until it is, whichever request caused the record.
void JournalShard::evaluate(const JournalRequest &request, absl::Time now, JournalActions &actions)
{
    if (this->indexFullFor(request.event, now)) {
        JournalAnswer refusal = makeRefusal(request.event, wire::JOURNAL_STATE_UNAVAILABLE);
        std::get<wire::JournalBegun>(refusal).set_not_recorded(true);
        actions.emplace_back(JournalReply{request.requestId, std::move(refusal)});
        return;
    }
    JournalDecision decision = this->decide(request.event, now);
    std::optional<wire::JournalEntry> record = std::exchange(decision.record, std::nullopt);
    const bool isIntent = decision.state == wire::JOURNAL_STATE_NEW;
    JournalDeferredReply reply{request.requestId, {}, keyOf(request.event), request.arrived, record.has_value()};
    const std::uint64_t sequence = record.has_value() ? this->queue.push(std::move(*record), isIntent) : this->queue.lastPendingSequence(reply.key);
    const bool finished = decision.state == wire::JOURNAL_STATE_FINISHED;
    reply.answer = makeAnswer(request.event, decision, finished ? this->resultOf(reply.key) : wire::RecordedResult());
    if (sequence != 0) {
        this->deferredReplies.add(sequence, std::move(reply));
    } else {
        actions.emplace_back(JournalReply{reply.requestId, std::move(reply.answer)});
    }
}

// For a result that is not in memory, the reply names the chain object that holds it. The requesting host reads it from the store.
wire::RecordedResult JournalShard::resultOf(const std::string &key) const
{
    const wire::RecordedResult *result = this->queue.resultOf(this->queue.lastPendingSequence(key));
    result = result == nullptr ? this->resultCache.find(key) : result;
    if (result != nullptr) {
        return *result;
    }
    wire::RecordedResult reference;
    reference.set_journal_object(this->keys.object(this->index.find(key)->reference));
    return reference;
}

void JournalShard::evaluateWaiting(absl::Time now, JournalActions &actions)
{
    for (const JournalRequest &request : std::exchange(this->waitingRequests, {})) {
        this->evaluate(request, now, actions);
    }
}

void JournalShard::timeOutWaiting(absl::Time now, JournalActions &actions)
{
    while (!this->waitingRequests.empty() && this->waitingRequests.front().arrived + this->settings.requestTimeout <= now) {
        const JournalRequest &oldest = this->waitingRequests.front();
        actions.emplace_back(JournalReply{oldest.requestId, makeRefusal(oldest.event, wire::JOURNAL_STATE_UNAVAILABLE)});
        this->waitingRequests.pop_front();
    }
}

// An intent whose request has timed out is withdrawn, so that it doesn't block its key until its deadline.
void JournalShard::timeOutDeferred(absl::Time now, JournalActions &actions)
{
    const auto neverStarted = [this](const JournalDeferredReply &reply, std::uint64_t sequence) { return this->provenNeverStarted(reply, sequence); };
    for (const std::uint64_t sequence : this->deferredReplies.expire(now - this->settings.requestTimeout, neverStarted, actions)) {
        if (this->queue.withdraw(sequence)) {
            this->deferredReplies.refuse(sequence, actions);
        }
    }
}

void JournalShard::refuseWaiting(JournalActions &actions)
{
    for (const JournalRequest &request : std::exchange(this->waitingRequests, {})) {
        actions.emplace_back(JournalReply{request.requestId, makeRefusal(request.event, wire::JOURNAL_STATE_NOT_HOLDER)});
    }
}

// Holds only for a record that is still queued. One that was sent may become durable later, and another host may then read it as a started
// attempt. This host must be known as the holder at a time after the arrival: at the same instant another host may have taken over in between.
bool JournalShard::provenNeverStarted(const JournalDeferredReply &reply, std::uint64_t sequence) const
{
    if (!this->held || this->knownHolderAt <= reply.arrived) {
        return false;
    }
    const JournalQueuedRecord *queued = this->queue.find(sequence);
    return queued != nullptr && !queued->record.earlier_attempts();
}

bool JournalShard::grantValid(const JournalDeferredReply &reply, absl::Time now) const
{
    const JournalKeyState *current = this->index.find(reply.key);
    return current != nullptr && current->attempt == std::get<wire::JournalBegun>(reply.answer).attempt() && !current->notRun && !current->finished
           && absl::ToUnixMicros(now) < current->deadlineUs;
}

// ---- Takeover ----

JournalActions JournalShard::takeOver(absl::Time)
{
    JournalActions actions;
    if (this->step == Step::Idle) {
        this->reset();
        this->restartTakeover(actions);
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
    this->startNextWrite(now, actions);
    return actions;
}

void JournalShard::restartTakeover(JournalActions &actions)
{
    this->replay.start();
    this->sendRead(Step::ReadRoot, this->keys.root(), actions);
}

void JournalShard::handleSnapshotRoot(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    if (!result.answered || !this->replay.loadRoot(result.object)) {
        this->scheduleRetry(Step::ReadRoot, now);
        return;
    }
    this->nextObjectNumber = this->replay.snapshotNumber() + 1;
    this->readNextSnapshotPart(actions);
}

void JournalShard::readNextSnapshotPart(JournalActions &actions)
{
    const std::optional<std::size_t> part = this->replay.nextPart();
    if (part.has_value()) {
        this->sendRead(Step::ReadPart, this->keys.part(this->replay.snapshotNumber(), *part), actions);
    } else {
        this->sendRead(Step::Replay, this->keys.object(this->nextObjectNumber), actions);
    }
}

void JournalShard::handleSnapshotPart(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    if (result.answered && !result.object.has_value()) {
        // The parts of a snapshot are deleted once a newer snapshot is written.
        this->restartTakeover(actions);
    } else if (!result.answered || !this->replay.loadPart(result.object->value)) {
        this->scheduleRetry(Step::ReadPart, now);
    } else {
        this->readNextSnapshotPart(actions);
    }
}

void JournalShard::handleChainObject(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    if (result.answered && !result.object.has_value()) {
        this->append.startOpening(now);
        this->sendAppend(now, actions);
    } else if (!result.answered || !this->replay.replayObject(this->nextObjectNumber, result.object->value)) {
        this->scheduleRetry(Step::Replay, now);
    } else {
        ++this->nextObjectNumber;
        this->sendRead(Step::Replay, this->keys.object(this->nextObjectNumber), actions);
    }
}

// ---- Appending ----

void JournalShard::startNextWrite(absl::Time now, JournalActions &actions)
{
    if (this->step != Step::Ready) {
        return;
    }
    if (this->releasing && this->compaction.active()) {
        this->compaction.postpone(now);
    }
    if (!this->releasing && this->compaction.due(this->nextObjectNumber - 1, now)) {
        this->compaction.start(this->nextObjectNumber - 1, now);
        this->snapshotPartNext = true;
    }
    const bool appendDue = !this->queue.empty() && now >= this->lastAppendAt + this->settings.appendInterval;
    if (this->compaction.active() && (this->snapshotPartNext || !appendDue)) {
        this->snapshotPartNext = false;
        this->continueSnapshot(now, actions);
    } else if (appendDue) {
        this->snapshotPartNext = true;
        this->append.start(this->queue.takeBatch(this->settings.maxObjectBytes), now);
        this->sendAppend(now, actions);
    } else if (this->queue.empty() && this->releasing) {
        this->sendClosing(now, actions);
    }
}

void JournalShard::sendClosing(absl::Time now, JournalActions &actions)
{
    this->append.startClosing(now);
    this->sendWrite(Step::Close, {0, this->keys.object(this->nextObjectNumber), this->append.bytes(), Precondition::absent()}, actions);
}

void JournalShard::sendAppend(absl::Time now, JournalActions &actions)
{
    this->append.noteSent();
    this->lastAppendAt = now;
    this->sendWrite(Step::Append, {0, this->keys.object(this->nextObjectNumber), this->append.bytes(), Precondition::absent()}, actions);
}

void JournalShard::sendProbe(absl::Time now, JournalActions &actions)
{
    this->probeSentAt = now;
    this->sendRead(Step::Probe, this->keys.object(this->nextObjectNumber), actions);
}

void JournalShard::applyOutcome(JournalAppendOutcome outcome, const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    switch (outcome) {
    case JournalAppendOutcome::Durable:
        this->handleDurable(now, actions);
        break;
    case JournalAppendOutcome::VerifySnapshot:
        this->sendRead(Step::Verify, this->keys.root(), actions);
        break;
    case JournalAppendOutcome::ReadBack:
        this->sendRead(Step::ReadBack, this->keys.object(this->nextObjectNumber), actions);
        break;
    case JournalAppendOutcome::RetryWrite:
        this->scheduleRetry(Step::Append, now);
        break;
    case JournalAppendOutcome::RetryRead:
        this->scheduleRetry(Step::ReadBack, now);
        break;
    case JournalAppendOutcome::NotWritten:
        this->queue.requeueBatch();
        this->scheduleRetry(Step::Probe, now);
        break;
    case JournalAppendOutcome::ShardLost:
        this->loseShard(actions);
        break;
    case JournalAppendOutcome::RestartTakeover:
        this->restartTakeover(actions);
        break;
    case JournalAppendOutcome::OtherObject:
        this->handleChainObject(result, now, actions);
        break;
    }
}

void JournalShard::handleVerification(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    wire::JournalSnapshot root;
    if (!result.answered || (result.object.has_value() && !root.ParseFromString(result.object->value))) {
        this->scheduleRetry(Step::Verify, now);
        return;
    }
    this->applyOutcome(this->append.checkSnapshot(root.number(), this->replay.snapshotNumber(), this->nextObjectNumber), result, now, actions);
}

void JournalShard::handleDurable(absl::Time now, JournalActions &actions)
{
    if (this->append.opening()) {
        this->fences.noteOpening(this->nextObjectNumber, this->append.writer());
    }
    this->compaction.addObject(this->nextObjectNumber, this->append.bytes().size());
    this->knownHolderAt = std::max(this->knownHolderAt, this->append.firstSentAt());
    this->backoff.resetDelay();
    this->step = Step::Ready;
    this->held = true;
    this->commitBatch(now, actions);
    this->evaluateWaiting(now, actions);
    this->startNextWrite(now, actions);
}

void JournalShard::commitBatch(absl::Time now, JournalActions &actions)
{
    const std::vector<JournalQueuedRecord> records = this->queue.commitBatch(this->nextObjectNumber++);
    for (const JournalQueuedRecord &queued : records) {
        if (queued.record.finished()) {
            this->resultCache.put(queued.record.key(), queued.record.result());
        }
        this->endAbandoned(queued, now);
    }
    if (!records.empty()) {
        const auto valid = [this, now](const JournalDeferredReply &reply, std::uint64_t) { return this->grantValid(reply, now); };
        this->deferredReplies.release(records.back().sequence, valid, actions);
    }
}

void JournalShard::endAbandoned(const JournalQueuedRecord &queued, absl::Time now)
{
    if (!queued.isIntent || (!queued.abandoned && absl::ToUnixMicros(now) < queued.record.deadline_us())) {
        return;
    }
    JournalDecision decision = this->index.finish({queued.record.key(), queued.record.attempt(), {}, true}, now);
    if (decision.record.has_value()) {
        this->queue.push(std::move(*decision.record), false);
    }
}

void JournalShard::handleProbe(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    if (!result.answered) {
        this->scheduleRetry(Step::Probe, now);
        return;
    }
    if (result.object.has_value()) {
        this->loseShard(actions);
        return;
    }
    this->knownHolderAt = std::max(this->knownHolderAt, this->probeSentAt);
    this->step = Step::Ready;
    this->startNextWrite(now, actions);
}

void JournalShard::loseShard(JournalActions &actions)
{
    this->deferredReplies.refuseAll(wire::JOURNAL_STATE_NOT_HOLDER, actions);
    this->refuseWaiting(actions);
    this->reset();
}

void JournalShard::reset()
{
    this->index.clear();
    this->fences.clear();
    this->resultCache.clear();
    this->queue.clear();
    this->deferredReplies.clear();
    this->waitingRequests.clear();
    this->compaction.clear();
    this->backoff.clear();
    this->step = Step::Idle;
    this->held = false;
    this->releasing = false;
    this->outstandingTicket = 0;
    this->knownHolderAt = absl::InfinitePast();
}

// ---- Compaction ----

void JournalShard::continueSnapshot(absl::Time now, JournalActions &actions)
{
    std::optional<JournalWriteObject> part = this->compaction.nextPart(now);
    if (part.has_value()) {
        this->sendWrite(Step::WritePart, std::move(*part), actions);
    } else {
        this->sendRead(Step::RecheckRoot, this->keys.root(), actions);
    }
}

void JournalShard::handlePartWritten(const WriteResult &result, absl::Time now, JournalActions &actions)
{
    if (result.outcome != WriteOutcome::Applied) {
        this->postponeSnapshot(now, actions);
        return;
    }
    this->step = Step::Ready;
    this->startNextWrite(now, actions);
}

void JournalShard::handleRootRecheck(const JournalReadResult &result, absl::Time now, JournalActions &actions)
{
    wire::JournalSnapshot root;
    if (!result.answered || (result.object.has_value() && !root.ParseFromString(result.object->value))) {
        this->postponeSnapshot(now, actions);
    } else if (root.number() >= this->nextObjectNumber) {
        this->loseShard(actions);
    } else {
        this->sendWrite(Step::WriteRoot, this->compaction.makeRootWrite(result.object, root), actions);
    }
}

void JournalShard::handleRootWritten(const WriteResult &result, absl::Time now, JournalActions &actions)
{
    if (result.outcome != WriteOutcome::Applied) {
        this->postponeSnapshot(now, actions);
        return;
    }
    actions.emplace_back(this->compaction.finish());
    this->step = Step::Ready;
    this->startNextWrite(now, actions);
}

void JournalShard::postponeSnapshot(absl::Time now, JournalActions &actions)
{
    this->compaction.postpone(now);
    this->step = Step::Ready;
    this->startNextWrite(now, actions);
}

// ---- Store calls ----

JournalActions JournalShard::handleReadResult(std::uint64_t ticket, const JournalReadResult &result, absl::Time now)
{
    JournalActions actions;
    if (ticket != this->outstandingTicket) {
        return actions;
    }
    this->outstandingTicket = 0;
    switch (this->step) {
    case Step::ReadRoot:
        this->handleSnapshotRoot(result, now, actions);
        break;
    case Step::ReadPart:
        this->handleSnapshotPart(result, now, actions);
        break;
    case Step::Replay:
        this->handleChainObject(result, now, actions);
        break;
    case Step::ReadBack:
        this->applyOutcome(this->append.handleReadBack(result), result, now, actions);
        break;
    case Step::Verify:
        this->handleVerification(result, now, actions);
        break;
    case Step::Probe:
        this->handleProbe(result, now, actions);
        break;
    case Step::RecheckRoot:
        this->handleRootRecheck(result, now, actions);
        break;
    default:
        break;
    }
    return actions;
}

JournalActions JournalShard::handleWriteResult(std::uint64_t ticket, const WriteResult &result, absl::Time now)
{
    JournalActions actions;
    if (ticket != this->outstandingTicket) {
        return actions;
    }
    this->outstandingTicket = 0;
    if (this->step == Step::Append) {
        this->applyOutcome(this->append.handleWriteOutcome(result.outcome), {}, now, actions);
    } else if (this->step == Step::WritePart) {
        this->handlePartWritten(result, now, actions);
    } else if (this->step == Step::WriteRoot) {
        this->handleRootWritten(result, now, actions);
    } else if (this->step == Step::Close) {
        this->reset();
    }
    return actions;
}

JournalActions JournalShard::tick(absl::Time now)
{
    JournalActions actions;
    this->timeOutWaiting(now, actions);
    this->timeOutDeferred(now, actions);
    if (this->backoff.takeDue(now)) {
        this->retryCall(now, actions);
    }
    this->startNextWrite(now, actions);
    this->index.evict(static_cast<std::size_t>(static_cast<double>(this->indexMemoryLimit) * evictionShare), now);
    this->nextSweepSlot = this->nextSweepSlot < this->index.slotCount() ? this->nextSweepSlot : 0;
    this->index.sweep(this->nextSweepSlot, slotsPerTick, now);
    this->nextSweepSlot += slotsPerTick;
    return actions;
}

void JournalShard::setMemoryLimit(std::size_t bytes)
{
    this->resultCache.setLimit(bytes / resultCacheDivisor);
    this->indexMemoryLimit = bytes - bytes / resultCacheDivisor;
}

void JournalShard::retryCall(absl::Time now, JournalActions &actions)
{
    switch (this->step) {
    case Step::ReadRoot:
        this->restartTakeover(actions);
        break;
    case Step::ReadPart:
        this->readNextSnapshotPart(actions);
        break;
    case Step::Replay:
    case Step::ReadBack:
        this->sendRead(this->step, this->keys.object(this->nextObjectNumber), actions);
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

void JournalShard::scheduleRetry(Step retry, absl::Time now)
{
    this->step = retry;
    this->backoff.scheduleRetry(this->lastTicket, now);
}

void JournalShard::sendRead(Step next, const std::string &key, JournalActions &actions)
{
    this->step = next;
    this->outstandingTicket = ++this->lastTicket;
    actions.emplace_back(JournalReadObject{this->outstandingTicket, key});
}

void JournalShard::sendWrite(Step next, JournalWriteObject write, JournalActions &actions)
{
    this->step = next;
    this->outstandingTicket = ++this->lastTicket;
    write.ticket = this->outstandingTicket;
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

std::size_t JournalShard::keyCount() const
{
    return this->index.size();
}

std::size_t JournalShard::memoryUsed() const
{
    return this->index.bytes() + this->resultCache.bytes();
}

std::size_t JournalShard::resultCacheBytes() const
{
    return this->resultCache.bytes();
}

std::size_t JournalShard::queuedRecords() const
{
    return this->queue.size();
}

std::uint64_t JournalShard::nextNumber() const
{
    return this->nextObjectNumber;
}

} // namespace Bergamotramp
