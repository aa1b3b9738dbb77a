#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <absl/time/time.h>

#include "EventLoop.h"
#include "JobArchive.h"
#include "JobTypes.h"

namespace Bergamotramp {

/** What became of a job that was to be written to the store. */
struct JobWriteResult {
    enum class Outcome {
        Written,
        /** A job with this id had been written before. */
        Exists,
        /** The store can not be used. Without its header the job does not exist. */
        NotWritten,
        /** The store's answer was lost; the job may have been written. */
        Unknown,
    };

    Outcome outcome = Outcome::Unknown;
    /** The header as it was written. */
    JobRecord header;
    /** Store revision of a written header; 0 if the store did not tell it. */
    std::uint64_t revision = 0;
    /** When the call was sent that wrote the header, on a clock that includes suspensions. */
    absl::Time sent;

    bool operator==(const JobWriteResult &) const = default;
};

/** Writes new jobs to the store: the items first, then the header, which makes the job exist. */
class JobWriter
{
public:
    using Handler = std::function<void(const JobWriteResult &)>;

    JobWriter(EventLoop &loop, JobArchive &archive);

    /** Repeats calls that get no answer until @p retryUntil. */
    void write(std::shared_ptr<const SubmittedJob> submission, JobRecord header, absl::Time retryUntil, Handler done);

private:
    struct Write {
        std::shared_ptr<const SubmittedJob> submission;
        JobRecord header;
        absl::Time retryUntil;
        Handler done;
        /** Whether an unanswered call may have written the header. */
        bool mayBeWritten = false;
    };

    void writeItems(const std::shared_ptr<Write> &write);
    void writeHeader(const std::shared_ptr<Write> &write);
    void onHeaderReply(const std::shared_ptr<Write> &write, absl::Time sent, const ObjectReply &reply);

    EventLoop &loop;
    JobArchive &archive;
};

} // namespace Bergamotramp
