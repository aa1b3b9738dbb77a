#include "JournalAppend.h"

#include <utility>

namespace Bergamotramp {

JournalAppend::JournalAppend(std::string host, std::uint64_t incarnation) : host(std::move(host)), incarnation(incarnation)
{
}

void JournalAppend::startOpening(absl::Time now)
{
    this->text = this->begin(true, now).SerializeAsString();
}

void JournalAppend::startClosing(absl::Time now)
{
    wire::JournalObject object = this->begin(false, now);
    object.set_closing(true);
    this->text = object.SerializeAsString();
}

void JournalAppend::start(const std::vector<JournalQueued> &records, absl::Time now)
{
    wire::JournalObject object = this->begin(false, now);
    for (const JournalQueued &queued : records) {
        *object.add_entries() = queued.record;
    }
    this->text = object.SerializeAsString();
}

wire::JournalObject JournalAppend::begin(bool opening, absl::Time now)
{
    this->sentAt = now;
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

void JournalAppend::sent()
{
    this->repeated = this->repeated || this->inDoubt;
}

JournalVerdict JournalAppend::settled(WriteOutcome outcome)
{
    switch (outcome) {
    case WriteOutcome::Applied:
        return this->created();
    case WriteOutcome::Unanswered:
        this->inDoubt = true;
        return JournalVerdict::ReadBack;
    case WriteOutcome::Conflict:
        return JournalVerdict::ReadBack;
    case WriteOutcome::Unavailable:
        break;
    }
    return this->isOpening || this->inDoubt ? JournalVerdict::RepeatWrite : JournalVerdict::NotWritten;
}

JournalVerdict JournalAppend::readBack(const JournalReadResult &result) const
{
    wire::JournalObject object;
    if (!result.answered || (result.object.has_value() && !object.ParseFromString(result.object->value))) {
        return JournalVerdict::RepeatRead;
    }
    if (!result.object.has_value() && this->inDoubt) {
        return JournalVerdict::RepeatWrite;
    }
    const bool own = result.object.has_value() && object.writer().name() == this->host && object.writer().incarnation() == this->incarnation
                     && object.write_number() == this->writeNumber;
    if (own) {
        return this->created();
    }
    if (!this->isOpening) {
        return JournalVerdict::Lost;
    }
    return result.object.has_value() ? JournalVerdict::Foreign : JournalVerdict::Reload;
}

// Creating an object proves nothing where an object was deleted before. Two writes can meet that: an opening, because the chain may have
// been compacted while it was read, and a repeated write, because the first one may have been applied, covered by a snapshot and deleted.
JournalVerdict JournalAppend::created() const
{
    return this->isOpening || this->repeated ? JournalVerdict::Verify : JournalVerdict::Durable;
}

JournalVerdict JournalAppend::verified(std::uint64_t root, std::uint64_t loadedRoot, std::uint64_t number) const
{
    if (this->isOpening && root != loadedRoot) {
        return JournalVerdict::Reload;
    }
    return root >= number ? JournalVerdict::Lost : JournalVerdict::Durable;
}

const std::string &JournalAppend::bytes() const
{
    return this->text;
}

bool JournalAppend::opening() const
{
    return this->isOpening;
}

absl::Time JournalAppend::firstSent() const
{
    return this->sentAt;
}

} // namespace Bergamotramp
