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

/** Thrown when a submitted or stored job is malformed. */
class JobFormatError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** One item of a job: the request that is sent to an upstream. The items of a BatchSegment have a type of their own, SegmentItem. */
struct BatchItem {
    std::string id;
    std::string path;
    HttpFields fields;
    std::string body;
    /** Prompt tokens plus the maximum number of output tokens. */
    std::int64_t tokens = 0;

    bool operator==(const BatchItem &) const = default;
};

/** The most tokens of one item. */
constexpr std::int64_t maxItemTokens = 1'000'000'000;
/** Reads the tokens of an item, from 0 to maxItemTokens; throws JobFormatError. */
std::int64_t readItemTokens(const nlohmann::json &json);
/** Throws JobFormatError if the id, the path or a header field of @p item can't be a part of a request's head. */
void checkItem(const BatchItem &item);

/** A job as its caller submitted it. */
struct SubmittedJob {
    std::string id;
    std::vector<BatchItem> items;

    [[nodiscard]] std::int64_t tokens() const;
    bool operator==(const SubmittedJob &) const = default;
};

/** The description of a job, available to every host; stored as the content of the job's object. */
struct JobRecord {
    std::string id;
    /** The Host field of the caller's request, without the port; selects the route together with the path prefix. */
    std::string virtualHost;
    std::string pathPrefix;
    /** The host that accepted the job; it runs the job until another one takes it over. */
    std::string owner;
    absl::Time submitted;
    std::int64_t tokens = 0;
    std::size_t items = 0;
    /** Number of store objects that hold the items. */
    std::size_t inputParts = 0;
    /** The organisation that the job belongs to; empty if none. */
    std::string organisation{};

    [[nodiscard]] nlohmann::json toJson() const;
    /** Throws JobFormatError. */
    static JobRecord fromJson(const std::string &id, const nlohmann::json &json);
    bool operator==(const JobRecord &) const = default;
};

/** The progress of a job; stored as the status of the job's object. */
struct JobProgress {
    /** The caller has cancelled the job. */
    bool cancelled = false;
    /** Every item has a stored result. */
    bool finished = false;
    std::int64_t tokensFinished = 0;
    /** The host that took the job over; empty while the owner runs it. */
    std::string runner{};

    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] nlohmann::json toJson() const;
    static JobProgress fromJson(const nlohmann::json &json);
    bool operator==(const JobProgress &) const = default;
};

/** Result of one item. */
struct JobResult {
    std::string itemId;
    /** Whether the output is complete; false for an item that failed and is not run again. */
    bool completed = false;
    std::string output;

    bool operator==(const JobResult &) const = default;
};

/** Number of runs of an item that failed at an upstream. */
struct ItemFailures {
    std::string itemId;
    int failures = 0;

    bool operator==(const ItemFailures &) const = default;
};

/** Content of one object in a job's chain of result objects. */
struct ResultObject {
    std::vector<JobResult> results;
    /** Items without a result whose number of failed runs has grown. A host that takes the job over continues the count. */
    std::vector<ItemFailures> failures{};

    bool operator==(const ResultObject &) const = default;
};

/** Stored results of a job, starting at the requested position. */
struct JobPage {
    std::size_t totalItems = 0;
    std::vector<JobResult> results;
    std::size_t nextPosition = 0;

    bool operator==(const JobPage &) const = default;
};

nlohmann::json itemsToJson(const std::vector<BatchItem> &items);
/** Throws JobFormatError. */
std::vector<BatchItem> itemsFromJson(const nlohmann::json &json);
/** @p writer is the host that creates the object. */
nlohmann::json resultObjectToJson(const std::string &writer, const ResultObject &object);
/** Throws JobFormatError. */
ResultObject resultObjectFromJson(const nlohmann::json &json);

} // namespace Bergamotramp
