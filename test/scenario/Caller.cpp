#include "Caller.h"

#include <algorithm>

#include <httplib.h>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

namespace {

// Longer than the deadline of the host, so that the caller receives the host's response instead of timing out first.
constexpr time_t readTimeoutSeconds = 90;
constexpr absl::Duration retryDelay = absl::Milliseconds(200);
constexpr int statusOk = 200;
constexpr const char *eventDataPrefix = "data: ";

httplib::Request buildRequest(const CallPlan &plan)
{
    httplib::Request request;
    request.method = "POST";
    if (!plan.call.key.empty()) {
        request.set_header("Idempotency-Key", plan.call.key);
    }
    if (!plan.organisation.empty()) {
        request.set_header("X-Organisation", plan.organisation);
    }
    if (plan.deadline > 0) {
        request.set_header("X-Deadline-Ms", std::to_string(plan.deadline));
    }
    request.set_header("Content-Type", "application/json");
    if (plan.call.plain) {
        request.path = "/s/" + plan.call.service + plan.path;
        request.body = nlohmann::json{{"text", plan.call.prompt}}.dump();
        return request;
    }
    nlohmann::json body = {{"model", plan.call.service}, {"max_tokens", plan.call.tokens}, {"stream", plan.stream}};
    if (plan.chat) {
        body["messages"] = {{{"role", "user"}, {"content", plan.call.prompt}}};
    } else {
        body["prompt"] = plan.call.prompt;
    }
    request.path = plan.chat ? "/v1/chat/completions" : "/v1/completions";
    request.body = body.dump();
    return request;
}

std::string choiceText(const nlohmann::json &json)
{
    const nlohmann::json choices = json.value("choices", nlohmann::json::array());
    if (choices.empty()) {
        return "";
    }
    for (const char *part : {"delta", "message"}) {
        if (choices[0].contains(part)) {
            return choices[0][part].value("content", "");
        }
    }
    return choices[0].value("text", "");
}

void parseError(const nlohmann::json &json, CallAttempt &attempt)
{
    const nlohmann::json error = json.is_object() ? json.value("error", nlohmann::json()) : nlohmann::json();
    if (error.is_object()) {
        attempt.executionState = error.value("state", "");
        attempt.error = error.value("code", "");
    }
}

void parseEventStream(const std::string &body, CallAttempt &attempt)
{
    std::istringstream stream(body);
    for (std::string line; std::getline(stream, line);) {
        if (!line.starts_with(eventDataPrefix)) {
            continue;
        }
        const std::string data = line.substr(std::string(eventDataPrefix).size());
        attempt.complete = attempt.complete || data == "[DONE]";
        const nlohmann::json json = nlohmann::json::parse(data, nullptr, false);
        if (json.is_object()) {
            attempt.text += choiceText(json);
            parseError(json, attempt);
        }
    }
}

void parseBody(const CallPlan &plan, const std::string &body, bool received, CallAttempt &attempt)
{
    if (attempt.status != 200) {
        parseError(nlohmann::json::parse(body, nullptr, false), attempt);
        return;
    }
    if (!plan.call.plain && plan.stream) {
        parseEventStream(body, attempt);
        return;
    }
    attempt.complete = received;
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    attempt.text = plan.call.plain || !json.is_object() ? body : choiceText(json);
}

/** Whether a caller retries the call after @p attempt. */
bool shouldRetry(const Call &call, const CallAttempt &attempt)
{
    if (attempt.status == 200 && attempt.complete) {
        return false;
    }
    if (attempt.executionState == "not_run" && attempt.status >= 500) {
        return true;
    }
    const bool hasKey = !call.key.empty();
    const bool final = attempt.status >= 400 && attempt.status < 500 && attempt.error != "request_in_progress";
    return !final && (hasKey || call.idempotent);
}

} // namespace

Caller::Caller(CallHistory &history) : history(history)
{
}

Caller::~Caller()
{
    this->stop();
    for (std::thread &thread : this->threads) {
        thread.join();
    }
}

void Caller::start(CallPlan plan)
{
    this->history.recordStart(plan.call);
    this->threads.emplace_back([this, plan = std::move(plan)] { this->run(plan); });
}

void Caller::stop()
{
    this->stopping = true;
}

void Caller::run(const CallPlan &plan)
{
    for (std::int64_t number = 0; number < plan.maxAttempts && !this->stopping; ++number) {
        if (number > 0) {
            absl::SleepFor(retryDelay);
        }
        const CallAttempt attempt = Caller::runAttempt(plan, plan.hosts[static_cast<std::size_t>(number) % plan.hosts.size()]);
        this->history.recordAttempt(plan.call.id, attempt);
        if (!shouldRetry(plan.call, attempt)) {
            break;
        }
    }
    this->history.recordEnd(plan.call.id);
}

CallAttempt Caller::runAttempt(const CallPlan &plan, const std::pair<std::string, std::string> &host)
{
    CallAttempt attempt;
    attempt.host = host.first;
    attempt.sent = absl::Now();
    httplib::Client client("http://" + host.second);
    client.set_read_timeout(readTimeoutSeconds);
    std::string body;
    httplib::Request request = buildRequest(plan);
    request.response_handler = [&attempt](const httplib::Response &response) {
        attempt.status = response.status;
        return true;
    };
    request.content_receiver = [&body, &attempt](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        body.append(data, size);
        // Each event of a stream carries a token, so the first bytes of a successful response mark the arrival of the first token.
        if (attempt.status == statusOk) {
            attempt.firstToken = std::min(attempt.firstToken, absl::Now());
        }
        return true;
    };
    const httplib::Result result = client.send(request);
    if (!result) {
        attempt.error = httplib::to_string(result.error());
    }
    parseBody(plan, body, static_cast<bool>(result), attempt);
    attempt.ended = absl::Now();
    return attempt;
}

} // namespace Bergamotramp
