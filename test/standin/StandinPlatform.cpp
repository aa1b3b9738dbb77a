#include "StandinPlatform.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

namespace {

constexpr std::size_t maxValueBytes = 1024 * 1024;
constexpr std::size_t maxListLimit = 1000;
constexpr absl::Duration maxWatch = absl::Seconds(60);
// The bucket holds half a second's calls: a client at a steady rate within the limit is never refused, a larger burst is.
constexpr double burstSeconds = 0.5;
const std::string objectsPath = "/v1/objects/";

std::string prefixOf(const std::string &key)
{
    return key.substr(0, key.find('/'));
}

std::uint64_t numberParameter(const httplib::Request &request, const std::string &name, std::uint64_t fallback)
{
    std::uint64_t number = fallback;
    return absl::SimpleAtoi(request.get_param_value(name), &number) ? number : fallback;
}

std::string quotedVersion(std::uint64_t version)
{
    return absl::StrCat("\"", version, "\"");
}

/** Reads If-Match and If-None-Match; returns false when their value is not supported. */
bool readPrecondition(const httplib::Request &request, Precondition &precondition)
{
    if (request.has_header("If-None-Match")) {
        precondition = Precondition::absent();
        return request.get_header_value("If-None-Match") == "*";
    }
    if (request.has_header("If-Match")) {
        std::string tag = request.get_header_value("If-Match");
        std::erase(tag, '"');
        std::uint64_t version = 0;
        const bool isValid = absl::SimpleAtoi(tag, &version);
        precondition = Precondition::at(version);
        return isValid;
    }
    return true;
}

void setErrorResponse(httplib::Response &response, int status, const std::string &message)
{
    setJsonResponse(response, status, nlohmann::json{{"error", message}}.dump());
}

} // namespace

StandinRateLimiter::StandinRateLimiter(double perSecond) : perSecond(perSecond), tokens(perSecond * burstSeconds)
{
}

void StandinRateLimiter::setRate(double perSecond)
{
    this->perSecond = perSecond;
    this->tokens = std::min(this->tokens, perSecond * burstSeconds);
}

bool StandinRateLimiter::tryAcquire(absl::Time now, std::size_t waitingCalls)
{
    if (this->perSecond > 0) {
        const double rate = std::max(0.0, this->perSecond - static_cast<double>(waitingCalls));
        const double elapsed = this->lastRefill == absl::InfinitePast() ? 0.0 : absl::ToDoubleSeconds(now - this->lastRefill);
        this->lastRefill = now;
        this->tokens = std::min(this->perSecond * burstSeconds, this->tokens + elapsed * rate);
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
    }
    const std::int64_t current = absl::ToUnixSeconds(now);
    this->callsInSecond = current == this->currentSecond ? this->callsInSecond + 1 : 1;
    this->currentSecond = current;
    this->peakCalls = std::max(this->peakCalls, this->callsInSecond);
    return true;
}

std::uint64_t StandinRateLimiter::peakPerSecond() const
{
    return this->peakCalls;
}

StandinPlatform::StandinPlatform(StandinPlatformSettings settings)
    : settings(std::move(settings)), store(this->settings.file), writeLimiter(this->settings.writesPerSecond), readLimiter(this->settings.readsPerSecond)
{
    this->server = std::make_unique<StandinServer>(
        this->settings.port,
        [this](const httplib::Request &request, httplib::Response &response, StandinConnection &connection) { this->handle(request, response, connection); });
}

StandinPlatform::~StandinPlatform()
{
    this->store.close();
    this->server->stop();
}

std::string StandinPlatform::address() const
{
    return this->server->address();
}

void StandinPlatform::handle(const httplib::Request &request, httplib::Response &response, StandinConnection &connection)
{
    if (request.path.starts_with("/control/")) {
        this->handleControl(request, response);
    } else if (request.path.starts_with(objectsPath)) {
        this->handleObject(request, response, connection);
    } else if (request.path == "/v1/list" && request.method == "GET") {
        this->handleList(request, response);
    } else if (request.path == "/v1/watch" && request.method == "GET") {
        this->handleWatch(request, response);
    } else if (request.path == "/v1/hosts" && request.method == "GET") {
        this->handleHosts(response);
    } else {
        setErrorResponse(response, 404, "no such path");
    }
}

