#include "HostClient.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

namespace Bergamotramp {

namespace {

constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr std::size_t maxShownBody = 200;

bool isInvalidInput(int status)
{
    return status == 400 || status == 413 || status == 422;
}

// 409 with "unknown" tells of an attempt under the same key whose outcome is open, not of a conflict.
ExitCode exitCodeOf(int status, const HostProblem &problem)
{
    if (problem.code == "key_conflict" || (status == statusConflict && problem.state != "unknown")) {
        return ExitCode::Conflict;
    }
    if (isInvalidInput(status)) {
        return ExitCode::InvalidInput;
    }
    return problem.state == "unknown" ? ExitCode::OutcomeUnknown : ExitCode::Failed;
}

std::string stringField(const nlohmann::json &object, const char *key, const std::string &fallback)
{
    const auto field = object.find(key);
    return field != object.end() && field->is_string() ? field->get<std::string>() : fallback;
}

// A leaving or overloaded host answers 503 with "not_run": another host may take the call.
bool otherHostMayAccept(const HostReply &reply)
{
    return reply.status == statusUnavailable && problemOf(reply.status, reply.body).state == "not_run";
}

} // namespace

bool HostReply::succeeded() const
{
    return this->status >= 200 && this->status < 300;
}

HostProblem problemOf(int status, const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (json.is_object() && json.contains("error") && json["error"].is_object()) {
        const nlohmann::json &error = json["error"];
        return {stringField(error, "code", absl::StrCat("http_", status)), stringField(error, "message", "no message"), stringField(error, "state", "unknown")};
    }
    // A client error without a body comes from the HTTP server itself, before any handler ran.
    const bool rejected = status >= 400 && status < 500;
    return {absl::StrCat("http_", status), absl::StrCat("status ", status, " ", body.substr(0, maxShownBody)), rejected ? "not_run" : "unknown"};
}

CliError errorOf(const HostReply &reply)
{
    const HostProblem problem = problemOf(reply.status, reply.body);
    return {exitCodeOf(reply.status, problem),
            absl::StrCat(reply.address, " answered ", reply.status, " ", problem.code, " (", problem.state, "): ", problem.message)};
}

nlohmann::json jsonOf(const HostReply &reply)
{
    if (!reply.succeeded()) {
        throw errorOf(reply);
    }
    nlohmann::json json = nlohmann::json::parse(reply.body, nullptr, false);
    if (json.is_discarded()) {
        throw CliError(ExitCode::Failed, absl::StrCat(reply.address, " sent an answer that is not JSON"));
    }
    return json;
}

HostClient::HostClient(AddressSource addresses, absl::Duration connectTimeout) : addresses(std::move(addresses)), client(connectTimeout)
{
}

HostReply HostClient::call(const UpstreamCall &call, bool repeatable)
{
    const std::vector<std::string> hosts = this->addresses();
    const std::size_t first = this->next++;
    std::vector<std::string> unclear;
    HostReply declined;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        const std::string &host = hosts[(first + index) % hosts.size()];
        CallCancellation cancellation;
        const CallResult result = this->client.call(host, call, cancellation);
        if (result.outcome == CallOutcome::Completed) {
            HostReply reply{host, result.status, result.body};
            if (!otherHostMayAccept(reply)) {
                return reply;
            }
            declined = std::move(reply);
        } else if (result.outcome != CallOutcome::NotSent) {
            unclear.push_back(host);
            if (!repeatable) {
                break;
            }
        }
    }
    if (!unclear.empty()) {
        throw CliError(ExitCode::OutcomeUnknown, absl::StrCat("no complete answer to ", call.method, " ", call.path, " from ", absl::StrJoin(unclear, ", ")));
    }
    if (!declined.address.empty()) {
        return declined;
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
