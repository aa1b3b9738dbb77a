#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** Inclusive range from which an integer is drawn with uniform probability. */
struct UniformRange {
    std::int64_t minimum;
    std::int64_t maximum;

    bool operator==(const UniformRange &) const = default;
};

/** Distribution of the prompt lengths and token limits of requests. */
struct RequestDistribution {
    UniformRange promptBytes{100, 400};
    UniformRange maxTokens{16, 64};
    /** Fraction of requests, 0 to 1, that are stragglers: their token limit is multiplied by stragglerFactor. */
    double stragglerShare = 0;
    std::int64_t stragglerFactor = 20;

    bool operator==(const RequestDistribution &) const = default;
};

enum class LoadKind {
    /** A streamed completion. */
    Model,
    /** A call of a plain service. */
    Plain,
    /** A batch job of one item. Its latency is measured until the acknowledgement. */
    BatchItem,
};

/** One stream of requests with Poisson arrivals. */
struct LoadStream {
    std::string name;
    std::string service;
    std::string organisation;
    LoadKind kind = LoadKind::Model;
    double ratePerSecond = 1;
    RequestDistribution distribution;
    bool withIdempotencyKey = false;
    /** A response later than this after the intended send time doesn't count as goodput. */
    absl::Duration deadline = absl::Seconds(30);
    /** Requests are planned in [begin, end), relative to the start of the load. */
    absl::Duration begin = absl::ZeroDuration();
    absl::Duration end = absl::InfiniteDuration();
    std::string method = "POST";
    std::string path = "/";
    /** Whether the plain service returns the request body; each response is then checked for the request id. */
    bool echo = false;

    bool operator==(const LoadStream &) const = default;
};

/** A batch job that is submitted and whose progress is sampled while the load runs. */
struct LoadJob {
    std::string service;
    std::string organisation;
    std::int64_t items = 1000;
    absl::Duration submitAt = absl::ZeroDuration();
    RequestDistribution distribution;
    bool cancelAtEnd = false;

    bool operator==(const LoadJob &) const = default;
};

/** Description of a load, which is limited in duration, number of requests and concurrency. */
struct LoadPlan {
    std::uint64_t seed = 1;
    /** Prefix of idempotency keys and prompts that distinguishes this run from others. */
    std::string runId;
    absl::Duration duration = absl::Seconds(10);
    /** Requests with an earlier intended send time are sent but excluded from the summary. */
    absl::Duration warmup = absl::ZeroDuration();
    std::int64_t maxRequests = 100'000;
    /** Maximum number of requests in flight. Each uses one thread. */
    std::int64_t concurrency = 64;
    /** Whether to compare the text of completions with the expected text. */
    bool verifyText = false;
    std::vector<LoadStream> streams;
    std::optional<LoadJob> job;

    bool operator==(const LoadPlan &) const = default;

    /** Throws JsonError for an invalid plan. */
    static LoadPlan fromJson(const nlohmann::json &json);
};

/** One request of a load plan. */
struct PlannedRequest {
    std::size_t stream = 0;
    /** Sequence number within the stream. */
    std::int64_t number = 0;
    /** Intended send time, relative to the start of the load. */
    absl::Duration intendedTime;
    std::int64_t promptBytes = 0;
    std::int64_t maxTokens = 0;
    bool straggler = false;

    bool operator==(const PlannedRequest &) const = default;
};

/** All requests of the plan in the order of their intended send times. The result is the same for the same seed. */
std::vector<PlannedRequest> planRequests(const LoadPlan &plan);

/** The input file of the plan's job, one item per line; empty without a job. */
std::string makeJobFile(const LoadPlan &plan);

/** Idempotency key of a request and first word of its prompt; unique across runs. */
std::string requestId(const LoadPlan &plan, const PlannedRequest &request);
/** A prompt of @p bytes bytes that begins with @p id, which is never cut off. */
std::string makePrompt(const std::string &id, std::int64_t bytes);

} // namespace Bergamotramp