bool StandinPlatform::admit(const std::string &key, bool isWrite, httplib::Response &response)
{
    absl::Duration delay;
    {
        const std::size_t waitingCalls = isWrite ? 0 : this->store.waitingWatches();
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->faults.outage) {
            setErrorResponse(response, 503, "outage");
            return false;
        }
        if (!(isWrite ? this->writeLimiter : this->readLimiter).tryAcquire(absl::Now(), waitingCalls)) {
            ++this->refused;
            setErrorResponse(response, 429, "over the rate limit");
            return false;
        }
        Counters &counters = this->byPrefix[prefixOf(key)];
        ++(isWrite ? this->total.writes : this->total.reads);
        ++(isWrite ? counters.writes : counters.reads);
        delay = this->faults.delay;
    }
    absl::SleepFor(delay);
    return true;
}

void StandinPlatform::handleObject(const httplib::Request &request, httplib::Response &response, StandinConnection &connection)
{
    const std::string key = request.path.substr(objectsPath.size());
    if (request.method == "PUT" || request.method == "DELETE") {
        this->handleWrite(request, response, connection);
        return;
    }
    if (!this->admit(key, false, response)) {
        return;
    }
    const std::optional<StoredObject> object = this->store.get(key);
    if (!object) {
        setErrorResponse(response, 404, "no such object");
        return;
    }
    response.status = 200;
    response.set_header("ETag", quotedVersion(object->version));
    response.set_content(object->value, "application/octet-stream");
}

void StandinPlatform::handleWrite(const httplib::Request &request, httplib::Response &response, StandinConnection &connection)
{
    const std::string key = request.path.substr(objectsPath.size());
    Precondition precondition;
    if (!this->admit(key, true, response)) {
        return;
    }
    if (key.empty() || !readPrecondition(request, precondition)) {
        setErrorResponse(response, 400, "the key or the precondition can't be used");
        return;
    }
    if (request.body.size() > maxValueBytes) {
        setErrorResponse(response, 413, "the value is larger than 1 MB");
        return;
    }
    const WriteResult result = request.method == "PUT" ? this->store.put(key, request.body, precondition) : this->store.remove(key, precondition);
    if (result.outcome == WriteOutcome::Conflict) {
        const std::lock_guard<std::mutex> lock(this->mutex);
        ++this->conflicts;
        setErrorResponse(response, 412, "the precondition doesn't hold");
        return;
    }
    response.set_header("ETag", quotedVersion(result.version));
    setJsonResponse(response, 200, "{}");
    if (this->shouldLoseAnswer(key)) {
        connection.drop();
    }
}

bool StandinPlatform::shouldLoseAnswer(const std::string &key)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->faults.loseAnswers <= 0 || !key.starts_with(this->faults.loseAnswersPrefix) || key.find(this->faults.loseAnswersPart) == std::string::npos) {
        return false;
    }
    --this->faults.loseAnswers;
    return true;
}

void StandinPlatform::handleList(const httplib::Request &request, httplib::Response &response)
{
    const std::string prefix = request.get_param_value("prefix");
    if (!this->admit(prefix, false, response)) {
        return;
    }
    const bool withValues = request.get_param_value("values") == "1";
    const std::size_t limit = std::clamp<std::size_t>(numberParameter(request, "limit", maxListLimit), 1, maxListLimit);
    const ListPage page = this->store.list(prefix, request.get_param_value("after"), limit, withValues);
    nlohmann::json objects = nlohmann::json::array();
    for (const StoredObject &object : page.objects) {
        objects.push_back({{"key", object.key}, {"version", object.version}});
        if (withValues) {
            objects.back()["value"] = object.value;
        }
    }
    try {
        setJsonResponse(response, 200, nlohmann::json{{"objects", objects}, {"complete", page.complete}, {"revision", page.revision}}.dump());
    } catch (const nlohmann::json::type_error &) {
        // JSON strings hold only UTF-8. Values with other bytes can be read one at a time, and a listing without values works.
        setErrorResponse(response, 500, "a value in the listing is not UTF-8");
    }
}

