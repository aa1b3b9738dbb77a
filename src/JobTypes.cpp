#include "JobTypes.h"

#include <functional>

#include <absl/strings/escaping.h>

namespace Bergamotramp {

namespace {

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

} // namespace

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
    return {{"host", this->virtualHost},
            {"pathPrefix", this->pathPrefix},
            {"owner", this->owner},
            {"submittedMs", absl::ToUnixMillis(this->submitted)},
            {"tokens", this->tokens},
            {"items", this->items},
            {"inputParts", this->inputParts}};
}

JobRecord JobRecord::fromJson(const std::string &id, const nlohmann::json &json)
{
    return convertJsonErrors<JobRecord>([&] {
        return JobRecord{.id = id,
                         .virtualHost = json.at("host"),
                         .pathPrefix = json.at("pathPrefix"),
                         .owner = json.at("owner"),
                         .submitted = absl::FromUnixMillis(json.at("submittedMs")),
                         .tokens = json.at("tokens"),
                         .items = json.at("items"),
                         .inputParts = json.at("inputParts")};
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
        progress.cancelled = json.value("cancelled", false);
        progress.finished = json.value("finished", false);
        progress.tokensFinished = json.value("tokensFinished", std::int64_t{0});
        progress.runner = json.value("runner", std::string());
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
            BatchItem item{.id = entry.at("id"), .path = entry.at("path"), .fields = {}, .body = {}, .tokens = entry.at("tokens")};
            for (const nlohmann::json &field : entry.at("fields")) {
                item.fields.add(field.at(0), field.at(1));
            }
            if (!absl::Base64Unescape(entry.at("body").get<std::string>(), &item.body)) {
                throw JobFormatError("the body of item " + item.id + " is not base64");
            }
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
