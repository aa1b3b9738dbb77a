#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** A batch record in the store can't be read. */
class BatchRecordError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

enum class JobState {
    Running,
    /** The cancellation is durable; segments are still being closed. */
    Cancelling,
    Cancelled,
    Completed,
};

/** "running", "cancelling", "cancelled" or "completed". */
std::string jobStateName(JobState state);

/** Names a job in the store. */
struct JobId {
    std::string organisation;
    /** Derived from organisation and key, so that a resent job finds the first one on any host. */
    std::string id;

    auto operator<=>(const JobId &) const = default;

    static JobId of(const std::string &organisation, const std::string &key);
    [[nodiscard]] std::string manifestKey() const;
    /** Segments of one upload; uploads of the same job that lost against the first one are never read. */
    [[nodiscard]] std::string inputKey(const std::string &upload, std::int64_t segment) const;
    [[nodiscard]] std::string progressPrefix() const;
    [[nodiscard]] std::string progressKey(std::int64_t segment) const;
    [[nodiscard]] std::string outputKey(std::int64_t segment, const std::string &part) const;
    /** Lists the jobs of an organisation. */
    [[nodiscard]] std::string indexKey() const;
    /** Lists the jobs that are not finished. */
    [[nodiscard]] std::string activeKey() const;
    /** Key prefix of the index of an organisation. */
    static std::string indexPrefix(const std::string &organisation);
};

inline constexpr std::string_view activeJobsPrefix = "active-jobs/";

/** A job, as its manifest in the store says. */
struct JobManifest {
    JobId job;
    std::string key;
    std::string service;
    /** Hash of the input's bytes: tells a resent job from another one under the same key. */
    std::string digest;
    std::string upload;
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

/** Who works on a segment and which of its items are finished. */
struct SegmentProgress {
    /** Grows with every claim. */
    std::uint64_t epoch = 0;
    /** Name and incarnation of the host that works on the segment; empty for none. */
    std::string holder;
    std::uint64_t holderIncarnation = 0;
    /** One character an item: openItem, completedItem or failedItem. */
    std::string items;
    /** Output parts that hold the results of the finished items. */
    std::vector<std::string> outputs;
    /** Nothing more may be committed. */
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

/** One item of a job. */
struct JobItem {
    std::string customId;
    /** JSON text. */
    std::string body;

    bool operator==(const JobItem &) const = default;
};

/** Reads the items of an input segment; throws BatchRecordError. */
std::vector<JobItem> parseSegment(std::string_view text);

} // namespace Bergamotramp
