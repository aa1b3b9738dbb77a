#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "HttpMessage.h"
#include "JobTypes.h"
#include "Organisation.h"
#include "RoutingConfig.h"
#include "UpstreamTable.h"

namespace Bergamotramp {

/** Kind of request that a caller sends to an entry host (see EntryHost). */
enum class CallKind {
    Request,
    ReadJob,
    ReadItemBody,
    CancelJob,
};

/** The decoded metadata of a request from a caller. */
struct CallerCall {
    CallKind kind = CallKind::Request;
    /** Identifies one attempt of the caller; empty when the caller sent no id. For job calls, the job's id. */
    std::string id;
    /** The Host field without a port. */
    std::string host;
    /** The values of all header fields for a key, as sent. */
    std::vector<std::string> apiKeys;
    /** How long the caller waits; infinite when the caller sets no limit. */
    absl::Duration timeBudget = absl::InfiniteDuration();
    /** Id of the last event that the caller has received, when it resumes a stream. */
    std::optional<std::uint64_t> resumeAfter;
    /** When it resumes a stream, the id of the caller's attempt that brought the first event; empty when the caller does not tell it. */
    std::string resumedId;
    /** Ids of the parts of the prompt, in order, that other requests may share. The part that belongs to this request alone is left out. */
    std::vector<std::uint64_t> sharedPromptParts;
    /** For ReadItemBody: the item whose body the caller wants. */
    std::string itemId;
    /** For ReadJob: position of the first result that the caller wants. */
    std::size_t position = 0;
    /** For ReadJob: how long the call may wait for a result. */
    absl::Duration wait = absl::ZeroDuration();

    bool operator==(const CallerCall &) const = default;
};

/** What an attempt sends to an upstream in addition to the caller's request. */
struct AttemptParameters {
    /** Time left until the deadline; infinite for work without one. */
    absl::Duration timeLeft = absl::InfiniteDuration();
    /** Id of the last event that was received, when the attempt continues a stream. */
    std::optional<std::uint64_t> resumeAfter;
    /** Replaces what the caller stated; the key is never sent. Nothing leaves the fields as they are. */
    CallerOrganisation organisation{};

    bool operator==(const AttemptParameters &) const = default;
};

/** Conversion between the messages of callers and upstreams and the types of an entry host. */
struct ServingProtocol {
    std::function<CallerCall(const HttpRequest &)> decodeCall;
    /** Parses the items of a job; throws JobFormatError. */
    std::function<SubmittedJob(const HttpRequest &)> decodeSubmission;
    std::function<HttpResponse(const JobPage &)> encodePage;
    /** The request as it is sent to an upstream. */
    std::function<HttpRequest(const HttpRequest &, const UpstreamInfo &, const AttemptParameters &)> prepareAttempt;
    /** The request of an item, with the organisation of its job. */
    std::function<HttpRequest(const BatchItem &, const std::string &host, const CallerOrganisation &)> itemRequest;
    /** Whether the response belongs to the request with this id. */
    std::function<bool(const HttpHead &, const std::string &id)> matchesRequest;
    /** Whether the response names the request that it belongs to. */
    std::function<bool(const HttpHead &)> namesRequest;
    /** Whether the response states that the request has not run. */
    std::function<bool(const HttpHead &)> statesNotRun;
    /** Whether the response states that another upstream has the address now. */
    std::function<bool(const HttpHead &)> misdirected;
    /** Whether the upstream that sent the response states that it leaves. */
    std::function<bool(const HttpHead &)> statesLeaving;
    /** Requests per second that the upstream takes from all hosts together, if it states such a limit. */
    std::function<std::optional<double>(const HttpHead &)> statedLimit;
    /** Id of the upstream that sent the response, if the response names it; misdirected ones do. */
    std::function<std::optional<std::string>(const HttpHead &)> respondingUpstream;
};

} // namespace Bergamotramp
