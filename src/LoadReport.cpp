#include "LoadReport.h"

#include <algorithm>
#include <map>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "Percentiles.h"

namespace Bergamotramp {

namespace {

/** Measurements of a group of records. */
struct Group {
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t goodput = 0;
    std::map<std::string, std::size_t> errorsByCode;
    std::map<std::string, std::size_t> errorsByState{{"not_run", 0}, {"run", 0}, {"unknown", 0}};
    std::vector<double> firstToken;
    std::vector<double> betweenTokens;
    std::vector<double> answer;
    std::vector<double> ended;
    std::vector<double> sendDelay;

    void add(const LoadRecord &record)
    {
        ++this->requests;
        this->sendDelay.push_back(std::max(0.0, record.sendDelayMs));
        this->ended.push_back(record.endedMs);
        if (record.firstTokenMs >= 0) {
            this->firstToken.push_back(record.firstTokenMs);
        }
        this->betweenTokens.insert(this->betweenTokens.end(), record.tokenGapsMs.begin(), record.tokenGapsMs.end());
        if (record.answered) {
            ++this->answered;
            this->goodput += record.withinDeadline ? 1 : 0;
            this->answer.push_back(record.endedMs);
        } else {
            ++this->errorsByCode[record.code];
            ++this->errorsByState[record.state];
        }
    }

    [[nodiscard]] nlohmann::json toJson(double seconds) const
    {
        return {{"requests", this->requests},
                {"answered", this->answered},
                {"goodput", this->goodput},
                {"goodput_per_s", seconds > 0 ? static_cast<double>(this->goodput) / seconds : 0},
                {"errors_by_code", this->errorsByCode},
                {"errors_by_state", this->errorsByState},
                {"first_token_ms", Percentiles::of(this->firstToken).toJson()},
                {"between_tokens_ms", Percentiles::of(this->betweenTokens).toJson()},
                {"answer_ms", Percentiles::of(this->answer).toJson()},
                // Includes the requests that failed, so that time-outs are not left out of the tail.
                {"ended_ms", Percentiles::of(this->ended).toJson()},
                {"send_delay_ms", Percentiles::of(this->sendDelay).toJson()}};
    }
};

/** A group with its short and straggler parts. */
struct SplitGroup {
    Group all;
    Group shortOnes;
    Group stragglers;

    void add(const LoadRecord &record)
    {
        this->all.add(record);
        (record.straggler ? this->stragglers : this->shortOnes).add(record);
    }

