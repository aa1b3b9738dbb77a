#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_set.h>

namespace Bergamotramp {

/** Thrown for invalid job input. The message is meant for the caller and gives the line number if a line is at fault. */
class JobInputError : public std::runtime_error
{
public:
    JobInputError(std::string code, const std::string &message);

    /** "invalid_line", "duplicate_id", "item_too_large", "too_many_items" or "empty_job". */
    [[nodiscard]] const std::string &code() const;

private:
    std::string errorCode;
};

struct JobInputLimits {
    std::int64_t items = 500'000;
    std::int64_t itemBytes = 256 * 1024;
};

/** A segment of a job's input that can be written to the store. */
struct InputSegment {
    std::string text;
    std::int64_t items = 0;

    bool operator==(const InputSegment &) const = default;
};

/**
 * Validates a stream of JSONL items and splits it into segments. Memory use is bounded by one segment plus eight bytes an item, for the hash of
 * its id.
 */
class JobInput
{
public:
    /** Keeps a segment object below the store's limit of 1 MB. */
    static constexpr std::size_t maxSegmentBytes = 900 * 1024;
    static constexpr std::int64_t maxSegmentItems = 500;
    /** The first segments are small, so that a small job spreads over several hosts. */
    static constexpr std::int64_t firstSegmentItems = 25;
    /** Number of segments of one size before the size doubles. */
    static constexpr std::int64_t segmentsPerSize = 8;

    explicit JobInput(JobInputLimits limits);

    /** Reads the next bytes of the input and returns the segments that they complete. Throws JobInputError. */
    std::vector<InputSegment> append(std::string_view bytes);
    /** Ends the input and returns the last segment, if it has items. Throws JobInputError. */
    std::vector<InputSegment> finish();

    [[nodiscard]] std::int64_t items() const;
    /** Hash of all items, with their number; valid after finish(). */
    [[nodiscard]] std::string digest() const;

private:
    void parseLine(std::string_view line, std::vector<InputSegment> &completeSegments);
    void addItem(const std::string &line, std::vector<InputSegment> &completeSegments);
    void throwItemTooLarge() const;
    [[nodiscard]] std::int64_t segmentItems() const;
    void closeSegment(std::vector<InputSegment> &completeSegments);

    JobInputLimits limits;
    std::string partialLine;
    std::int64_t lineNumber = 0;
    std::int64_t itemCount = 0;
    InputSegment currentSegment;
    std::int64_t segmentCount = 0;
    absl::flat_hash_set<std::uint64_t> idHashes;
    std::uint64_t hash = 0;
};

} // namespace Bergamotramp
