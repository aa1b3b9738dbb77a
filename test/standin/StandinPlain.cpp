#include "StandinPlain.h"

#include <algorithm>

#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include "StandinText.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration delayPollPeriod = absl::Milliseconds(20);

std::string dump(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

StandinPlain::StandinPlain(StandinPlainSettings settings) : onCrash(std::move(settings.onCrash)), delay(absl::ToInt64Milliseconds(settings.delay))
{
    this->server = std::make_unique<StandinServer>(
        settings.port, [this](const httplib::Request &request, httplib::Response &response, StandinConnection &) { this->handle(request, response); });
}

StandinPlain::~StandinPlain()
{
    this->stopping = true;
    this->server->stop();
}

std::string StandinPlain::address() const
{
    return this->server->address();
}

std::map<std::string, std::uint64_t> StandinPlain::postCountsByKey()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->postCounts;
}

void StandinPlain::handle(const httplib::Request &request, httplib::Response &response)
{
    if (this->handleControl(request, response)) {
        return;
    }
    if (this->refuse) {
        setJsonResponse(response, 503, R"({"error":"refused"})");
        return;
    }
    ++this->calls;
    const std::string key = request.get_header_value("Idempotency-Key");
    if (request.method == "POST" && !key.empty()) {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->postCounts[key] += this->countTwice ? 2 : 1;
    }
    if (request.body.find(crashMarker) != std::string::npos) {
        this->crash();
        return;
    }
    const absl::Time due = absl::Now() + absl::Milliseconds(this->delay.load());
    while (!this->stopping && absl::Now() < due) {
        absl::SleepFor(std::min(delayPollPeriod, due - absl::Now()));
    }
    const int status = request.body.find(failMarker) == std::string::npos ? 200 : 500;
    setJsonResponse(response, status, dump({{"method", request.method}, {"path", request.path}, {"key", key}, {"body", request.body}}));
}

bool StandinPlain::handleControl(const httplib::Request &request, httplib::Response &response)
{
    if (request.path == "/health") {
        setJsonResponse(response, this->refuse ? 503 : 200, R"({"status":"ok"})");
    } else if (request.path == "/control/counts") {
        setJsonResponse(response, 200, dump(this->postCountsByKey()));
    } else if (request.path == "/control/counters") {
        setJsonResponse(response, 200, dump({{"calls", this->calls.load()}, {"keys", this->postCountsByKey().size()}}));
    } else if (request.path == "/control") {
        this->applyControl(request.body);
        setJsonResponse(response, 200, "{}");
    } else {
        return false;
    }
    return true;
}

void StandinPlain::applyControl(const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body);
    this->delay = json.value("delayMs", this->delay.load());
    this->refuse = json.value("refuse", this->refuse.load());
    this->countTwice = json.value("countTwice", this->countTwice.load());
}

void StandinPlain::crash()
{
    if (this->onCrash) {
        this->onCrash();
    }
    this->server->dropConnections();
}

} // namespace Bergamotramp
