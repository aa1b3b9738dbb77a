#include "BatchRecords.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include "RendezvousHash.h"

namespace Bergamotramp {

namespace {

// Store keys are paths, so characters other than letters, digits, hyphens and underscores are escaped.
std::string escapePathComponent(const std::string &text)
{
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (absl::ascii_isalnum(byte) || character == '-' || character == '_') {
            result.push_back(character);
        } else {
            absl::StrAppendFormat(&result, "~%02x", byte);
        }
    }
    return result;
}

std::string jobPrefix(const JobId &job)
{
    return absl::StrCat("jobs/", escapePathComponent(job.organisation), "/", job.id, "/");
}

JobState parseJobState(const std::string &name)
{
    for (const JobState state : {JobState::Running, JobState::Cancelling, JobState::Cancelled, JobState::Completed}) {
        if (jobStateName(state) == name) {
            return state;
        }
    }
    throw BatchRecordError("unknown job state " + name);
}

nlohmann::json parseRecord(std::string_view text)
{
    nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        throw BatchRecordError("a batch record is not a JSON object");
    }
    return json;
}

} // namespace

std::string jobStateName(JobState state)
{
    switch (state) {
    case JobState::Running:
        return "running";
    case JobState::Cancelling:
        return "cancelling";
    case JobState::Cancelled:
        return "cancelled";
    case JobState::Completed:
        break;
    }
    return "completed";
}

JobId JobId::of(const std::string &organisation, const std::string &idempotencyKey)
{
    const std::uint64_t scope = stableHash(organisation);
    const std::uint64_t first = stableHash(scope, idempotencyKey);
    // Two hashes make an accidental collision between keys of one organisation negligible.
    const std::uint64_t second = stableHash(~scope, idempotencyKey);
    return {organisation, absl::StrFormat("%016x%016x", first, second)};
}

std::string JobId::manifestKey() const
{
    return jobPrefix(*this) + "manifest";
}

std::string JobId::inputKey(const std::string &upload, std::int64_t segment) const
{
    return absl::StrCat(jobPrefix(*this), "input/", upload, "/", segment);
}

std::string JobId::progressPrefix() const
{
    return jobPrefix(*this) + "progress/";
}

std::string JobId::progressKey(std::int64_t segment) const
{
    return absl::StrCat(this->progressPrefix(), segment);
}

std::string JobId::outputKey(std::int64_t segment, const std::string &part) const
{
    return absl::StrCat(jobPrefix(*this), "output/", segment, "/", part);
}

std::string JobId::indexKey() const
{
    return JobId::indexPrefix(this->organisation) + this->id;
}

std::string JobId::indexPrefix(const std::string &organisation)
{
    return absl::StrCat("job-index/", escapePathComponent(organisation), "/");
}

std::string JobId::activeKey() const
{
    return absl::StrCat(std::string(activeJobsPrefix), escapePathComponent(this->organisation), "/", this->id);
}

std::string JobManifest::toJsonText() const
{
    return nlohmann::json({{"organisation", this->job.organisation},
                           {"id", this->job.id},
                           {"key", this->idempotencyKey},
                           {"service", this->service},
                           {"digest", this->digest},
                           {"upload", this->uploadId},
                           {"items", this->items},
                           {"segments", this->segments},
                           {"created_us", absl::ToUnixMicros(this->created)},
                           {"due_us", absl::ToUnixMicros(this->due)},
                           {"state", jobStateName(this->state)},
                           {"completed", this->completed},
                           {"failed", this->failed}})
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

JobManifest JobManifest::fromJsonText(std::string_view text)
{
    const nlohmann::json json = parseRecord(text);
    try {
        JobManifest manifest;
        manifest.job = {json.at("organisation"), json.at("id")};
        manifest.idempotencyKey = json.at("key");
        manifest.service = json.at("service");
        manifest.digest = json.at("digest");
        manifest.uploadId = json.at("upload");
        manifest.items = json.at("items");
        manifest.segments = json.at("segments");
        manifest.created = absl::FromUnixMicros(json.at("created_us"));
        manifest.due = absl::FromUnixMicros(json.at("due_us"));
        manifest.state = parseJobState(json.at("state"));
        manifest.completed = json.at("completed");
        manifest.failed = json.at("failed");
        return manifest;
    } catch (const nlohmann::json::exception &error) {
        throw BatchRecordError(absl::StrCat("a job manifest can't be read: ", error.what()));
    }
}

bool SegmentProgress::finished() const
{
    return this->items.find(openItem) == std::string::npos;
}

std::int64_t SegmentProgress::count(char state) const
{
    return std::count(this->items.begin(), this->items.end(), state);
}

std::string SegmentProgress::toJsonText() const
{
    return nlohmann::json({{"epoch", this->epoch},
                           {"holder", this->holder},
                           {"incarnation", this->holderIncarnation},
                           {"items", this->items},
                           {"outputs", this->outputs},
                           {"cancelled", this->cancelled}})
        .dump();
}

SegmentProgress SegmentProgress::fromJsonText(std::string_view text)
{
    const nlohmann::json json = parseRecord(text);
    try {
        SegmentProgress progress;
        progress.epoch = json.at("epoch");
        progress.holder = json.at("holder");
        progress.holderIncarnation = json.at("incarnation");
        progress.items = json.at("items");
        progress.outputs = json.at("outputs").get<std::vector<std::string>>();
        progress.cancelled = json.at("cancelled");
        return progress;
    } catch (const nlohmann::json::exception &error) {
        throw BatchRecordError(absl::StrCat("the progress of a segment can't be read: ", error.what()));
    }
}

std::vector<SegmentItem> parseSegment(std::string_view text)
{
    std::vector<SegmentItem> items;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        const nlohmann::json line = parseRecord(text.substr(0, end));
        if (!line.contains("custom_id") || !line.contains("body")) {
            throw BatchRecordError("an item of an input segment has no custom_id or body");
        }
        items.push_back({line.at("custom_id"), line.at("body").dump()});
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return items;
}

} // namespace Bergamotramp
