#include "ServiceSpec.h"

#include <algorithm>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "JsonReader.h"

namespace Bergamotramp {

namespace {

constexpr IntegerRange millisecondRange{1, 86'400'000};
constexpr IntegerRange dueSecondsRange{1, 30 * 86'400};
constexpr IntegerRange slotRange{1, 4096};
constexpr IntegerRange attemptRange{1, 10};
constexpr std::size_t maxNameLength = 100;

bool isNameCharacter(char character)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_' || character == '.';
}

std::string readName(JsonReader &reader, const std::string &key)
{
    std::string name = reader.requiredString(key);
    if (name.size() > maxNameLength || !std::all_of(name.begin(), name.end(), isNameCharacter)) {
        throw JsonError(reader.pathOf(key), "may hold up to 100 letters, digits, '-', '_' and '.'");
    }
    return name;
}

void checkAddress(const std::string &address, const std::string &path)
{
    const std::size_t colon = address.rfind(':');
    int port = 0;
    if (colon == std::string::npos || colon == 0 || !absl::SimpleAtoi(address.substr(colon + 1), &port) || port < 1 || port > 65535) {
        throw JsonError(path, absl::StrCat("\"", address, "\" is not an address of the form IP:port"));
    }
}

UpstreamSpec readUpstream(const nlohmann::json &element, const std::string &path)
{
    UpstreamSpec upstream;
    if (element.is_string()) {
        upstream.address = element.get<std::string>();
        upstream.name = upstream.address;
        checkAddress(upstream.address, path);
        return upstream;
    }
    JsonReader reader(element, path);
    upstream.address = reader.requiredString("address");
    checkAddress(upstream.address, reader.pathOf("address"));
    upstream.name = reader.optionalString("name", upstream.address);
    upstream.leaving = reader.optionalBoolean("leaving", false);
    reader.rejectUnreadKeys();
    return upstream;
}

std::vector<UpstreamSpec> readUpstreams(JsonReader &reader)
{
    std::vector<UpstreamSpec> upstreams;
    reader.optionalMap("upstreams", [&upstreams](const std::string &regionAndDataCentre, const nlohmann::json &list, const std::string &path) {
        const std::vector<std::string> parts = absl::StrSplit(regionAndDataCentre, '/');
        if (parts.size() != 2 || parts[0].empty() || parts[1].empty()) {
            throw JsonError(path, "the key must have the form region/data-centre");
        }
        if (!list.is_array()) {
            throw JsonError(path, "must be an array of addresses or upstream objects");
        }
        std::size_t index = 0;
        for (const nlohmann::json &element : list) {
            UpstreamSpec upstream = readUpstream(element, absl::StrCat(path, "[", index, "]"));
            upstream.region = parts[0];
            upstream.dataCentre = parts[1];
            upstreams.push_back(std::move(upstream));
            ++index;
        }
    });
    absl::flat_hash_set<std::string> names;
    for (const UpstreamSpec &upstream : upstreams) {
        if (!names.insert(upstream.name).second) {
            throw JsonError(reader.pathOf("upstreams"), absl::StrCat("the name ", upstream.name, " stands twice"));
        }
    }
    return upstreams;
}

std::vector<RouteSpec> readRoutes(JsonReader &reader)
{
    std::vector<RouteSpec> routes;
    reader.optionalArray("routes", [&routes](const nlohmann::json &element, const std::string &path) {
        JsonReader route(element, path);
        RouteSpec spec{route.requiredString("path"), route.optionalBoolean("idempotent", false)};
        if (!spec.pathPrefix.starts_with("/")) {
            throw JsonError(route.pathOf("path"), "must start with '/'");
        }
        route.rejectUnreadKeys();
        routes.push_back(std::move(spec));
    });
    return routes;
}

absl::Duration readMilliseconds(JsonReader &reader, const std::string &key, absl::Duration fallback)
{
    return absl::Milliseconds(reader.optionalInteger(key, absl::ToInt64Milliseconds(fallback), millisecondRange));
}

OnlineObjective readOnline(JsonReader &reader)
{
    OnlineObjective online;
    reader.optionalObject("online", [&online](JsonReader &nested) {
        online.firstToken = readMilliseconds(nested, "firstTokenMs", online.firstToken);
        online.betweenTokens = readMilliseconds(nested, "betweenTokensMs", online.betweenTokens);
        online.deadline = readMilliseconds(nested, "deadlineMs", online.deadline);
        online.reserveShare = nested.optionalNumber("reserveShare", online.reserveShare, 0.0, 1.0);
    });
    return online;
}

BatchObjective readBatch(JsonReader &reader)
{
    BatchObjective batch;
    reader.optionalObject("batch", [&batch](JsonReader &nested) {
        batch.due = absl::Seconds(nested.optionalInteger("dueSeconds", absl::ToInt64Seconds(batch.due), dueSecondsRange));
        batch.weight = nested.optionalNumber("weight", batch.weight, 0.001, 1000.0);
        batch.maxAttempts = nested.optionalInteger("maxAttempts", batch.maxAttempts, attemptRange);
    });
    return batch;
}

RepeatLimits readRepeat(JsonReader &reader)
{
    RepeatLimits repeat;
    reader.optionalObject("repeat", [&repeat](JsonReader &nested) {
        repeat.maxAttempts = nested.optionalInteger("maxAttempts", repeat.maxAttempts, attemptRange);
        repeat.retryBudgetShare = nested.optionalNumber("retryBudgetShare", repeat.retryBudgetShare, 0.0, 1.0);
        repeat.hedgeBudgetShare = nested.optionalNumber("hedgeBudgetShare", repeat.hedgeBudgetShare, 0.0, 1.0);
        repeat.hedgePercentile = nested.optionalNumber("hedgePercentile", repeat.hedgePercentile, 0.5, 0.9999);
    });
    return repeat;
}

nlohmann::json upstreamsToJson(const std::vector<UpstreamSpec> &upstreams)
{
    nlohmann::json json = nlohmann::json::object();
    for (const UpstreamSpec &upstream : upstreams) {
        json[absl::StrCat(upstream.region, "/", upstream.dataCentre)].push_back(
            {{"name", upstream.name}, {"address", upstream.address}, {"leaving", upstream.leaving}});
    }
    return json;
}

} // namespace

ServiceFileError::ServiceFileError(const std::string &file, const std::string &problem) : std::runtime_error(absl::StrCat(file, ": ", problem))
{
}

ServiceSpec ServiceSpec::parse(const std::string &file, std::string_view text)
{
    try {
        return ServiceSpec::fromJson(JsonReader::parse(text), "");
    } catch (const JsonError &error) {
        throw ServiceFileError(file, error.what());
    }
}

ServiceSpec ServiceSpec::fromJson(const nlohmann::json &json, const std::string &path)
{
    JsonReader reader(json, path);
    ServiceSpec spec;
    spec.name = readName(reader, "name");
    spec.kind = reader.choice("kind", {"model", "plain"}, "model") == "plain" ? ServiceKind::Plain : ServiceKind::Model;
    spec.model = reader.optionalString("model", spec.name);
    spec.adapter = reader.optionalString("adapter", "");
    spec.version = reader.optionalString("version", "");
    spec.slotsPerUpstream = reader.optionalInteger("slotsPerUpstream", spec.slotsPerUpstream, slotRange);
    spec.upstreams = readUpstreams(reader);
    spec.routes = readRoutes(reader);
    spec.online = readOnline(reader);
    spec.batch = readBatch(reader);
    spec.repeat = readRepeat(reader);
    spec.fencingHonoured = reader.choice("fencing", {"honoured", "ignored"}, "ignored") == "honoured";
    reader.rejectUnreadKeys();
    return spec;
}

nlohmann::json ServiceSpec::toJson() const
{
    nlohmann::json routesJson = nlohmann::json::array();
    for (const RouteSpec &route : this->routes) {
        routesJson.push_back({{"path", route.pathPrefix}, {"idempotent", route.idempotent}});
    }
    return {
        {"name", this->name},
        {"kind", this->kind == ServiceKind::Plain ? "plain" : "model"},
        {"model", this->model},
        {"adapter", this->adapter},
        {"version", this->version},
        {"slotsPerUpstream", this->slotsPerUpstream},
        {"upstreams", upstreamsToJson(this->upstreams)},
        {"routes", routesJson},
        {"online",
         {{"firstTokenMs", absl::ToInt64Milliseconds(this->online.firstToken)},
          {"betweenTokensMs", absl::ToInt64Milliseconds(this->online.betweenTokens)},
          {"deadlineMs", absl::ToInt64Milliseconds(this->online.deadline)},
          {"reserveShare", this->online.reserveShare}}},
        {"batch", {{"dueSeconds", absl::ToInt64Seconds(this->batch.due)}, {"weight", this->batch.weight}, {"maxAttempts", this->batch.maxAttempts}}},
        {"repeat",
         {{"maxAttempts", this->repeat.maxAttempts},
          {"retryBudgetShare", this->repeat.retryBudgetShare},
          {"hedgeBudgetShare", this->repeat.hedgeBudgetShare},
          {"hedgePercentile", this->repeat.hedgePercentile}}},
        {"fencing", this->fencingHonoured ? "honoured" : "ignored"},
    };
}

bool ServiceSpec::isIdempotent(std::string_view path) const
{
    if (this->kind == ServiceKind::Model) {
        return true;
    }
    // The longest matching prefix decides, so that a route can be an exception to a more general one.
    const RouteSpec *best = nullptr;
    for (const RouteSpec &route : this->routes) {
        const bool isPrefix = path.starts_with(route.pathPrefix);
        if (isPrefix && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best != nullptr && best->idempotent;
}

} // namespace Bergamotramp
