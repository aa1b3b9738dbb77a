#include "ConfigPointer.h"

#include <algorithm>
#include <limits>

#include "JsonReader.h"

namespace Bergamotramp {

namespace {

ConfigEntry readEntry(JsonReader &reader)
{
    ConfigEntry entry;
    entry.generation = static_cast<std::uint64_t>(reader.requiredInteger("generation", {1, std::numeric_limits<std::int64_t>::max()}));
    entry.key = reader.requiredString("key");
    entry.writer = reader.requiredString("writer");
    return entry;
}

nlohmann::json toJson(const ConfigEntry &entry)
{
    return {{"generation", entry.generation}, {"key", entry.key}, {"writer", entry.writer}};
}

} // namespace

ConfigPointer ConfigPointer::fromJsonText(std::string_view text)
{
    const nlohmann::json json = JsonReader::parse(text);
    JsonReader reader(json, "");
    ConfigPointer pointer;
    pointer.entries.push_back(readEntry(reader));
    reader.optionalArray("history", [&pointer](const nlohmann::json &element, const std::string &path) {
        JsonReader nested(element, path);
        pointer.entries.push_back(readEntry(nested));
        nested.rejectUnreadKeys();
    });
    reader.rejectUnreadKeys();
    return pointer;
}

std::string ConfigPointer::toJsonText() const
{
    nlohmann::json json = toJson(this->entries.front());
    json["history"] = nlohmann::json::array();
    for (std::size_t index = 1; index < this->entries.size(); ++index) {
        json["history"].push_back(toJson(this->entries[index]));
    }
    return json.dump();
}

std::uint64_t ConfigPointer::generation() const
{
    return this->entries.empty() ? 0 : this->entries.front().generation;
}

const ConfigEntry *ConfigPointer::find(std::uint64_t generation) const
{
    const auto found =
        std::find_if(this->entries.begin(), this->entries.end(), [generation](const ConfigEntry &entry) { return entry.generation == generation; });
    return found == this->entries.end() ? nullptr : &*found;
}

ConfigPointer ConfigPointer::followedBy(const ConfigEntry &entry) const
{
    ConfigPointer next;
    next.entries.push_back(entry);
    next.entries.insert(
        next.entries.end(), this->entries.begin(), this->entries.begin() + static_cast<std::ptrdiff_t>(std::min(this->entries.size(), maxEntries - 1)));
    return next;
}

} // namespace Bergamotramp
