#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "HostContext.h"
#include "UpstreamClient.h"

namespace Bergamotramp {

/** What a caller says about a job. The key identifies the job within its organisation. */
struct JobHeader {
    std::string organisation;
    std::string service;
    std::string key;
    absl::Time due;

    bool operator==(const JobHeader &) const = default;
};

/** A job as callers see it. The state is "running", "cancelling", "cancelled" or "completed". */
struct JobStatus {
    std::string id;
    std::string organisation;
    std::string service;
    std::string state;
    std::int64_t total = 0;
    std::int64_t completed = 0;
    std::int64_t failed = 0;
    absl::Time created;
    absl::Time due;

    bool operator==(const JobStatus &) const = default;

    [[nodiscard]] nlohmann::json toJson() const;
};

/** How one attempt at an item ended. A retryable failure is attempted again, a bounded number of times. */
struct ItemResult {
    bool completed = false;
    bool retryable = false;
    std::string body;
    std::string error;

    bool operator==(const ItemResult &) const = default;
};

/** A batch call failed. */
class BatchError : public std::runtime_error
{
public:
    BatchError(std::string code, const std::string &message, std::string state);

    /** "conflict", "not_found", "too_many_items", "too_many_bytes", "item_too_large", "invalid_line", "duplicate_id", "store_unavailable" or "draining". */
    [[nodiscard]] const std::string &code() const;
    /** "not_run", or "unknown" when the job may have been accepted. */
    [[nodiscard]] const std::string &state() const;

private:
    std::string errorCode;
    std::string errorState;
};

/** Accepts batch jobs into the store and runs their segments together with the other hosts. Thread-safe. */
class BatchService
{
public:
    using RunItem = std::function<ItemResult(const JobHeader &job, const std::string &customId, const std::string &body, CallCancellation &cancellation)>;

    /** Streaming input of one job. Nothing is acknowledged before commit() returns; destruction without commit() abandons the input. */
    class Submission
    {
    public:
        ~Submission();
        Submission(const Submission &) = delete;
        Submission &operator=(const Submission &) = delete;

        /** Takes the next bytes of the JSONL input, in any chunking. Throws BatchError. */
        void append(std::string_view bytes);
        /** Ends the input and makes the job durable; returns the first job when this one was resent. Throws BatchError. */
        JobStatus commit();

    private:
        friend class BatchService;
        class Implementation;

        explicit Submission(std::unique_ptr<Implementation> implementation);

        std::unique_ptr<Implementation> implementation;
    };

    BatchService(const HostContext &context, RunItem runItem);
    ~BatchService();
    BatchService(const BatchService &) = delete;
    BatchService &operator=(const BatchService &) = delete;

    /** Throws BatchError. */
    std::unique_ptr<Submission> open(const JobHeader &header);
    /** Throws BatchError. */
    JobStatus status(const std::string &organisation, const std::string &id);
    /** The jobs of an organisation, the newest first. Throws BatchError. */
    std::vector<JobStatus> list(const std::string &organisation);
    /** Returns once the cancellation is durable: afterwards no item of the job can be committed. Throws BatchError. */
    JobStatus cancel(const std::string &organisation, const std::string &id);
    /**
     * Passes JSONL to @p sink, one line per finished item: {"custom_id", "status": "completed"|"failed", "body"|"error"}, in bounded
     * memory. Stops when @p sink returns false. Throws BatchError.
     */
    void writeResults(const std::string &organisation, const std::string &id, const std::function<bool(std::string_view)> &sink);
    [[nodiscard]] nlohmann::json statusJson() const;
    /** Stops claiming, lets running items end or gives them back, commits progress and releases the claims. */
    void drain();

private:
    class Implementation;

    std::unique_ptr<Implementation> implementation;
};

} // namespace Bergamotramp
