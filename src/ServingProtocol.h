#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <absl/time/time.h>

#include "HttpMessage.h"
#include "JobTypes.h"
#include "RoutingConfig.h"
#include "UpstreamTable.h"

namespace Bergamotramp {

/** What a caller asks of an entry host. */
enum class CallKind {
    Request,
    ReadJob,
    ReadItemBody,
    EndJob,
};

/** A caller's request, decoded. */
struct CallerCall {
    CallKind kind = CallKind::Request;
    /** Names one attempt of the caller; empty when it named none. For job calls the job's id. */
    std::string id;
    /** The Host field without a port. */
    std::string host;
    /** How long the caller waits; infinite when it does not say. */
    absl::Duration timeBudget = absl::InfiniteDuration();
    /** The last event that the caller has of a stream that it resumes. */
    std::optional<std::uint64_t> resumeAfter;
    /** For ReadItemBody. */
    std::string itemId;
    /** For ReadJob: the first position that the caller wants. */
    std::size_t position = 0;
    /** For ReadJob: how long the call may wait for a result. */
    absl::Duration wait = absl::ZeroDuration();

    bool operator==(const CallerCall &) const = default;
};

/** What one attempt at an upstream is told beside the caller's request. */
struct AttemptTerms {
    /** Time that the upstream has; infinite for work without a deadline. */
    absl::Duration timeLeft = absl::InfiniteDuration();
    /** The last event that has been received of a stream that goes on. */
    std::optional<std::uint64_t> resumeAfter;

    bool operator==(const AttemptTerms &) const = default;
};

/** What an entry host speaks with callers and upstreams. */
struct ServingProtocol {
    std::function<CallerCall(const HttpRequest &)> decodeCall;
    /** Reads the items of a job; throws JobFormatError. */
    std::function<SubmittedJob(const HttpRequest &)> decodeSubmission;
    std::function<HttpResponse(const JobPage &)> encodePage;
    /** The request as an upstream gets it. */
    std::function<HttpRequest(const HttpRequest &, const UpstreamInfo &, const AttemptTerms &)> prepareAttempt;
    std::function<HttpRequest(const BatchItem &, const std::string &host)> itemRequest;
    /** Whether the response is to the request with this id. */
    std::function<bool(const HttpHead &, const std::string &id)> belongs;
    /** Whether the response states that the request has not run. */
    std::function<bool(const HttpHead &)> statesNotRun;
    /** Whether the response says that another upstream has the address now. */
    std::function<bool(const HttpHead &)> misdirected;
};

} // namespace Bergamotramp
