#include <fstream>
#include <ostream>

#include <CLI/CLI.hpp>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>

#include "Cli.h"
#include "JsonReader.h"
#include "LoadReport.h"

namespace Bergamotramp {

namespace {

struct LoadOptions {
    std::string planFile;
    std::vector<std::string> streams;
    std::optional<double> durationSeconds;
    std::optional<double> warmupSeconds;
    std::optional<std::int64_t> seed;
    std::optional<std::int64_t> maxRequests;
    std::optional<std::int64_t> concurrency;
    std::string runId;
    bool verifyText = false;
    bool useGivenEntries = false;
    std::string csvFile;
};

// Parses "12" and "0.5" as numbers, "16-64" as a range, "true" and "false" as booleans and anything else as a string.
nlohmann::json parseStreamValue(const std::string &text)
{
    std::int64_t whole = 0;
    double number = 0;
    if (absl::SimpleAtoi(text, &whole)) {
        return whole;
    }
    if (absl::SimpleAtod(text, &number)) {
        return number;
    }
    const std::vector<std::string> parts = absl::StrSplit(text, '-');
    std::int64_t maximum = 0;
    if (parts.size() == 2 && absl::SimpleAtoi(parts[0], &whole) && absl::SimpleAtoi(parts[1], &maximum)) {
        return {whole, maximum};
    }
    if (text == "true" || text == "false") {
        return text == "true";
    }
    return text;
}

nlohmann::json parseStreamOption(const std::string &option)
{
    nlohmann::json stream = nlohmann::json::object();
    const std::vector<std::string> parts = absl::StrSplit(option, ',');
    for (const std::string &part : parts) {
        const std::size_t equals = part.find('=');
        if (equals == std::string::npos) {
            throw CliError(ExitCode::InvalidInput, absl::StrCat("--stream: \"", part, "\" is not of the form key=value"));
        }
        stream[part.substr(0, equals)] = parseStreamValue(part.substr(equals + 1));
    }
    for (const char *key : {"promptBytes", "maxTokens"}) {
        if (stream.contains(key) && stream[key].is_number_integer()) {
            stream[key] = {stream[key], stream[key]};
        }
    }
    return stream;
}

template <typename Value>
void override(nlohmann::json &plan, const char *key, const std::optional<Value> &value)
{
    if (value) {
        plan[key] = *value;
    }
}

LoadPlan readPlan(const LoadOptions &options)
{
    try {
        nlohmann::json json = options.planFile.empty() ? nlohmann::json::object() : JsonReader::parse(readInputFile(options.planFile));
        for (const std::string &stream : options.streams) {
            json["streams"].push_back(parseStreamOption(stream));
        }
        override(json, "durationSeconds", options.durationSeconds);
        override(json, "warmupSeconds", options.warmupSeconds);
        override(json, "seed", options.seed);
        override(json, "maxRequests", options.maxRequests);
        override(json, "concurrency", options.concurrency);
        LoadPlan plan = LoadPlan::fromJson(json);
        plan.verifyText = plan.verifyText || options.verifyText;
        if (!options.runId.empty()) {
            plan.runId = options.runId;
        }
        // Requests with the idempotency keys of an earlier run would be answered from the journal without being run.
        if (plan.runId.empty()) {
            plan.runId = absl::StrCat(absl::ToUnixMicros(absl::Now()));
        }
        return plan;
    } catch (const JsonError &error) {
        throw CliError(ExitCode::InvalidInput, absl::StrCat(options.planFile.empty() ? "load" : options.planFile, ": ", error.what()));
    } catch (const nlohmann::json::exception &error) {
        throw CliError(ExitCode::InvalidInput, absl::StrCat("load: ", error.what()));
    }
}

void load(CommandContext &context, const LoadOptions &options)
{
    const LoadPlan plan = readPlan(options);
    if (plan.verifyText && !context.environment().expectedText) {
        throw CliError(ExitCode::InvalidInput, "the text can't be verified: this program doesn't know the expected completions");
    }
    HostClient::AddressSource entries;
    if (options.useGivenEntries) {
        entries = [seeds = context.entrySeeds()] { return seeds; };
    } else {
        entries = [&directory = context.entryDirectory()] { return directory.addresses(); };
    }
    const LoadObservation observation = runLoad(plan, entries, context.environment().expectedText);
    const nlohmann::json summary = summariseLoad(plan, observation);
    if (!options.csvFile.empty()) {
        std::ofstream file(options.csvFile, std::ios::binary);
        file << formatRecordsCsv(plan, observation) << std::flush;
        if (!file) {
            throw CliError(ExitCode::Failed, options.csvFile + ": cannot be written");
        }
    }
    context.out() << (context.jsonOutput() ? summary.dump() + '\n' : formatSummary(summary));
    const bool hasMismatch = summary["total"]["errors_by_code"].contains("wrong_answer");
    if (hasMismatch) {
        throw CliError(ExitCode::Failed, "some responses don't match their requests");
    }
}

} // namespace

void addLoadCommand(CLI::App &app, CommandContext &context)
{
    auto options = std::make_shared<LoadOptions>();
    CLI::App *command =
        app.add_subcommand("load",
                           "Run an open-loop load and report its latencies, measured from the intended send times. Failed requests are counted\n"
                           "in the summary and don't fail the command; a response that doesn't match its request does.");
    command->add_option("--plan", options->planFile, "Load plan (JSON) with streams and an optional batch job");
    command
        ->add_option("--stream",
                     options->streams,
                     "Stream as key=value,...: service, name, organisation, kind (model, plain), class (online, batch), ratePerSecond,\n"
                     "promptBytes and maxTokens (MIN-MAX), stragglerShare, stragglerFactor, keyed, deadlineMs, beginSeconds, endSeconds,\n"
                     "method, path, echo; repeatable")
        ->allow_extra_args(false);
    command->add_option("--duration", options->durationSeconds, "Seconds during which requests are sent");
    command->add_option("--warmup", options->warmupSeconds, "Initial seconds that are excluded from the summary");
    command->add_option("--seed", options->seed, "Seed of the arrivals, prompts and lengths");
    command->add_option("--max-requests", options->maxRequests, "Maximum number of requests in total");
    command->add_option("--concurrency", options->concurrency, "Maximum number of requests in flight");
    command->add_option("--run", options->runId, "Prefix of idempotency keys and prompts (default: the current time)");
    command->add_flag("--verify-text", options->verifyText, "Compare completions with the answers of the stand-in engine");
    command->add_flag("--direct", options->useGivenEntries, "Use the given --entry addresses as they are, without asking for /v1/entries");
    command->add_option("--csv", options->csvFile, "File for one CSV row per request");
    context.addEntryOptions(*command);
    command->callback([&context, options] { context.action = [&context, options] { load(context, *options); }; });
}

} // namespace Bergamotramp
