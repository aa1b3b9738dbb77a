#include "JobWriter.h"

#include <utility>

namespace Bergamotramp {

JobWriter::JobWriter(EventLoop &loop, JobArchive &archive) : loop(loop), archive(archive)
{
}

void JobWriter::write(std::shared_ptr<const SubmittedJob> submission, JobRecord header, absl::Time retryUntil, Handler done)
{
    this->writeItems(
        std::make_shared<Write>(Write{.submission = std::move(submission), .header = std::move(header), .retryUntil = retryUntil, .done = std::move(done)}));
}

void JobWriter::writeItems(const std::shared_ptr<Write> &write)
{
    this->archive.writeItems(*write->submission, [this, write](StoreResult result, std::size_t parts) {
        if (result == StoreResult::Done) {
            write->header.inputParts = parts;
            this->writeHeader(write);
        } else if (result == StoreResult::Unanswered && this->loop.now() < write->retryUntil) {
            this->writeItems(write);
        } else {
            // Without a header, stored items do not make a job.
            write->done({.outcome = JobWriteResult::Outcome::NotWritten, .header = write->header, .sent = absl::InfinitePast()});
        }
    });
}

void JobWriter::writeHeader(const std::shared_ptr<Write> &write)
{
    const absl::Time sent = this->loop.nowIncludingSuspend();
    this->archive.writeHeader(write->header, [this, write, sent](const ObjectReply &reply) { this->onHeaderReply(write, sent, reply); });
}

void JobWriter::onHeaderReply(const std::shared_ptr<Write> &write, absl::Time sent, const ObjectReply &reply)
{
    JobWriteResult result{.header = write->header, .revision = reply.object ? reply.object->revision : 0, .sent = sent};
    write->mayBeWritten = write->mayBeWritten || reply.result == StoreResult::Unanswered;
    if (reply.result == StoreResult::Done) {
        result.outcome = JobWriteResult::Outcome::Written;
    } else if (reply.result == StoreResult::Conflict) {
        result.outcome = JobWriteResult::Outcome::Exists;
    } else if (write->mayBeWritten && this->loop.now() < write->retryUntil) {
        // Only an answer tells whether the job exists, so the create call is repeated until there is one.
        this->writeHeader(write);
        return;
    } else {
        result.outcome = write->mayBeWritten ? JobWriteResult::Outcome::Unknown : JobWriteResult::Outcome::NotWritten;
    }
    write->done(result);
}

} // namespace Bergamotramp
