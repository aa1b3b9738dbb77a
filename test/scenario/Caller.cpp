#include "Caller.h"

#include <algorithm>

#include <httplib.h>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

namespace {

// A caller gives up an attempt later than the host's own deadline, so that it sees the host's answer.
constexpr time_t readTimeoutSeconds = 90;
constexpr absl::Duration retryPause = absl::Milliseconds(200);
constexpr int statusOk = 200;
constexpr const char *dataStart = "data: ";

httplib::Request requestOf(const CallPlan &plan)
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

std::string textOfChoice(const nlohmann::json &json)
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

void readError(const nlohmann::json &json, CallAnswer &answer)
{
    const nlohmann::json error = json.is_object() ? json.value("error", nlohmann::json()) : nlohmann::json();
    if (error.is_object()) {
        answer.state = error.value("state", "");
        answer.error = error.value("code", "");
    }
}

void readEvents(const std::string &body, CallAnswer &answer)
{
    std::istringstream stream(body);
    for (std::string line; std::getline(stream, line);) {
        if (!line.starts_with(dataStart)) {
            continue;
        }
        const std::string data = line.substr(std::string(dataStart).size());
        answer.whole = answer.whole || data == "[DONE]";
        const nlohmann::json json = nlohmann::json::parse(data, nullptr, false);
        if (json.is_object()) {
            answer.text += textOfChoice(json);
            readError(json, answer);
        }
    }
}

void readBody(const CallPlan &plan, const std::string &body, bool arrived, CallAnswer &answer)
{
    if (answer.status != 200) {
        readError(nlohmann::json::parse(body, nullptr, false), answer);
        return;
    }
    if (!plan.call.plain && plan.stream) {
        readEvents(body, answer);
        return;
    }
    answer.whole = arrived;
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    answer.text = plan.call.plain || !json.is_object() ? body : textOfChoice(json);
}

/** Whether a caller sends the call again after @p answer. */
bool repeats(const Call &call, const CallAnswer &answer)
{
    if (answer.status == 200 && answer.whole) {
        return false;
    }
    if (answer.state == "not_run" && answer.status >= 500) {
        return true;
    }
    const bool keyed = !call.key.empty();
    const bool final = answer.status >= 400 && answer.status < 500 && answer.error != "request_in_progress";
    return !final && (keyed || call.idempotent);
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
    this->history.begin(plan.call);
    this->threads.emplace_back([this, plan = std::move(plan)] { this->run(plan); });
}

void Caller::stop()
{
    this->stopping = true;
}

void Caller::run(const CallPlan &plan)
{
    for (std::int64_t number = 0; number < plan.attempts && !this->stopping; ++number) {
        if (number > 0) {
            absl::SleepFor(retryPause);
        }
        const CallAnswer answer = Caller::attempt(plan, plan.hosts[static_cast<std::size_t>(number) % plan.hosts.size()]);
        this->history.answered(plan.call.id, answer);
        if (!repeats(plan.call, answer)) {
            break;
        }
    }
    this->history.end(plan.call.id);
}

CallAnswer Caller::attempt(const CallPlan &plan, const std::pair<std::string, std::string> &host)
{
    CallAnswer answer;
    answer.host = host.first;
    answer.sent = absl::Now();
    httplib::Client client("http://" + host.second);
    client.set_read_timeout(readTimeoutSeconds);
    std::string body;
    httplib::Request request = requestOf(plan);
    request.response_handler = [&answer](const httplib::Response &response) {
        answer.status = response.status;
        return true;
    };
    request.content_receiver = [&body, &answer](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        body.append(data, size);
        // Each event of a stream carries a token, so the first bytes of a successful answer are the first token.
        if (answer.status == statusOk) {
            answer.firstToken = std::min(answer.firstToken, absl::Now());
        }
        return true;
    };
    const httplib::Result result = client.send(request);
    if (!result) {
        answer.error = httplib::to_string(result.error());
    }
    readBody(plan, body, static_cast<bool>(result), answer);
    answer.ended = absl::Now();
    return answer;
}

} // namespace Bergamotramp
