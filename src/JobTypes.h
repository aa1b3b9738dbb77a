#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "HttpMessage.h"

namespace Bergamotramp {

/** A job as a caller sent it can't be read. */
class JobFormatError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** One request of a job. */
struct BatchItem {
    std::string id;
    std::string path;
    HttpFields fields;
    std::string body;
    /** Prompt tokens and the most output tokens, together. */
    std::int64_t tokens = 0;

    bool operator==(const BatchItem &) const = default;
};

/** A job as its caller sent it. */
struct SubmittedJob {
    std::string id;
    std::vector<BatchItem> items;

    [[nodiscard]] std::int64_t tokens() const;
    bool operator==(const SubmittedJob &) const = default;
};

/** What every host knows of a job; the content of its object in the store. */
struct JobRecord {
    std::string id;
    std::string host;
    std::string pathPrefix;
    /** The host that accepted the job; it runs the job until another one takes it over. */
    std::string owner;
    absl::Time submitted;
    std::int64_t tokens = 0;
    std::size_t items = 0;
    /** Objects that hold the items. */
    std::size_t inputParts = 0;

    [[nodiscard]] nlohmann::json toJson() const;
    /** Throws JobFormatError. */
    static JobRecord fromJson(const std::string &id, const nlohmann::json &json);
    bool operator==(const JobRecord &) const = default;
};

/** How far a job is; the status of its object in the store. */
struct JobProgress {
    /** The caller has ended the job. */
    bool cancelled = false;
    /** All items have a result. */
    bool finished = false;
    std::int64_t tokensFinished = 0;
    /** The host that took the job over; empty while the owner runs it. */
    std::string runner{};

    [[nodiscard]] bool open() const;
    [[nodiscard]] nlohmann::json toJson() const;
    static JobProgress fromJson(const nlohmann::json &json);
    bool operator==(const JobProgress &) const = default;
};

/** Result of one item. */
struct JobResult {
    std::string itemId;
    /** Whether the item was done; otherwise it was given up. */
    bool completed = false;
    std::string output;

    bool operator==(const JobResult &) const = default;
};

/** Results from one position on. */
struct JobPage {
    std::size_t total = 0;
    std::vector<JobResult> results;
    std::size_t next = 0;

    bool operator==(const JobPage &) const = default;
};

nlohmann::json itemsToJson(const std::vector<BatchItem> &items);
/** Throws JobFormatError. */
std::vector<BatchItem> itemsFromJson(const nlohmann::json &json);
/** One object of a job's chain of results, with the name of its writer. */
nlohmann::json resultsToJson(const std::string &writer, const std::vector<JobResult> &results);
/** Throws JobFormatError. */
std::vector<JobResult> resultsFromJson(const nlohmann::json &json);

} // namespace Bergamotramp
