#pragma once

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** A key of a JSON document is missing, unknown, of the wrong type or out of range. */
class JsonError : public std::runtime_error
{
public:
    JsonError(std::string path, const std::string &problem);

    /** Path of the key in the document, for example "limits.bodyBytes". */
    [[nodiscard]] const std::string &path() const;

private:
    std::string keyPath;
};

/** Inclusive range of an integer setting. */
struct IntegerRange {
    std::int64_t minimum;
    std::int64_t maximum;
};

/**
 * Typed access to one JSON object. Every accessor throws JsonError with the path of the key if the value is invalid.
 * rejectUnreadKeys() rejects keys that no accessor has read.
 */
class JsonReader
{
public:
    /** @p path is the path of @p object in its document, empty for the root. */
    JsonReader(const nlohmann::json &object, std::string path);

    /** Parses @p text as a JSON object; throws JsonError with the position of a syntax error. */
    static nlohmann::json parse(std::string_view text);

    [[nodiscard]] bool has(const std::string &key) const;
    std::string requiredString(const std::string &key);
    std::string optionalString(const std::string &key, const std::string &fallback);
    /** An optional string that has to be one of @p accepted. */
    std::string choice(const std::string &key, const std::vector<std::string> &accepted, const std::string &fallback);
    std::int64_t requiredInteger(const std::string &key, IntegerRange range);
    std::int64_t optionalInteger(const std::string &key, std::int64_t fallback, IntegerRange range);
    double optionalNumber(const std::string &key, double fallback, double minimum, double maximum);
    bool optionalBoolean(const std::string &key, bool fallback);
    /** Calls @p read with a reader of the nested object, if there is one. */
    void optionalObject(const std::string &key, const std::function<void(JsonReader &)> &read);
    /** Calls @p read with every element of an array and its path; an absent array counts as empty. */
    void optionalArray(const std::string &key, const std::function<void(const nlohmann::json &, const std::string &)> &read);
    /** Calls @p read with the key, value and path of every entry of a nested object whose keys are not fixed. */
    void optionalMap(const std::string &key, const std::function<void(const std::string &, const nlohmann::json &, const std::string &)> &read);
    /** Throws JsonError for the first key that no accessor has read. */
    void rejectUnreadKeys() const;

    [[nodiscard]] std::string pathOf(const std::string &key) const;

private:
    const nlohmann::json *find(const std::string &key);

    const nlohmann::json &object;
    std::string path;
    std::vector<std::string> readKeys;
};

} // namespace Bergamotramp