    [[nodiscard]] nlohmann::json toJson(double seconds) const
    {
        nlohmann::json json = this->all.toJson(seconds);
        json["short"] = this->shortOnes.toJson(seconds);
        json["straggler"] = this->stragglers.toJson(seconds);
        return json;
    }
};

nlohmann::json jobJson(const LoadPlan &plan, const JobObservation &job)
{
    nlohmann::json samples = nlohmann::json::array();
    for (const JobSample &sample : job.samples) {
        samples.push_back({{"at_s", sample.atSeconds}, {"completed", sample.completed}, {"failed", sample.failed}});
    }
    return {{"id", job.id},
            {"state", job.finalState},
            {"problem", job.problem},
            {"items", plan.job->items},
            {"items_per_s", itemsPerSecond(job, plan.warmup)},
            {"samples", samples}};
}

std::string percentileLine(const char *label, const nlohmann::json &values)
{
    return absl::StrFormat("  %-18s %8d  p50 %9.1f  p90 %9.1f  p95 %9.1f  p99 %9.1f  max %9.1f\n",
                           label,
                           values["count"].get<std::int64_t>(),
                           values["p50"].get<double>(),
                           values["p90"].get<double>(),
                           values["p95"].get<double>(),
                           values["p99"].get<double>(),
                           values["max"].get<double>());
}

std::string groupText(const std::string &title, const nlohmann::json &group)
{
    std::string text = absl::StrFormat("%s: %d requests, %d answered, %d within the deadline (%.1f/s)\n",
                                       title,
                                       group["requests"].get<std::int64_t>(),
                                       group["answered"].get<std::int64_t>(),
                                       group["goodput"].get<std::int64_t>(),
                                       group["goodput_per_s"].get<double>());
    for (const auto &[key, label] : {std::pair{"first_token_ms", "first token ms"},
                                     std::pair{"between_tokens_ms", "between tokens ms"},
                                     std::pair{"answer_ms", "whole answer ms"},
                                     std::pair{"ended_ms", "any end ms"},
                                     std::pair{"send_delay_ms", "send delay ms"}}) {
        text += percentileLine(label, group[key]);
    }
    for (const auto &[code, count] : group["errors_by_code"].items()) {
        text += absl::StrCat("  error ", code, ": ", count.get<std::int64_t>(), "\n");
    }
    return text;
}

} // namespace

double itemsPerSecond(const JobObservation &job, absl::Duration warmup)
{
    const double from = absl::ToDoubleSeconds(warmup);
    const auto first = std::find_if(job.samples.begin(), job.samples.end(), [from](const JobSample &sample) { return sample.atSeconds >= from; });
    if (first == job.samples.end() || first + 1 == job.samples.end()) {
        return 0;
    }
    const JobSample &last = job.samples.back();
    return static_cast<double>(last.completed - first->completed) / (last.atSeconds - first->atSeconds);
}

nlohmann::json summariseLoad(const LoadPlan &plan, const LoadObservation &observation)
{
    SplitGroup total;
    std::vector<SplitGroup> byStream(plan.streams.size());
    for (const LoadRecord &record : observation.records) {
        if (record.intendedMs >= absl::ToDoubleMilliseconds(plan.warmup)) {
            total.add(record);
            byStream[record.stream].add(record);
        }
    }
    const double seconds = absl::ToDoubleSeconds(plan.duration - plan.warmup);
    nlohmann::json summary = {{"seed", plan.seed}, {"run", plan.run}, {"measured_seconds", seconds}, {"total", total.toJson(seconds)}};
    summary["streams"] = nlohmann::json::array();
    for (std::size_t index = 0; index < byStream.size(); ++index) {
        nlohmann::json stream = byStream[index].toJson(seconds);
        stream["name"] = plan.streams[index].name;
        summary["streams"].push_back(std::move(stream));
    }
    if (observation.job) {
        summary["job"] = jobJson(plan, *observation.job);
    }
    return summary;
}

std::string recordsCsv(const LoadPlan &plan, const LoadObservation &observation)
{
    std::string csv =
        "stream,number,straggler,intended_ms,send_delay_ms,first_token_ms,ended_ms,tokens,max_gap_ms,entry,status,answered,within_deadline,"
        "code,state\n";
    for (const LoadRecord &record : observation.records) {
        const auto maxGap = std::max_element(record.tokenGapsMs.begin(), record.tokenGapsMs.end());
        const std::string firstToken = record.firstTokenMs < 0 ? "" : absl::StrFormat("%.3f", record.firstTokenMs);
        absl::StrAppendFormat(&csv,
                              "%s,%d,%d,%.3f,%.3f,%s,%.3f,%d,%.3f,%s,%d,%d,%d,%s,%s\n",
                              plan.streams[record.stream].name,
                              record.number,
                              record.straggler ? 1 : 0,
                              record.intendedMs,
                              record.sendDelayMs,
                              firstToken,
                              record.endedMs,
                              record.tokens,
                              maxGap == record.tokenGapsMs.end() ? 0.0F : *maxGap,
                              record.entry,
                              record.status,
                              record.answered ? 1 : 0,
                              record.withinDeadline ? 1 : 0,
                              record.code,
                              record.state);
    }
    return csv;
}

std::string summaryText(const nlohmann::json &summary)
{
    std::string text;
    for (const nlohmann::json &stream : summary["streams"]) {
        text += groupText(stream["name"].get<std::string>(), stream);
        if (stream["straggler"]["requests"].get<std::int64_t>() > 0) {
            text += groupText(stream["name"].get<std::string>() + " short", stream["short"]);
            text += groupText(stream["name"].get<std::string>() + " stragglers", stream["straggler"]);
        }
    }
    if (summary["streams"].size() > 1) {
        text += groupText("total", summary["total"]);
    }
    if (summary.contains("job")) {
        const nlohmann::json &job = summary["job"];
        text += absl::StrFormat("job %s: %s, %.1f items/s %s\n",
                                job["id"].get<std::string>(),
                                job["state"].get<std::string>(),
                                job["items_per_s"].get<double>(),
                                job["problem"].get<std::string>());
    }
    return text;
}

} // namespace Bergamotramp
