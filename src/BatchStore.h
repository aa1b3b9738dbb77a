#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "BatchRecords.h"
#include "StoreClient.h"

namespace Bergamotramp {

/** A manifest as read from the store, with the version of its object. */
struct StoredManifest {
    JobManifest manifest;
    std::uint64_t version = 0;
};

/** Reads and writes the records of batch jobs in the store. Thread-safe; calls block and throw StoreError when the store doesn't answer. */
class BatchStore
{
public:
    explicit BatchStore(StoreClient &client);

    std::optional<StoredManifest> readManifest(const JobId &job);
    /** Progress records by segment; a segment that was never claimed has none. */
    std::map<std::int64_t, StoredObject> readProgress(const JobId &job);
    std::optional<StoredObject> readSegmentProgress(const JobId &job, std::int64_t segment);
    std::vector<SegmentItem> readSegment(const JobManifest &manifest, std::int64_t segment);
    std::string readOutput(const JobId &job, std::int64_t segment, const std::string &part);
    /** Jobs in the index of active jobs; it may still contain jobs that have just ended. */
    std::vector<JobId> activeJobs();
    /** Ids of an organisation's jobs. */
    std::vector<std::string> jobIds(const std::string &organisation);

    /** Writes an object whose key is only ever used for this content; retries a few times, then throws StoreError. */
    void writeUnique(const std::string &key, const std::string &value);
    /** Writes the index entries and then the manifest; returns the stored manifest, which may be that of an earlier submission. */
    JobManifest createJob(const JobManifest &manifest);
    /** Changes the state of a job if it is in state @p from; returns the manifest stored afterwards. */
    JobManifest changeState(const JobId &job, JobState from, JobState to, std::int64_t completed, std::int64_t failed);
    void removeActive(const JobId &job);
    void removeInput(const JobId &job, const std::string &upload, std::int64_t segments);
    WriteResult putProgress(const JobId &job, std::int64_t segment, const SegmentProgress &progress, Precondition precondition);
    /** Closes a segment of a cancelled job against further commits. */
    void closeSegment(const JobManifest &manifest, std::int64_t segment, std::optional<StoredObject> stored);

private:
    StoreClient &client;
};

} // namespace Bergamotramp