void StandinPlatform::handleWatch(const httplib::Request &request, httplib::Response &response)
{
    const std::string prefix = request.get_param_value("prefix");
    if (!this->admit(prefix, false, response)) {
        return;
    }
    const absl::Duration wait = std::min(absl::Milliseconds(static_cast<std::int64_t>(numberParameter(request, "timeout_ms", 0))), maxWatch);
    const WatchResult result = this->store.watch(prefix, numberParameter(request, "since", 0), wait);
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->faults.outage) {
        setErrorResponse(response, 503, "outage");
        return;
    }
    setJsonResponse(response, 200, nlohmann::json{{"keys", result.changedKeys}, {"revision", result.revision}}.dump());
}

void StandinPlatform::handleHosts(httplib::Response &response)
{
    if (!this->admit("hosts", false, response)) {
        return;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::string shown = R"({"hosts":[]})";
    for (const auto &[visibleFrom, list] : this->hostLists) {
        if (visibleFrom <= absl::Now()) {
            shown = list;
        }
    }
    setJsonResponse(response, 200, shown);
}

void StandinPlatform::handleControl(const httplib::Request &request, httplib::Response &response)
{
    try {
        if (request.path == "/control/hosts" && request.method == "PUT") {
            this->setHosts(request.body);
            setJsonResponse(response, 200, "{}");
        } else if (request.path == "/control/faults" && request.method == "POST") {
            this->setFaults(request.body);
            setJsonResponse(response, 200, "{}");
        } else if (request.path == "/control/counters" && request.method == "GET") {
            setJsonResponse(response, 200, this->countersJson());
        } else {
            setErrorResponse(response, 404, "no such path");
        }
    } catch (const nlohmann::json::exception &error) {
        setErrorResponse(response, 400, error.what());
    }
}

void StandinPlatform::setHosts(const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body);
    const nlohmann::json list = json.is_array() ? nlohmann::json{{"hosts", json}} : json;
    for (const nlohmann::json &host : list.at("hosts")) {
        for (const char *field : {"name", "region", "dataCentre", "callerAddress", "peerAddress", "adminAddress", "state"}) {
            host.at(field).get<std::string>();
        }
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->hostLists.emplace_back(absl::Now() + this->settings.hostsLag, list.dump());
}

void StandinPlatform::setFaults(const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body);
    bool outage = false;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->faults.outage = json.value("outage", this->faults.outage);
        this->faults.delay = absl::Milliseconds(json.value("slowMs", absl::ToInt64Milliseconds(this->faults.delay)));
        this->faults.loseAnswers = json.value("loseAnswers", this->faults.loseAnswers);
        this->faults.loseAnswersPrefix = json.value("loseAnswersPrefix", this->faults.loseAnswersPrefix);
        this->faults.loseAnswersPart = json.value("loseAnswersPart", this->faults.loseAnswersPart);
        this->settings.hostsLag = absl::Milliseconds(json.value("hostsLagMs", absl::ToInt64Milliseconds(this->settings.hostsLag)));
        if (json.contains("writesPerSecond")) {
            this->writeLimiter.setRate(json.at("writesPerSecond"));
        }
        if (json.contains("readsPerSecond")) {
            this->readLimiter.setRate(json.at("readsPerSecond"));
        }
        outage = this->faults.outage;
    }
    if (outage) {
        this->store.endWatches();
    }
}

std::string StandinPlatform::countersJson()
{
    const std::size_t watches = this->store.waitingWatches();
    const std::lock_guard<std::mutex> lock(this->mutex);
    nlohmann::json prefixes = nlohmann::json::object();
    for (const auto &[prefix, counters] : this->byPrefix) {
        prefixes[prefix] = {{"reads", counters.reads}, {"writes", counters.writes}};
    }
    return nlohmann::json{{"reads", this->total.reads},
                          {"writes", this->total.writes},
                          {"refused", this->refused},
                          {"conflicts", this->conflicts},
                          {"waitingWatches", watches},
                          {"peakReadsPerSecond", this->readLimiter.peakPerSecond()},
                          {"peakWritesPerSecond", this->writeLimiter.peakPerSecond()},
                          {"prefixes", prefixes}}
        .dump();
}

} // namespace Bergamotramp
