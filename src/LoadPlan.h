#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** A whole number drawn evenly from an inclusive range. */
struct Spread {
    std::int64_t minimum;
    std::int64_t maximum;

    bool operator==(const Spread &) const = default;
};

/** What one request asks for. */
struct LoadShape {
    Spread promptBytes{100, 400};
    Spread maxTokens{16, 64};
    /** Share of requests, 0 to 1, whose token limit is multiplied by the factor. */
    double stragglerShare = 0;
    std::int64_t stragglerFactor = 20;

    bool operator==(const LoadShape &) const = default;
};

enum class LoadKind {
    /** A streamed completion. */
    Model,
    /** A call of a plain service. */
    Plain,
    /** A batch job of one item; its latency is that of the acknowledgement. */
    BatchItem,
};

/** One stream of requests with Poisson arrivals. */
struct LoadStream {
    std::string name;
    std::string service;
    std::string organisation;
    LoadKind kind = LoadKind::Model;
    double ratePerSecond = 1;
    LoadShape shape;
    bool keyed = false;
    /** An answer later than this after the intended time doesn't count as goodput. */
    absl::Duration deadline = absl::Seconds(30);
    /** Arrivals fall into [begin, end) from the start of the load. */
    absl::Duration begin = absl::ZeroDuration();
    absl::Duration end = absl::InfiniteDuration();
    std::string method = "POST";
    std::string path = "/";
    /** The plain service answers with the request's body in its answer, which is checked. */
    bool echo = false;

    bool operator==(const LoadStream &) const = default;
};

/** A batch job that is submitted and observed while the load runs. */
struct LoadJob {
    std::string service;
    std::string organisation;
    std::int64_t items = 1000;
    absl::Duration submitAt = absl::ZeroDuration();
    LoadShape shape;
    bool cancelAtEnd = false;

    bool operator==(const LoadJob &) const = default;
};

/** Description of a load; bounded in time, requests and concurrency. */
struct LoadPlan {
    std::uint64_t seed = 1;
    /** Distinguishes the keys and prompts of one run from those of another. */
    std::string run;
    absl::Duration duration = absl::Seconds(10);
    /** Requests intended before this time are sent, but left out of the summary. */
    absl::Duration warmup = absl::ZeroDuration();
    std::int64_t maxRequests = 100'000;
    /** Requests at once; one thread each. */
    std::int64_t concurrency = 64;
    /** Compare the text of completions with the expected one. */
    bool verifyText = false;
    std::vector<LoadStream> streams;
    std::optional<LoadJob> job;

    bool operator==(const LoadPlan &) const = default;

    /** Throws JsonError. */
    static LoadPlan fromJson(const nlohmann::json &json);
};

/** One request of the plan. */
struct PlannedRequest {
    std::size_t stream = 0;
    /** Number within the stream. */
    std::int64_t number = 0;
    /** Intended time from the start of the load. */
    absl::Duration at;
    std::int64_t promptBytes = 0;
    std::int64_t maxTokens = 0;
    bool straggler = false;

    bool operator==(const PlannedRequest &) const = default;
};

/** All requests of the plan in the order of their intended times; the same for the same seed. */
std::vector<PlannedRequest> planRequests(const LoadPlan &plan);

/** The lines of the plan's job. */
std::string jobLines(const LoadPlan &plan);

/** Key and first word of the prompt of a request, unique over the runs. */
std::string requestId(const LoadPlan &plan, const PlannedRequest &request);
/** A prompt of @p bytes that begins with @p id. */
std::string promptOf(const std::string &id, std::int64_t bytes);

} // namespace Bergamotramp
