#include "JsonReader.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace Bergamotramp {

JsonError::JsonError(std::string path, const std::string &problem)
    : std::runtime_error(path.empty() ? problem : absl::StrCat(path, ": ", problem)), keyPath(std::move(path))
{
}

const std::string &JsonError::path() const
{
    return this->keyPath;
}

JsonReader::JsonReader(const nlohmann::json &object, std::string path) : object(object), path(std::move(path))
{
    if (!object.is_object()) {
        throw JsonError(this->path, "must be an object");
    }
}

nlohmann::json JsonReader::parse(std::string_view text)
{
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error &error) {
        throw JsonError("", absl::StrCat("not valid JSON at byte ", error.byte));
    }
}

bool JsonReader::has(const std::string &key) const
{
    return this->object.contains(key);
}

std::string JsonReader::requiredString(const std::string &key)
{
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        throw JsonError(this->pathOf(key), "is missing");
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        throw JsonError(this->pathOf(key), "must be a non-empty string");
    }
    return value->get<std::string>();
}

std::string JsonReader::optionalString(const std::string &key, const std::string &fallback)
{
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_string()) {
        throw JsonError(this->pathOf(key), "must be a string");
    }
    return value->get<std::string>();
}

std::string JsonReader::choice(const std::string &key, const std::vector<std::string> &accepted, const std::string &fallback)
{
    const std::string value = this->optionalString(key, fallback);
    if (std::find(accepted.begin(), accepted.end(), value) == accepted.end()) {
        throw JsonError(this->pathOf(key), absl::StrCat("\"", value, "\" is not one of: ", absl::StrJoin(accepted, ", ")));
    }
    return value;
}

std::int64_t JsonReader::requiredInteger(const std::string &key, IntegerRange range)
{
    if (!this->has(key)) {
        throw JsonError(this->pathOf(key), "is missing");
    }
    return this->optionalInteger(key, range.minimum, range);
}

std::int64_t JsonReader::optionalInteger(const std::string &key, std::int64_t fallback, IntegerRange range)
{
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        return fallback;
    }
    const bool isInt64 = value->is_number_integer() && (!value->is_number_unsigned() || value->get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
    if (!isInt64 || value->get<std::int64_t>() < range.minimum || value->get<std::int64_t>() > range.maximum) {
        throw JsonError(this->pathOf(key), absl::StrCat("must be an integer from ", range.minimum, " to ", range.maximum));
    }
    return value->get<std::int64_t>();
}

double JsonReader::optionalNumber(const std::string &key, double fallback, double minimum, double maximum)
{
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number() || value->get<double>() < minimum || value->get<double>() > maximum) {
        throw JsonError(this->pathOf(key), absl::StrCat("must be a number from ", minimum, " to ", maximum));
    }
    return value->get<double>();
}

bool JsonReader::optionalBoolean(const std::string &key, bool fallback)
{
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        throw JsonError(this->pathOf(key), "must be true or false");
    }
    return value->get<bool>();
}

void JsonReader::optionalObject(const std::string &key, const std::function<void(JsonReader &)> &read)
{
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        return;
    }
    JsonReader nested(*value, this->pathOf(key));
    read(nested);
    nested.rejectUnreadKeys();
}

void JsonReader::optionalArray(const std::string &key, const std::function<void(const nlohmann::json &, const std::string &)> &read)
{
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        throw JsonError(this->pathOf(key), "must be an array");
    }
    std::size_t index = 0;
    for (const nlohmann::json &element : *value) {
        read(element, absl::StrCat(this->pathOf(key), "[", index, "]"));
        ++index;
    }
}

void JsonReader::optionalMap(const std::string &key, const std::function<void(const std::string &, const nlohmann::json &, const std::string &)> &read)
{
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_object()) {
        throw JsonError(this->pathOf(key), "must be an object");
    }
    for (const auto &[name, element] : value->items()) {
        read(name, element, absl::StrCat(this->pathOf(key), ".", name));
    }
}

void JsonReader::rejectUnreadKeys() const
{
    for (const auto &[key, value] : this->object.items()) {
        if (std::find(this->readKeys.begin(), this->readKeys.end(), key) == this->readKeys.end()) {
            throw JsonError(this->pathOf(key), absl::StrCat("unknown key; accepted keys are: ", absl::StrJoin(this->readKeys, ", ")));
        }
    }
}

std::string JsonReader::pathOf(const std::string &key) const
{
    return this->path.empty() ? key : absl::StrCat(this->path, ".", key);
}

const nlohmann::json *JsonReader::find(const std::string &key)
{
    this->readKeys.push_back(key);
    const auto found = this->object.find(key);
    return found == this->object.end() ? nullptr : &*found;
}

} // namespace Bergamotramp
