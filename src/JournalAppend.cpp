#include "JournalAppend.h"

#include <utility>

namespace Bergamotramp {

JournalAppend::JournalAppend(std::string host, std::uint64_t incarnation) : host(std::move(host)), incarnation(incarnation)
{
}

void JournalAppend::startOpening(absl::Time now)
{
    this->serialized = this->newObject(true, now).SerializeAsString();
}

void JournalAppend::startClosing(absl::Time now)
{
    wire::JournalObject object = this->newObject(false, now);
    object.set_closing(true);
    this->serialized = object.SerializeAsString();
}

void JournalAppend::start(const std::vector<JournalQueuedRecord> &records, absl::Time now)
{
    wire::JournalObject object = this->newObject(false, now);
    for (const JournalQueuedRecord &queued : records) {
        *object.add_entries() = queued.record;
    }
    this->serialized = object.SerializeAsString();
}

wire::JournalObject JournalAppend::newObject(bool opening, absl::Time now)
{
    this->firstSendTime = now;
    this->isOpening = opening;
    this->inDoubt = false;
    this->repeated = false;
    wire::JournalObject object;
    *object.mutable_writer() = this->writer();
    object.set_write_number(++this->writeNumber);
    object.set_opening(opening);
    return object;
}

wire::HostId JournalAppend::writer() const
{
    wire::HostId writer;
    writer.set_name(this->host);
    writer.set_incarnation(this->incarnation);
    return writer;
}

void JournalAppend::noteSent()
{
    this->repeated = this->repeated || this->inDoubt;
}

JournalAppendOutcome JournalAppend::handleWriteOutcome(WriteOutcome outcome)
{
    switch (outcome) {
    case WriteOutcome::Applied:
        return this->handleCreated();
    case WriteOutcome::Unanswered:
        this->inDoubt = true;
        return JournalAppendOutcome::ReadBack;
    case WriteOutcome::Conflict:
        return JournalAppendOutcome::ReadBack;
    case WriteOutcome::Unavailable:
        break;
    }
    return this->isOpening || this->inDoubt ? JournalAppendOutcome::RetryWrite : JournalAppendOutcome::NotWritten;
}

JournalAppendOutcome JournalAppend::handleReadBack(const JournalReadResult &result) const
{
    wire::JournalObject object;
    if (!result.answered || (result.object.has_value() && !object.ParseFromString(result.object->value))) {
        return JournalAppendOutcome::RetryRead;
    }
    if (!result.object.has_value() && this->inDoubt) {
        return JournalAppendOutcome::RetryWrite;
    }
    const bool own = result.object.has_value() && object.writer().name() == this->host && object.writer().incarnation() == this->incarnation
                     && object.write_number() == this->writeNumber;
    if (own) {
        return this->handleCreated();
    }
    if (!this->isOpening) {
        return JournalAppendOutcome::ShardLost;
    }
    return result.object.has_value() ? JournalAppendOutcome::OtherObject : JournalAppendOutcome::RestartTakeover;
}

// A successful write proves nothing if an earlier object with the same number was deleted. This can happen to two kinds of writes. For an
// opening, the chain may have been compacted while it was read. For a repeated write, the first attempt may have been applied, covered by a
// snapshot and deleted.
JournalAppendOutcome JournalAppend::handleCreated() const
{
    return this->isOpening || this->repeated ? JournalAppendOutcome::VerifySnapshot : JournalAppendOutcome::Durable;
}

JournalAppendOutcome JournalAppend::checkSnapshot(std::uint64_t currentSnapshot, std::uint64_t loadedSnapshot, std::uint64_t objectNumber) const
{
    if (this->isOpening && currentSnapshot != loadedSnapshot) {
        return JournalAppendOutcome::RestartTakeover;
    }
    return currentSnapshot >= objectNumber ? JournalAppendOutcome::ShardLost : JournalAppendOutcome::Durable;
}

const std::string &JournalAppend::bytes() const
{
    return this->serialized;
}

bool JournalAppend::opening() const
{
    return this->isOpening;
}

absl::Time JournalAppend::firstSentAt() const
{
    return this->firstSendTime;
}

} // namespace Bergamotramp
