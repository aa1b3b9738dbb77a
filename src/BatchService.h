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

/** The parameters of a job from its caller. The key is the idempotency key, unique within the organisation; "due" is the completion deadline. */
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

/**
 * Outcome of one attempt to run an item. Retryable failures are retried up to the service's limit of attempts, interrupted attempts without
 * a limit.
 */
struct ItemResult {
    bool completed = false;
    bool retryable = false;
    std::string body;
    std::string error;
    /** An upstream, a host or a link failed before the item's answer was complete. */
    bool interrupted = false;

    bool operator==(const ItemResult &) const = default;
};

/** Thrown by the calls of the batch service. */
class BatchError : public std::runtime_error
{
public:
    BatchError(std::string code, const std::string &message, std::string state);

    /** "conflict", "not_found", "too_many_items", "too_many_bytes", "item_too_large", "invalid_line", "duplicate_id", "store_unavailable" or "draining". */
    [[nodiscard]] const std::string &code() const;
    /** Run state for the caller: "not_run", or "unknown" when the call may have taken effect. */
    [[nodiscard]] const std::string &state() const;

private:
    std::string errorCode;
    std::string errorState;
};

/** Stores the batch jobs that callers submit and runs their segments, shared with the other hosts. Thread-safe. */
class BatchService
{
public:
    using RunItem = std::function<ItemResult(const JobHeader &job, const std::string &customId, const std::string &body, CallCancellation &cancellation)>;

    /** Streamed input of one job. The job is accepted once commit() returns; destruction without commit() discards the input. */
    class Submission
    {
    public:
        ~Submission();
        Submission(const Submission &) = delete;
        Submission &operator=(const Submission &) = delete;

        /** Appends bytes of the JSONL input; chunks need not end at line ends. Throws BatchError. */
        void append(std::string_view bytes);
        /** Ends the input and stores the job durably; returns the existing job if the same one was submitted before. Throws BatchError. */
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

    /** Opens the streamed input of a new job. Throws BatchError, for example while the host is draining. */
    std::unique_ptr<Submission> open(const JobHeader &header);
    /** The current state and item counts of a job. Throws BatchError. */
    JobStatus status(const std::string &organisation, const std::string &id);
    /** The jobs of an organisation, newest first. Throws BatchError. */
    std::vector<JobStatus> list(const std::string &organisation);
    /** Cancels a job. When this returns, the cancellation is durable and no further result of the job can be committed. Throws BatchError. */
    JobStatus cancel(const std::string &organisation, const std::string &id);
    /**
     * Writes the results as JSONL to @p sink, one line per finished item: {"custom_id", "status": "completed"|"failed", "body"|"error"}.
     * Memory use is bounded. Stops when @p sink returns false. Throws BatchError.
     */
    void writeResults(const std::string &organisation, const std::string &id, const std::function<bool(std::string_view)> &sink);
    [[nodiscard]] nlohmann::json statusJson() const;
    /** Stops claiming segments, waits for running items for a bounded time and cancels the rest, commits progress and releases the claims. */
    void drain();

private:
    class Implementation;

    std::unique_ptr<Implementation> implementation;
};

} // namespace Bergamotramp
