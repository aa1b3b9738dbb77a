#include "EntrySettings.h"

#include <fstream>
#include <sstream>

#include "JsonReader.h"
#include "TcpStream.h"

namespace Bergamotramp {

namespace {

constexpr IntegerRange connectionRange{1, 100'000};
constexpr IntegerRange timeRangeMs{100, 600'000};
constexpr double maxLinkMbps = 1e6;
constexpr IntegerRange memoryRangeMb{0, 1 << 20};
constexpr IntegerRange descriptorRange{0, 1 << 20};
constexpr double maxHedgeShare = 0.2;
constexpr double minHedgePercentile = 0.5;
constexpr double maxHedgePercentile = 0.999;
constexpr IntegerRange revocationBoundRangeMs{0, 600'000};
// A query of the store takes up to some hundred milliseconds when the store is slow.
constexpr std::int64_t minRevocationBoundMs = 500;

std::string validatedAddress(std::string address, const std::string &path)
{
    try {
        checkEndpoint(address);
    } catch (const std::invalid_argument &error) {
        throw JsonError(path, error.what());
    }
    return address;
}

std::string readAddress(JsonReader &reader, const std::string &key)
{
    return validatedAddress(reader.requiredString(key), reader.pathOf(key));
}

void readIdentity(JsonReader &reader, EntrySettings &settings)
{
    settings.name = reader.requiredString("name");
    settings.role = reader.choice("role", {"entry", "disk"}, "entry") == "entry" ? HostRole::Entry : HostRole::Disk;
    settings.region = reader.requiredString("region");
    settings.dataCentre = reader.requiredString("dataCentre");
    reader.optionalMap("regions", [&settings](const std::string &dataCentre, const nlohmann::json &region, const std::string &path) {
        if (!region.is_string()) {
            throw JsonError(path, "must be a string");
        }
        settings.regionByDataCentre[dataCentre] = region.get<std::string>();
    });
}

void readEntryAddresses(JsonReader &reader, EntrySettings &settings)
{
    settings.entryAddress = readAddress(reader, "entryAddress");
    settings.readyAddress = readAddress(reader, "readyAddress");
    settings.directoryAddress = readAddress(reader, "directoryAddress");
    settings.controlAddress = readAddress(reader, "controlAddress");
    settings.peerAddress = readAddress(reader, "peerAddress");
    reader.optionalArray("seeds", [&settings](const nlohmann::json &seed, const std::string &path) {
        if (!seed.is_string()) {
            throw JsonError(path, "must be a string");
        }
        settings.seeds.push_back(validatedAddress(seed.get<std::string>(), path));
    });
}

absl::Duration readRevocationBound(JsonReader &reader)
{
    const std::int64_t boundMs = reader.optionalInteger("revocationBoundMs", 0, revocationBoundRangeMs);
    if (boundMs != 0 && boundMs < minRevocationBoundMs) {
        throw JsonError(reader.pathOf("revocationBoundMs"), "must be 0 or at least " + std::to_string(minRevocationBoundMs));
    }
    return absl::Milliseconds(boundMs);
}

EntrySettings readSettings(JsonReader &reader)
{
    EntrySettings settings;
    readIdentity(reader, settings);
    settings.storeAddress = readAddress(reader, "storeAddress");
    settings.metricsAddress = readAddress(reader, "metricsAddress");
    if (settings.role == HostRole::Entry) {
        readEntryAddresses(reader, settings);
    }
    settings.maxConnections = reader.optionalInteger("maxConnections", settings.maxConnections, connectionRange);
    settings.linkMbps = static_cast<std::int64_t>(reader.optionalNumber("linkMbps", 0.0, 0.0, maxLinkMbps));
    settings.memoryMb = reader.optionalInteger("memoryMb", settings.memoryMb, memoryRangeMb);
    settings.maxDescriptors = reader.optionalInteger("maxDescriptors", settings.maxDescriptors, descriptorRange);
    settings.addressTimeToLive =
        absl::Milliseconds(reader.optionalInteger("addressTimeToLiveMs", absl::ToInt64Milliseconds(settings.addressTimeToLive), timeRangeMs));
    settings.stopGrace = absl::Seconds(reader.optionalNumber("stopGraceS", absl::ToDoubleSeconds(settings.stopGrace), 0.1, 600.0));
    settings.hedgeShare = reader.optionalNumber("hedgeShare", settings.hedgeShare, 0.0, maxHedgeShare);
    settings.hedgePercentile = reader.optionalNumber("hedgePercentile", settings.hedgePercentile, minHedgePercentile, maxHedgePercentile);
    settings.revocationBound = readRevocationBound(reader);
    reader.rejectUnreadKeys();
    return settings;
}

} // namespace

EntrySettingsError::EntrySettingsError(const std::string &file, const std::string &problem) : std::runtime_error(file + ": " + problem)
{
}

EntrySettings EntrySettings::parse(const std::string &file, std::string_view text)
{
    try {
        const nlohmann::json document = JsonReader::parse(text);
        JsonReader reader(document, "");
        return readSettings(reader);
    } catch (const JsonError &error) {
        throw EntrySettingsError(file, error.what());
    }
}

EntrySettings EntrySettings::load(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        throw EntrySettingsError(file, "cannot be opened");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parse(file, text.str());
}

} // namespace Bergamotramp
