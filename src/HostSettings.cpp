#include "HostSettings.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "JsonReader.h"

namespace Bergamotramp {

namespace {

constexpr std::int64_t mebibyte = 1024 * 1024;
constexpr IntegerRange timeoutRange{10, 60'000}; // ms

void checkAddress(const std::string &address, const std::string &path)
{
    const std::size_t colon = address.rfind(':');
    int port = -1;
    if (colon == std::string::npos || colon == 0 || !absl::SimpleAtoi(address.substr(colon + 1), &port) || port < 0 || port > 65535) {
        throw JsonError(path, absl::StrCat("\"", address, "\" is not an address of the form IP:port"));
    }
}

std::string readAddress(JsonReader &reader, const std::string &key)
{
    std::string address = reader.requiredString(key);
    checkAddress(address, reader.pathOf(key));
    return address;
}

void readPeerRoutes(JsonReader &reader, std::map<std::string, std::string> &routes)
{
    reader.optionalMap("peerRoutes", [&routes](const std::string &announced, const nlohmann::json &route, const std::string &path) {
        if (!route.is_string()) {
            throw JsonError(path, "must be a string");
        }
        checkAddress(announced, path);
        checkAddress(route.get<std::string>(), path);
        routes[announced] = route.get<std::string>();
    });
}

absl::Duration readMilliseconds(JsonReader &reader, const std::string &key, absl::Duration fallback, IntegerRange range)
{
    return absl::Milliseconds(reader.optionalInteger(key, absl::ToInt64Milliseconds(fallback), range));
}

RoutingMode readRouting(JsonReader &reader)
{
    const std::string name = reader.choice("routing", {"pool", "random", "roundRobin", "leastInFlight", "twoChoices"}, "pool");
    if (name == "random") {
        return RoutingMode::Random;
    }
    if (name == "roundRobin") {
        return RoutingMode::RoundRobin;
    }
    if (name == "leastInFlight") {
        return RoutingMode::LeastInFlight;
    }
    return name == "twoChoices" ? RoutingMode::TwoChoices : RoutingMode::Pool;
}

void readLimits(JsonReader &reader, CallerLimits &limits)
{
    limits.bodyBytes = reader.optionalInteger("bodyBytes", limits.bodyBytes, {1024, 64 * mebibyte});
    limits.jobBytes = reader.optionalInteger("jobBytes", limits.jobBytes, {1024, 4096 * mebibyte});
    limits.jobItems = reader.optionalInteger("jobItems", limits.jobItems, {1, 1'000'000});
    limits.itemBytes = reader.optionalInteger("itemBytes", limits.itemBytes, {64, mebibyte / 2});
    limits.connections = reader.optionalInteger("connections", limits.connections, {4, 4096});
}

HostSettings readSettings(const nlohmann::json &json)
{
    JsonReader reader(json, "");
    HostSettings settings;
    settings.name = reader.requiredString("name");
    settings.region = reader.requiredString("region");
    settings.dataCentre = reader.requiredString("dataCentre");
    settings.callerAddress = readAddress(reader, "callerAddress");
    settings.peerAddress = readAddress(reader, "peerAddress");
    readPeerRoutes(reader, settings.peerRoutes);
    settings.adminAddress = readAddress(reader, "adminAddress");
    settings.storeAddress = readAddress(reader, "storeAddress");
    settings.storeTimeout = readMilliseconds(reader, "storeTimeoutMs", settings.storeTimeout, timeoutRange);
    settings.dataFolder = reader.optionalString("dataFolder", "");
    settings.eventLog = reader.optionalString("eventLog", "");
    settings.entryTimeToLive = readMilliseconds(reader, "entryTimeToLiveMs", settings.entryTimeToLive, {100, 600'000});
    settings.membershipPeriod = readMilliseconds(reader, "membershipPeriodMs", settings.membershipPeriod, {20, 10'000});
    settings.journalShards = reader.optionalInteger("journalShards", settings.journalShards, {1, 4096});
    settings.journalRetention = readMilliseconds(reader, "journalRetentionMs", settings.journalRetention, {1000, 86'400'000});
    settings.journalBytes = reader.optionalInteger("journalBytes", settings.journalBytes, {64 * 1024, 1024 * 1024 * 1024});
    settings.batchConcurrency = reader.optionalInteger("batchConcurrency", settings.batchConcurrency, {1, 4096});
    settings.slotReplyTimeout = readMilliseconds(reader, "slotReplyTimeoutMs", settings.slotReplyTimeout, timeoutRange);
    settings.routing = readRouting(reader);
    reader.optionalObject("limits", [&settings](JsonReader &nested) { readLimits(nested, settings.limits); });
    reader.rejectUnreadKeys();
    return settings;
}

} // namespace

SettingsError::SettingsError(const std::string &file, const std::string &problem) : std::runtime_error(absl::StrCat(file, ": ", problem))
{
}

HostSettings HostSettings::parse(const std::string &file, std::string_view text)
{
    try {
        return readSettings(JsonReader::parse(text));
    } catch (const JsonError &error) {
        throw SettingsError(file, error.what());
    }
}

HostSettings HostSettings::load(const std::string &file)
{
    const std::ifstream stream(file);
    // Opening a directory succeeds and yields no text.
    if (!stream || std::filesystem::is_directory(file)) {
        throw SettingsError(file, "cannot be read");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return HostSettings::parse(file, text.str());
}

} // namespace Bergamotramp
