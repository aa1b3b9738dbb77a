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

/** A complete HTTP response of a host. */
struct HostReply {
    /** The host that responded, "IP:port". */
    std::string address;
    int status = 0;
    std::string body;

    [[nodiscard]] bool succeeded() const;
    bool operator==(const HostReply &) const = default;
};

/** A typed error of the caller interface: the object "error" in the body of a response. */
struct HostError {
    std::string code;
    std::string message;
    /** Whether the request was run: "not_run", "run" or "unknown". */
    std::string state;

    bool operator==(const HostError &) const = default;
};

/** Parses an error response. Without a typed error, its state is "unknown" unless the status proves that the request was not run. */
HostError parseHostError(int status, const std::string &body);
/** The error with which a command ends after an error response. */
CliError makeCliError(const HostReply &reply);
/** The JSON body of a successful response. Throws CliError for an error response and for a body that is not JSON. */
nlohmann::json requireJson(const HostReply &reply);

/** Calls one of several equivalent hosts and fails over to the next one. Thread-safe. */
class HostClient
{
public:
    using AddressSource = std::function<std::vector<std::string>()>;

    /** @p addresses returns the hosts to try; it may throw CliError. */
    HostClient(AddressSource addresses, absl::Duration connectTimeout);

    /**
     * Returns the first complete response; a 503 with state "not_run" is returned only when no other host responds otherwise.
     * A call that a host may have received is sent to another one only when @p idempotent.
     * Throws CliError with Unreachable when no host received the call and with OutcomeUnknown when one may have.
     */
    HostReply call(const UpstreamCall &call, bool idempotent);
    /** Sends a GET, which is idempotent. */
    HostReply get(const std::string &path);

private:
    AddressSource addresses;
    UpstreamClient client;
    std::atomic<std::size_t> nextHost{0};
};

/** Percent-encodes a path segment or query value. */
std::string percentEncode(const std::string &text);

} // namespace Bergamotramp
