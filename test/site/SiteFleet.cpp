#include "SiteFleet.h"

#include <fcntl.h>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

constexpr std::int64_t waitingTokenLimit = 1000;
constexpr int itemTokens = 10;

nlohmann::json routeJson(const std::string &name, const std::string &prefix, const std::string &kind, const std::string &service, int timeoutMs)
{
    return {{"name", name},
            {"host", SiteFleet::callerHost},
            {"pathPrefix", prefix},
            {"kind", kind},
            {"service", service},
            {"timeoutMs", timeoutMs},
            {"targetLatencyMs", 300},
            {"gapTargetMs", 400},
            {"priority", 0},
            {"maxAttempts", 3}};
}

} // namespace

SiteFleet::SiteFleet() : nullDevice(open("/dev/null", O_WRONLY))
{
}

void SiteFleet::writeConfig(int version, int timeoutMs)
{
    nlohmann::json resumable = routeJson("resumable", "/resumable/", "streaming", "model", timeoutMs);
    resumable["resumable"] = true;
    nlohmann::json batch = routeJson("batch", "/batch/", "batch", "model", timeoutMs);
    batch["dueMs"] = 18'000;
    batch["retentionS"] = 60;
    batch["maxCount"] = waitingTokenLimit;
    nlohmann::json routes{resumable,
                          batch,
                          routeJson("stream", "/stream/", "streaming", "model", timeoutMs),
                          routeJson("plain", "/plain/", "safe", "plain", timeoutMs),
                          routeJson("once", "/once/", "unsafe", "plain", timeoutMs)};
    nlohmann::json services{{{"name", "model"}}, {{"name", "plain"}}};
    if (!this->split.is_null()) {
        for (nlohmann::json &route : routes) {
            if (route["name"] != "stream" && route["name"] != "once") {
                route["split"] = this->split;
            }
        }
        for (const nlohmann::json &share : this->split) {
            services.push_back({{"name", share["service"]}});
        }
    }
    nlohmann::json config{{"version", version},
                          {"services", services},
                          {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
    if (!this->organisations.is_null()) {
        config["tenants"] = this->organisations;
        routes.push_back(routeJson("public", "/public/", "safe", "plain", timeoutMs));
        routes.back()["public"] = true;
    }
    config["routes"] = routes;
    this->store.write("config", "main", config);
}

void SiteFleet::writeConfigWithout(const std::string &route, int version)
{
    nlohmann::json config = this->store.read("config", "main").at("spec");
    nlohmann::json kept = nlohmann::json::array();
    for (const nlohmann::json &each : config["routes"]) {
        if (each["name"] != route) {
            kept.push_back(each);
        }
    }
    config["version"] = version;
    config["routes"] = kept;
    this->store.write("config", "main", config);
}

void SiteFleet::registerUpstream(const StandinUpstream &upstream, const std::string &service, const std::string &state, std::optional<std::int64_t> startedAtMs)
{
    nlohmann::json entry{
        {"service", service}, {"address", upstream.address()}, {"zone", "a"}, {"version", upstream.softwareVersion()}, {"slots", 8}, {"state", state}};
    if (const std::int64_t started = startedAtMs.value_or(upstream.starts()); started != 0) {
        entry["born"] = started;
    }
    this->store.write("servers", upstream.id(), entry);
}

void SiteFleet::addUpstream(const std::string &service, int events, absl::Duration eventInterval, UpstreamOptions options)
{
    options.onRestarted = [this, service, number = this->upstreams.size()] { this->registerUpstream(*this->upstreams[number], service, "ready"); };
    this->upstreams.push_back(std::make_unique<StandinUpstream>(this->loop, absl::StrCat("up-", this->upstreams.size()), events, eventInterval, options));
    this->registerUpstream(*this->upstreams.back(), service, "ready");
}

SiteFleet::RunningHost &SiteFleet::startHost(const std::string &name, const std::string &storeAddress, const std::string &dataCentre)
{
    auto running = std::make_unique<RunningHost>();
    running->metrics = std::make_unique<EntryMetrics>();
    running->log = std::make_unique<JsonLog>(this->loop, name, this->nullDevice);
    EntrySettings settings;
    settings.name = name;
    settings.region = "north";
    settings.dataCentre = dataCentre;
    settings.regionByDataCentre = {{"a", "north"}, {"b", "north"}, {"c", "north"}};
    settings.entryAddress = settings.readyAddress = settings.directoryAddress = settings.controlAddress = "127.0.0.1:0";
    settings.peerAddress = settings.metricsAddress = "127.0.0.1:0";
    settings.storeAddress = storeAddress.empty() ? this->store.address() : storeAddress;
    settings.revocationBound = this->revocationBound;
    PlatformAdapter platform = connectPlatform(this->loop, settings.storeAddress, *running->metrics);
    platform.serving.decodeCall = [this, decode = platform.serving.decodeCall](const HttpRequest &request) {
        if (request.fields.find(callIdField)) {
            this->forwardedCalls.push_back(request);
        }
        return decode(request);
    };
    if (this->adjustSettings) {
        this->adjustSettings(settings);
    }
    running->host = std::make_unique<EntryHost>(
        this->loop, settings, std::move(platform), *running->log, *running->metrics, [raw = running.get()] { raw->stopped = true; });
    this->hosts.push_back(std::move(running));
    return *this->hosts.back();
}

void SiteFleet::startHosts(int count)
{
    for (int number = 0; number < count; ++number) {
        this->startHost(absl::StrCat("host-", number));
    }
    this->waitUntilHostsKnowEachOther();
}

void SiteFleet::waitUntilHostsKnowEachOther()
{
    ASSERT_TRUE(runUntil(this->loop, [this] { return std::ranges::all_of(this->hosts, [](const auto &each) { return each->host->ready(); }); }));
    const auto knowsAll = [this](const RunningHost &host) {
        // With the name of a data centre that has no host, the answer lists the hosts of the whole region.
        const Answer &answer = this->wait(this->send(host, "GET", "/bergamotramp/resolve?name=x&region=north&zone=none", {}));
        return answer.head.status == 200 && nlohmann::json::parse(answer.body).at("addresses").size() == this->hosts.size();
    };
    for (const auto &host : this->hosts) {
        while (!knowsAll(*host)) {
            runFor(this->loop, absl::Milliseconds(50));
        }
    }
}

void SiteFleet::crashHost(RunningHost &host)
{
    host.host.reset();
}

std::shared_ptr<SiteFleet::Answer> SiteFleet::send(
    const RunningHost &host, const std::string &method, const std::string &target, const HttpFields &fields, const std::string &body)
{
    const auto answer = std::make_shared<Answer>();
    const bool directory = target.starts_with("/bergamotramp/resolve");
    const EntrySettings &settings = host.host->currentSettings();
    HttpRequest request{.method = method, .target = target, .fields = fields, .body = body};
    request.fields.set("Host", callerHost);
    for (const HttpField &field : this->callerFields.all()) {
        request.fields.add(field.name, field.value);
    }
    answer->call = this->client.send(directory ? settings.directoryAddress : settings.entryAddress,
                                     request,
                                     {.matchesRequest = {},
                                      .head = [raw = answer.get()](const HttpHead &head) { raw->head = head; },
                                      .body = [raw = answer.get()](std::string_view bytes) { raw->body.append(bytes); },
                                      .completed = [raw = answer.get()] { raw->completed = true; },
                                      .failed = [raw = answer.get()](HttpCallError) { raw->failed = true; }});
    this->answers.push_back(answer);
    return answer;
}

SiteFleet::Answer &SiteFleet::wait(const std::shared_ptr<Answer> &answer)
{
    EXPECT_TRUE(runUntil(this->loop, [&answer] { return answer->ended(); }));
    return *answer;
}

SiteFleet::Answer &SiteFleet::request(const RunningHost &host, const std::string &path, const std::string &id)
{
    return this->wait(this->send(host, "POST", path, {{"X-Request-Id", id}, {"X-Deadline-Ms", "5000"}}, "prompt"));
}

std::shared_ptr<SiteFleet::Answer> SiteFleet::sendSubmission(const RunningHost &host, const std::string &id, int items)
{
    nlohmann::json list = nlohmann::json::array();
    for (int number = 0; number < items; ++number) {
        list.push_back({{"id", absl::StrCat(id, "-item-", number)},
                        {"path", "/batch/x"},
                        {"headers", {{"X-Model", "m"}}},
                        {"body", absl::Base64Escape(absl::StrCat("body-", number))},
                        {"tokens", itemTokens}});
    }
    return this->send(host, "POST", "/batch/submit", {{"X-Request-Id", id}}, nlohmann::json{{"items", list}}.dump());
}

int SiteFleet::submit(const RunningHost &host, const std::string &id, int items)
{
    return this->wait(this->sendSubmission(host, id, items)).head.status;
}

nlohmann::json SiteFleet::readJob(const RunningHost &host, const std::string &id, std::size_t after)
{
    const Answer &answer = this->wait(this->send(host, "GET", absl::StrCat("/bergamotramp/lots/", id, "?after=", after), {{"X-Wait-Ms", "1000"}}));
    return answer.head.status == 200 ? nlohmann::json::parse(answer.body) : nlohmann::json{{"status", answer.head.status}};
}

nlohmann::json SiteFleet::readWholeJob(const RunningHost &host, const std::string &id, std::size_t items)
{
    nlohmann::json results = nlohmann::json::array();
    const absl::Time end = absl::Now() + absl::Seconds(40);
    while (results.size() < items && absl::Now() < end) {
        const nlohmann::json page = this->readJob(host, id, results.size());
        if (page.contains("results")) {
            EXPECT_EQ(page["total"], items);
            results.insert(results.end(), page["results"].begin(), page["results"].end());
        }
    }
    return results;
}

std::string SiteFleet::wholeStream(int events, int first)
{
    std::string text;
    for (int number = first; number <= events; ++number) {
        absl::StrAppend(&text, "id: ", number, "\ndata: ", StandinUpstream::eventData(number), "\n\n");
    }
    return text;
}

} // namespace Bergamotramp
