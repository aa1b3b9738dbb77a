#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "CliError.h"
#include "UpstreamClient.h"

namespace Bergamotramp {

/** A complete answer of a host. */
struct HostReply {
    /** The host that answered, "IP:port". */
    std::string address;
    int status = 0;
    std::string body;

    [[nodiscard]] bool succeeded() const;
    bool operator==(const HostReply &) const = default;
};

/** An error answer in the form of the caller interface. */
struct HostProblem {
    std::string code;
    std::string message;
    /** "not_run", "run" or "unknown". */
    std::string state;

    bool operator==(const HostProblem &) const = default;
};

/** Reads the error of an answer. An answer without a typed error is "unknown" unless its status proves otherwise. */
HostProblem problemOf(int status, const std::string &body);
/** The error with which a command ends after an error answer. */
CliError errorOf(const HostReply &reply);
/** The JSON body of a successful answer; throws CliError for an error answer and for a body that is not JSON. */
nlohmann::json jsonOf(const HostReply &reply);

/** Calls one of several equivalent hosts and turns to the next one on failure. Thread-safe. */
class HostClient
{
public:
    using AddressSource = std::function<std::vector<std::string>()>;

    /** @p addresses returns the hosts to try; it may throw CliError. */
    HostClient(AddressSource addresses, absl::Duration connectTimeout);

    /**
     * Returns the first complete answer. A call that may have been received is sent again only when @p repeatable.
     * Throws CliError with Unreachable when no host received the call and with OutcomeUnknown when one may have.
     */
    HostReply call(const UpstreamCall &call, bool repeatable);
    /** The same for a GET. */
    HostReply get(const std::string &path);

private:
    AddressSource addresses;
    UpstreamClient client;
    std::atomic<std::size_t> next{0};
};

/** Percent-encodes a path segment or query value. */
std::string percentEncode(const std::string &text);

} // namespace Bergamotramp
