#include "LoadReport.h"

#include <algorithm>
#include <map>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "Percentiles.h"

namespace Bergamotramp {

namespace {

/** Statistics of a group of requests. */
struct RequestStatistics {
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t goodput = 0;
    std::map<std::string, std::size_t> errorsByCode;
    std::map<std::string, std::size_t> errorsByState{{"not_run", 0}, {"run", 0}, {"unknown", 0}};
    std::vector<double> firstTokenMs;
    std::vector<double> tokenGapsMs;
    std::vector<double> answerMs;
    std::vector<double> endedMs;
    std::vector<double> sendDelayMs;

    void add(const LoadRecord &record)
    {
        ++this->requests;
        this->sendDelayMs.push_back(std::max(0.0, record.sendDelayMs));
        this->endedMs.push_back(record.endedMs);
        if (record.firstTokenMs >= 0) {
            this->firstTokenMs.push_back(record.firstTokenMs);
        }
        this->tokenGapsMs.insert(this->tokenGapsMs.end(), record.tokenGapsMs.begin(), record.tokenGapsMs.end());
        if (record.answered) {
            ++this->answered;
            this->goodput += record.withinDeadline ? 1 : 0;
            this->answerMs.push_back(record.endedMs);
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
                {"first_token_ms", Percentiles::of(this->firstTokenMs).toJson()},
                {"between_tokens_ms", Percentiles::of(this->tokenGapsMs).toJson()},
                {"answer_ms", Percentiles::of(this->answerMs).toJson()},
                // Includes failed requests: without their time-outs the tail would look shorter.
                {"ended_ms", Percentiles::of(this->endedMs).toJson()},
                {"send_delay_ms", Percentiles::of(this->sendDelayMs).toJson()}};
    }
};

/** Statistics of a group of requests, of its short requests and of its stragglers. */
struct StatisticsByLength {
    RequestStatistics all;
    RequestStatistics shortRequests;
    RequestStatistics stragglers;

    void add(const LoadRecord &record)
    {
        this->all.add(record);
        (record.straggler ? this->stragglers : this->shortRequests).add(record);
    }

    [[nodiscard]] nlohmann::json toJson(double seconds) const
    {
        nlohmann::json json = this->all.toJson(seconds);
        json["short"] = this->shortRequests.toJson(seconds);
        json["straggler"] = this->stragglers.toJson(seconds);
        return json;
    }
};

nlohmann::json summariseJob(const LoadPlan &plan, const JobObservation &job)
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

std::string formatPercentiles(const char *label, const nlohmann::json &values)
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

std::string formatStatistics(const std::string &title, const nlohmann::json &group)
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
                                     std::pair{"ended_ms", "answer or error ms"},
                                     std::pair{"send_delay_ms", "send delay ms"}}) {
        text += formatPercentiles(label, group[key]);
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
    StatisticsByLength total;
    std::vector<StatisticsByLength> byStream(plan.streams.size());
    for (const LoadRecord &record : observation.records) {
        if (record.intendedMs >= absl::ToDoubleMilliseconds(plan.warmup)) {
            total.add(record);
            byStream[record.stream].add(record);
        }
    }
    const double seconds = absl::ToDoubleSeconds(plan.duration - plan.warmup);
    nlohmann::json summary = {{"seed", plan.seed}, {"run", plan.runId}, {"measured_seconds", seconds}, {"total", total.toJson(seconds)}};
    summary["streams"] = nlohmann::json::array();
    for (std::size_t index = 0; index < byStream.size(); ++index) {
        nlohmann::json stream = byStream[index].toJson(seconds);
        stream["name"] = plan.streams[index].name;
        summary["streams"].push_back(std::move(stream));
    }
    if (observation.job) {
        summary["job"] = summariseJob(plan, *observation.job);
    }
    return summary;
}

std::string formatRecordsCsv(const LoadPlan &plan, const LoadObservation &observation)
{
    std::string csv =
        "stream,number,straggler,intended_ms,send_delay_ms,first_token_ms,ended_ms,tokens,max_gap_ms,entry,status,answered,within_deadline,"
        "code,state\n";
    for (const LoadRecord &record : observation.records) {
        const auto maxGap = std::max_element(record.tokenGapsMs.begin(), record.tokenGapsMs.end());
        const std::string firstTokenMs = record.firstTokenMs < 0 ? "" : absl::StrFormat("%.3f", record.firstTokenMs);
        absl::StrAppendFormat(&csv,
                              "%s,%d,%d,%.3f,%.3f,%s,%.3f,%d,%.3f,%s,%d,%d,%d,%s,%s\n",
                              plan.streams[record.stream].name,
                              record.number,
                              record.straggler ? 1 : 0,
                              record.intendedMs,
                              record.sendDelayMs,
                              firstTokenMs,
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

std::string formatSummary(const nlohmann::json &summary)
{
    std::string text;
    for (const nlohmann::json &stream : summary["streams"]) {
        text += formatStatistics(stream["name"].get<std::string>(), stream);
        if (stream["straggler"]["requests"].get<std::int64_t>() > 0) {
            text += formatStatistics(stream["name"].get<std::string>() + " short", stream["short"]);
            text += formatStatistics(stream["name"].get<std::string>() + " stragglers", stream["straggler"]);
        }
    }
    if (summary["streams"].size() > 1) {
        text += formatStatistics("total", summary["total"]);
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
