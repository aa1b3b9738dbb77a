#include "JobTypes.h"

#include <algorithm>
#include <functional>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

// Bounds of a header in the store. The sums over all jobs of a route stay within 64 bits.
constexpr std::int64_t maxJobItems = 1'000'000'000;
constexpr std::int64_t maxJobTokens = 1'000'000'000'000;

/** Rethrows errors of the JSON library as JobFormatError. */
template <typename Value>
Value convertJsonErrors(const std::function<Value()> &read)
{
    try {
        return read();
    } catch (const nlohmann::json::exception &error) {
        throw JobFormatError(error.what());
    }
}

/** The value of @p key if it has the type of @p fallback. */
template <typename Value>
Value readOr(const nlohmann::json &json, const char *key, Value fallback)
{
    try {
        return json.value(key, fallback);
    } catch (const nlohmann::json::exception &) {
        return fallback;
    }
}

/** Reads a number of @p name from 0 to @p maximum; throws JobFormatError. */
std::int64_t readCount(const nlohmann::json &json, const char *name, std::int64_t maximum)
{
    const double value = json.is_number() ? json.get<double>() : -1.0;
    if (!(value >= 0.0 && value <= static_cast<double>(maximum))) {
        throw JobFormatError(absl::StrCat(name, " is not a number from 0 to ", maximum));
    }
    return json.get<std::int64_t>();
}

bool isVisible(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte > 0x20 && byte != 0x7f;
}

bool isControl(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return (byte < 0x20 && character != '\t') || byte == 0x7f;
}

bool isFieldName(const std::string &name)
{
    return !name.empty() && name.find(':') == std::string::npos && std::ranges::all_of(name, isVisible);
}

} // namespace

std::int64_t readItemTokens(const nlohmann::json &json)
{
    return readCount(json, "tokens", maxItemTokens);
}

void checkItem(const BatchItem &item)
{
    // The id, the path and the fields become lines of the request to an upstream. A line break in them would start further lines,
    // or a second request, whose answer would be taken for the one to the next request on the connection.
    if (std::ranges::any_of(item.id, isControl)) {
        throw JobFormatError("an item's id has control characters");
    }
    if (!item.path.starts_with('/') || !std::ranges::all_of(item.path, isVisible)) {
        throw JobFormatError(absl::StrCat("the path of item ", item.id, " is not a path"));
    }
    for (const HttpField &field : item.fields.all()) {
        if (!isFieldName(field.name) || std::ranges::any_of(field.value, isControl)) {
            throw JobFormatError(absl::StrCat("a header field of item ", item.id, " is malformed"));
        }
    }
}

std::int64_t SubmittedJob::tokens() const
{
    std::int64_t sum = 0;
    for (const BatchItem &item : this->items) {
        sum += item.tokens;
    }
    return sum;
}

nlohmann::json JobRecord::toJson() const
{
    nlohmann::json json{{"host", this->virtualHost},
                        {"pathPrefix", this->pathPrefix},
                        {"owner", this->owner},
                        {"submittedMs", absl::ToUnixMillis(this->submitted)},
                        {"tokens", this->tokens},
                        {"items", this->items},
                        {"inputParts", this->inputParts}};
    if (!this->organisation.empty()) {
        json["organisation"] = this->organisation;
    }
    return json;
}

JobRecord JobRecord::fromJson(const std::string &id, const nlohmann::json &json)
{
    return convertJsonErrors<JobRecord>([&] {
        JobRecord record{.id = id,
                         .virtualHost = json.at("host"),
                         .pathPrefix = json.at("pathPrefix"),
                         .owner = json.at("owner"),
                         .submitted = absl::FromUnixMillis(json.at("submittedMs")),
                         .tokens = readCount(json.at("tokens"), "tokens", maxJobTokens),
                         .items = static_cast<std::size_t>(readCount(json.at("items"), "items", maxJobItems)),
                         .inputParts = static_cast<std::size_t>(readCount(json.at("inputParts"), "inputParts", maxJobItems)),
                         .organisation = json.value("organisation", std::string())};
        // The name becomes a header field of the items.
        if (std::ranges::any_of(record.organisation, isControl)) {
            throw JobFormatError("the organisation has control characters");
        }
        return record;
    });
}

bool JobProgress::isOpen() const
{
    return !this->cancelled && !this->finished;
}

nlohmann::json JobProgress::toJson() const
{
    return {{"cancelled", this->cancelled}, {"finished", this->finished}, {"tokensFinished", this->tokensFinished}, {"runner", this->runner}};
}

JobProgress JobProgress::fromJson(const nlohmann::json &json)
{
    JobProgress progress;
    if (json.is_object()) {
        progress.cancelled = readOr(json, "cancelled", false);
        progress.finished = readOr(json, "finished", false);
        progress.tokensFinished = std::clamp(readOr(json, "tokensFinished", std::int64_t{0}), std::int64_t{0}, maxJobTokens);
        progress.runner = readOr(json, "runner", std::string());
    }
    return progress;
}

nlohmann::json itemsToJson(const std::vector<BatchItem> &items)
{
    nlohmann::json list = nlohmann::json::array();
    for (const BatchItem &item : items) {
        nlohmann::json fields = nlohmann::json::array();
        for (const HttpField &field : item.fields.all()) {
            fields.push_back({field.name, field.value});
        }
        list.push_back({{"id", item.id}, {"path", item.path}, {"fields", fields}, {"body", absl::Base64Escape(item.body)}, {"tokens", item.tokens}});
    }
    return {{"items", list}};
}

std::vector<BatchItem> itemsFromJson(const nlohmann::json &json)
{
    return convertJsonErrors<std::vector<BatchItem>>([&] {
        std::vector<BatchItem> items;
        for (const nlohmann::json &entry : json.at("items")) {
            BatchItem item{.id = entry.at("id"), .path = entry.at("path"), .fields = {}, .body = {}, .tokens = readItemTokens(entry.at("tokens"))};
            for (const nlohmann::json &field : entry.at("fields")) {
                item.fields.add(field.at(0), field.at(1));
            }
            if (!absl::Base64Unescape(entry.at("body").get<std::string>(), &item.body)) {
                throw JobFormatError("the body of item " + item.id + " is not base64");
            }
            checkItem(item);
            items.push_back(std::move(item));
        }
        return items;
    });
}

nlohmann::json resultObjectToJson(const std::string &writer, const ResultObject &object)
{
    nlohmann::json results = nlohmann::json::array();
    for (const JobResult &result : object.results) {
        results.push_back({{"item", result.itemId}, {"completed", result.completed}, {"output", absl::Base64Escape(result.output)}});
    }
    nlohmann::json json{{"writer", writer}, {"results", results}};
    for (const ItemFailures &item : object.failures) {
        json["failures"].push_back({{"item", item.itemId}, {"count", item.failures}});
    }
    return json;
}

ResultObject resultObjectFromJson(const nlohmann::json &json)
{
    return convertJsonErrors<ResultObject>([&] {
        ResultObject object;
        for (const nlohmann::json &entry : json.at("results")) {
            JobResult result{.itemId = entry.at("item"), .completed = entry.at("completed"), .output = {}};
            if (!absl::Base64Unescape(entry.at("output").get<std::string>(), &result.output)) {
                throw JobFormatError("the output of item " + result.itemId + " is not base64");
            }
            object.results.push_back(std::move(result));
        }
        for (const nlohmann::json &entry : json.value("failures", nlohmann::json::array())) {
            object.failures.push_back({.itemId = entry.at("item"), .failures = entry.at("count")});
        }
        return object;
    });
}

} // namespace Bergamotramp
