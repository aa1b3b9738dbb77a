#include "HostClient.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

namespace Bergamotramp {

namespace {

constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr std::size_t maxQuotedBody = 200;

bool isInvalidInputStatus(int status)
{
    return status == 400 || status == 413 || status == 422;
}

// A 409 with state "unknown" is no conflict: the outcome of an earlier attempt under the same key is unknown.
ExitCode exitCodeFor(int status, const HostError &hostError)
{
    if (hostError.code == "key_conflict" || (status == statusConflict && hostError.state != "unknown")) {
        return ExitCode::Conflict;
    }
    if (isInvalidInputStatus(status)) {
        return ExitCode::InvalidInput;
    }
    return hostError.state == "unknown" ? ExitCode::OutcomeUnknown : ExitCode::Failed;
}

std::string stringFieldOr(const nlohmann::json &object, const char *key, const std::string &fallback)
{
    const auto field = object.find(key);
    return field != object.end() && field->is_string() ? field->get<std::string>() : fallback;
}

// A draining or overloaded host responds with 503 and state "not_run"; another host may accept the call.
bool shouldTryNextHost(const HostReply &reply)
{
    return reply.status == statusUnavailable && parseHostError(reply.status, reply.body).state == "not_run";
}

} // namespace

bool HostReply::succeeded() const
{
    return this->status >= 200 && this->status < 300;
}

HostError parseHostError(int status, const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (json.is_object() && json.contains("error") && json["error"].is_object()) {
        const nlohmann::json &error = json["error"];
        return {stringFieldOr(error, "code", absl::StrCat("http_", status)),
                stringFieldOr(error, "message", "no message"),
                stringFieldOr(error, "state", "unknown")};
    }
    // A 4xx response without a typed error comes from the HTTP server itself, before any handler runs.
    const bool rejectedByServer = status >= 400 && status < 500;
    return {absl::StrCat("http_", status), absl::StrCat("status ", status, " ", body.substr(0, maxQuotedBody)), rejectedByServer ? "not_run" : "unknown"};
}

CliError makeCliError(const HostReply &reply)
{
    const HostError hostError = parseHostError(reply.status, reply.body);
    return {exitCodeFor(reply.status, hostError),
            absl::StrCat(reply.address, " responded with ", reply.status, " ", hostError.code, " (", hostError.state, "): ", hostError.message)};
}

nlohmann::json requireJson(const HostReply &reply)
{
    if (!reply.succeeded()) {
        throw makeCliError(reply);
    }
    nlohmann::json json = nlohmann::json::parse(reply.body, nullptr, false);
    if (json.is_discarded()) {
        throw CliError(ExitCode::Failed, absl::StrCat(reply.address, " sent a response that is not JSON"));
    }
    return json;
}

HostClient::HostClient(AddressSource addresses, absl::Duration connectTimeout) : addresses(std::move(addresses)), client(connectTimeout)
{
}

HostReply HostClient::call(const UpstreamCall &call, bool idempotent)
{
    const std::vector<std::string> hosts = this->addresses();
    const std::size_t first = this->nextHost++;
    std::vector<std::string> unknownOutcomeHosts;
    HostReply rejection;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        const std::string &host = hosts[(first + index) % hosts.size()];
        CallCancellation cancellation;
        const CallResult result = this->client.call(host, call, cancellation);
        if (result.outcome == CallOutcome::Completed) {
            HostReply reply{host, result.status, result.body};
            if (!shouldTryNextHost(reply)) {
                return reply;
            }
            rejection = std::move(reply);
        } else if (result.outcome != CallOutcome::NotSent) {
            unknownOutcomeHosts.push_back(host);
            if (!idempotent) {
                break;
            }
        }
    }
    if (!unknownOutcomeHosts.empty()) {
        throw CliError(ExitCode::OutcomeUnknown,
                       absl::StrCat("no complete response to ", call.method, " ", call.path, " from ", absl::StrJoin(unknownOutcomeHosts, ", ")));
    }
    if (!rejection.address.empty()) {
        return rejection;
    }
    throw CliError(ExitCode::Unreachable, absl::StrCat("none of these hosts can be reached: ", absl::StrJoin(hosts, ", ")));
}

HostReply HostClient::get(const std::string &path)
{
    UpstreamCall call;
    call.method = "GET";
    call.path = path;
    return this->call(call, true);
}

std::string percentEncode(const std::string &text)
{
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool plain = absl::ascii_isalnum(byte) || character == '-' || character == '_' || character == '.' || character == '~';
        encoded += plain ? std::string(1, character) : absl::StrFormat("%%%02X", byte);
    }
    return encoded;
}

} // namespace Bergamotramp
