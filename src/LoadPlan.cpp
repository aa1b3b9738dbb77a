#include "LoadPlan.h"

#include <algorithm>
#include <cmath>
#include <random>

#include <absl/strings/str_cat.h>

#include "JsonReader.h"

namespace Bergamotramp {

namespace {

constexpr IntegerRange secondsRange{0, 86'400};
constexpr IntegerRange millisecondRange{1, 86'400'000};
constexpr IntegerRange promptRange{1, 1'000'000};
constexpr IntegerRange tokenRange{1, 1'000'000};
constexpr std::string_view promptFiller = "the quick brown fox jumps over the lazy dog and runs on ";

UniformRange readUniformRange(JsonReader &reader, const std::string &key, UniformRange fallback, IntegerRange range)
{
    std::vector<std::int64_t> bounds;
    reader.optionalArray(key, [&](const nlohmann::json &element, const std::string &path) {
        if (!element.is_number_integer() || element < range.minimum || element > range.maximum) {
            throw JsonError(path, absl::StrCat("must be a whole number from ", range.minimum, " to ", range.maximum));
        }
        bounds.push_back(element);
    });
    if (bounds.empty()) {
        return fallback;
    }
    if (bounds.size() != 2 || bounds[0] > bounds[1]) {
        throw JsonError(reader.pathOf(key), "must be [minimum, maximum]");
    }
    return {bounds[0], bounds[1]};
}

absl::Duration readSeconds(JsonReader &reader, const std::string &key, absl::Duration fallback)
{
    if (!reader.has(key)) {
        return fallback;
    }
    return absl::Seconds(reader.optionalNumber(key, 0, secondsRange.minimum, secondsRange.maximum));
}

RequestDistribution readDistribution(JsonReader &reader)
{
    RequestDistribution distribution;
    distribution.promptBytes = readUniformRange(reader, "promptBytes", distribution.promptBytes, promptRange);
    distribution.maxTokens = readUniformRange(reader, "maxTokens", distribution.maxTokens, tokenRange);
    distribution.stragglerShare = reader.optionalNumber("stragglerShare", distribution.stragglerShare, 0, 1);
    distribution.stragglerFactor = reader.optionalInteger("stragglerFactor", distribution.stragglerFactor, {1, 10'000});
    return distribution;
}

LoadKind readKind(JsonReader &reader)
{
    const bool plain = reader.choice("kind", {"model", "plain"}, "model") == "plain";
    const bool batch = reader.choice("class", {"online", "batch"}, "online") == "batch";
    if (plain && batch) {
        throw JsonError(reader.pathOf("class"), "a plain service has no batch class");
    }
    if (batch) {
        return LoadKind::BatchItem;
    }
    return plain ? LoadKind::Plain : LoadKind::Model;
}

LoadStream readStream(const nlohmann::json &json, const std::string &path)
{
    JsonReader reader(json, path);
    LoadStream stream;
    stream.service = reader.requiredString("service");
    stream.name = reader.optionalString("name", stream.service);
    stream.organisation = reader.optionalString("organisation", "");
    stream.kind = readKind(reader);
    stream.ratePerSecond = reader.optionalNumber("ratePerSecond", stream.ratePerSecond, 0.001, 1'000'000);
    stream.distribution = readDistribution(reader);
    stream.withIdempotencyKey = reader.optionalBoolean("keyed", false);
    stream.deadline = absl::Milliseconds(reader.optionalInteger("deadlineMs", absl::ToInt64Milliseconds(stream.deadline), millisecondRange));
    stream.begin = readSeconds(reader, "beginSeconds", stream.begin);
    stream.end = readSeconds(reader, "endSeconds", stream.end);
    stream.method = reader.choice("method", {"GET", "POST", "PUT", "DELETE"}, stream.method);
    stream.path = reader.optionalString("path", stream.path);
    stream.echo = reader.optionalBoolean("echo", false);
    reader.rejectUnreadKeys();
    return stream;
}

LoadJob readJob(JsonReader &reader)
{
    LoadJob job;
    job.service = reader.requiredString("service");
    job.organisation = reader.optionalString("organisation", "");
    job.items = reader.optionalInteger("items", job.items, {1, 1'000'000});
    job.submitAt = readSeconds(reader, "submitAtSeconds", job.submitAt);
    job.distribution = readDistribution(reader);
    job.cancelAtEnd = reader.optionalBoolean("cancelAtEnd", job.cancelAtEnd);
    return job;
}

/** Random numbers of one stream. The distributions are implemented here because those of the standard library differ between
    implementations, and a seed must always give the same requests. */
class RandomGenerator
{
public:
    RandomGenerator(std::uint64_t seed, std::uint64_t stream)
    {
        std::seed_seq sequence{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32U), static_cast<std::uint32_t>(stream)};
        this->engine.seed(sequence);
    }
    double uniformInUnitInterval()
    {
        constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
        return static_cast<double>(this->engine() >> 11U) * scale;
    }
    absl::Duration exponential(double ratePerSecond)
    {
        return absl::Seconds(-std::log1p(-this->uniformInUnitInterval()) / ratePerSecond);
    }
    std::int64_t uniformInteger(UniformRange range)
    {
        const auto width = static_cast<double>(range.maximum - range.minimum + 1);
        return range.minimum + static_cast<std::int64_t>(this->uniformInUnitInterval() * width);
    }

private:
    std::mt19937_64 engine;
};

void drawRequest(RandomGenerator &generator, const RequestDistribution &distribution, PlannedRequest &request)
{
    request.promptBytes = generator.uniformInteger(distribution.promptBytes);
    request.maxTokens = generator.uniformInteger(distribution.maxTokens);
    request.straggler = generator.uniformInUnitInterval() < distribution.stragglerShare;
    if (request.straggler) {
        request.maxTokens *= distribution.stragglerFactor;
    }
}

void planStream(const LoadPlan &plan, std::size_t index, std::vector<PlannedRequest> &requests)
{
    const LoadStream &stream = plan.streams[index];
    RandomGenerator generator(plan.seed, index);
    const absl::Duration end = std::min(stream.end, plan.duration);
    absl::Duration intendedTime = stream.begin + generator.exponential(stream.ratePerSecond);
    for (std::int64_t number = 0; intendedTime < end && number < plan.maxRequests; ++number) {
        PlannedRequest request;
        request.stream = index;
        request.number = number;
        request.intendedTime = intendedTime;
        drawRequest(generator, stream.distribution, request);
        requests.push_back(request);
        intendedTime += generator.exponential(stream.ratePerSecond);
    }
}

} // namespace

LoadPlan LoadPlan::fromJson(const nlohmann::json &json)
{
    JsonReader reader(json, "");
    LoadPlan plan;
    plan.seed = static_cast<std::uint64_t>(reader.optionalInteger("seed", 1, {0, INT64_MAX}));
    plan.runId = reader.optionalString("run", "");
    plan.duration = readSeconds(reader, "durationSeconds", plan.duration);
    plan.warmup = readSeconds(reader, "warmupSeconds", plan.warmup);
    plan.maxRequests = reader.optionalInteger("maxRequests", plan.maxRequests, {1, 10'000'000});
    plan.concurrency = reader.optionalInteger("concurrency", plan.concurrency, {1, 4096});
    plan.verifyText = reader.optionalBoolean("verifyText", plan.verifyText);
    reader.optionalArray("streams", [&plan](const nlohmann::json &element, const std::string &path) { plan.streams.push_back(readStream(element, path)); });
    reader.optionalObject("job", [&plan](JsonReader &nested) { plan.job = readJob(nested); });
    reader.rejectUnreadKeys();
    if (plan.streams.empty() && !plan.job) {
        throw JsonError("streams", "the plan has neither streams nor a job");
    }
    return plan;
}

std::vector<PlannedRequest> planRequests(const LoadPlan &plan)
{
    std::vector<PlannedRequest> requests;
    for (std::size_t index = 0; index < plan.streams.size(); ++index) {
        planStream(plan, index, requests);
    }
    std::stable_sort(
        requests.begin(), requests.end(), [](const PlannedRequest &left, const PlannedRequest &right) { return left.intendedTime < right.intendedTime; });
    if (requests.size() > static_cast<std::size_t>(plan.maxRequests)) {
        requests.resize(static_cast<std::size_t>(plan.maxRequests));
    }
    return requests;
}

std::string makeJobFile(const LoadPlan &plan)
{
    if (!plan.job) {
        return "";
    }
    RandomGenerator generator(plan.seed, plan.streams.size());
    std::string lines;
    for (std::int64_t number = 0; number < plan.job->items; ++number) {
        PlannedRequest item;
        drawRequest(generator, plan.job->distribution, item);
        const std::string id = absl::StrCat(plan.runId, "-job-", number);
        const nlohmann::json body = {{"model", plan.job->service}, {"prompt", makePrompt(id, item.promptBytes)}, {"max_tokens", item.maxTokens}};
        lines += nlohmann::json({{"custom_id", id}, {"body", body}}).dump() + '\n';
    }
    return lines;
}

std::string requestId(const LoadPlan &plan, const PlannedRequest &request)
{
    return absl::StrCat(plan.runId, "-", plan.seed, "-", request.stream, "-", request.number);
}

std::string makePrompt(const std::string &id, std::int64_t bytes)
{
    std::string prompt = id + ' ';
    while (prompt.size() < static_cast<std::size_t>(bytes)) {
        prompt += promptFiller;
    }
    prompt.resize(std::max(static_cast<std::size_t>(bytes), id.size()));
    return prompt;
}

} // namespace Bergamotramp
