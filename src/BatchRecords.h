#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Thrown when a batch record in the store is malformed. */
class BatchRecordError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

enum class JobState {
    Running,
    /** The cancellation is stored; segments are still being closed. */
    Cancelling,
    Cancelled,
    Completed,
};

/** "running", "cancelling", "cancelled" or "completed". */
std::string jobStateName(JobState state);

/** Identifies a job in the store. */
struct JobId {
    std::string organisation;
    /** Hash of the organisation and the idempotency key, so that every host maps a resent job to the first one. */
    std::string id;

    auto operator<=>(const JobId &) const = default;

    static JobId of(const std::string &organisation, const std::string &idempotencyKey);
    [[nodiscard]] std::string manifestKey() const;
    /** Key of an input segment of one upload. If a job is uploaded more than once, only the upload in the manifest is read. */
    [[nodiscard]] std::string inputKey(const std::string &upload, std::int64_t segment) const;
    [[nodiscard]] std::string progressPrefix() const;
    [[nodiscard]] std::string progressKey(std::int64_t segment) const;
    [[nodiscard]] std::string outputKey(std::int64_t segment, const std::string &part) const;
    /** Key of the index entry that lists the job under its organisation. */
    [[nodiscard]] std::string indexKey() const;
    /** Key of the index entry that lists the job while it is not finished. */
    [[nodiscard]] std::string activeKey() const;
    /** Prefix of the index keys of an organisation's jobs. */
    static std::string indexPrefix(const std::string &organisation);
};

inline constexpr std::string_view activeJobsPrefix = "active-jobs/";

/** The manifest of a job in the store. */
struct JobManifest {
    JobId job;
    std::string idempotencyKey;
    std::string service;
    /** Hash of the input items; distinguishes a resent job from a different one with the same idempotency key. */
    std::string digest;
    std::string uploadId;
    std::int64_t items = 0;
    std::int64_t segments = 0;
    absl::Time created;
    absl::Time due;
    JobState state = JobState::Running;
    /** Final counts; valid in the states Cancelled and Completed. */
    std::int64_t completed = 0;
    std::int64_t failed = 0;

    bool operator==(const JobManifest &) const = default;

    [[nodiscard]] std::string toJsonText() const;
    /** Throws BatchRecordError. */
    static JobManifest fromJsonText(std::string_view text);
};

/** Which host works on a segment and which of its items are finished. */
struct SegmentProgress {
    /** Increases with every claim. */
    std::uint64_t epoch = 0;
    /** Name and incarnation of the host that has claimed the segment; the name is empty if none has. */
    std::string holder;
    std::uint64_t holderIncarnation = 0;
    /** One character an item: openItem, completedItem or failedItem. */
    std::string items;
    /** Names of the output parts that hold the results of the finished items. */
    std::vector<std::string> outputs;
    /** The job was cancelled and the segment is closed: no more results may be committed. */
    bool cancelled = false;

    static constexpr char openItem = '.';
    static constexpr char completedItem = 'c';
    static constexpr char failedItem = 'f';

    bool operator==(const SegmentProgress &) const = default;

    [[nodiscard]] bool finished() const;
    [[nodiscard]] std::int64_t count(char state) const;
    [[nodiscard]] std::string toJsonText() const;
    /** Throws BatchRecordError. */
    static SegmentProgress fromJsonText(std::string_view text);
};

/** One item of an input segment. Not to be confused with BatchItem, an item of a job that the Job class runs. */
struct SegmentItem {
    std::string customId;
    /** JSON text. */
    std::string body;

    bool operator==(const SegmentItem &) const = default;
};

/** Parses the items of an input segment. Throws BatchRecordError. */
std::vector<SegmentItem> parseSegment(std::string_view text);

} // namespace Bergamotramp
