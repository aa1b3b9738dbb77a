#include <fstream>
#include <ostream>

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/clock.h>

#include "Cli.h"
#include "ContentDigest.h"
#include "JobClient.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration statusPollPeriod = absl::Milliseconds(500);
// A job keeps running while entry hosts restart, so --wait tolerates unreachable entries for this long.
constexpr absl::Duration maxUnreachableTime = absl::Minutes(2);
constexpr std::size_t barWidth = 30;
constexpr std::size_t maxShownProblems = 50;

struct JobOptions {
    std::string organisation;
    std::string service;
    std::string file;
    std::string key;
    std::string id;
    std::string resultFile;
    std::int64_t dueSeconds = 0;
    bool wait = false;
};

void showStatus(CommandContext &context, const JobReport &status)
{
    if (context.jsonOutput()) {
        context.out() << status.toJson().dump() << '\n';
        return;
    }
    context.out() << status.id << "  " << status.state << "  " << status.completed << " completed, " << status.failed << " failed of " << status.total << '\n';
}

void drawProgress(CommandContext &context, const JobReport &status)
{
    if (!context.environment().outIsTerminal || context.jsonOutput()) {
        return;
    }
    const std::int64_t finished = status.completed + status.failed;
    const std::size_t filled = status.total > 0 ? static_cast<std::size_t>(finished) * barWidth / static_cast<std::size_t>(status.total) : 0;
    const std::string bar = std::string(std::min(filled, barWidth), '#') + std::string(barWidth - std::min(filled, barWidth), '.');
    context.out() << "\r[" << bar << "] " << finished << '/' << status.total << ' ' << status.state << "   " << std::flush;
}

JobReport waitForEnd(CommandContext &context, JobClient &jobs, JobReport status)
{
    absl::Time lastResponse = absl::Now();
    while (!status.ended()) {
        drawProgress(context, status);
        absl::SleepFor(statusPollPeriod);
        try {
            status = jobs.status(status.id);
            lastResponse = absl::Now();
        } catch (const CliError &error) {
            const bool transient = error.code() == ExitCode::Unreachable || error.code() == ExitCode::OutcomeUnknown;
            if (!transient || absl::Now() - lastResponse > maxUnreachableTime) {
                throw;
            }
        }
    }
    drawProgress(context, status);
    if (context.environment().outIsTerminal && !context.jsonOutput()) {
        context.out() << '\n';
    }
    return status;
}

void finishWait(CommandContext &context, const JobReport &status)
{
    showStatus(context, status);
    if (status.state != "completed") {
        throw CliError(ExitCode::Failed, absl::StrCat("job ", status.id, " ended as ", status.state));
    }
}

void submit(CommandContext &context, const JobOptions &options)
{
    JobSubmission submission{options.service, options.key, readInputFile(options.file), options.dueSeconds};
    const std::vector<std::string> problems = validateJobFile(submission.body, maxShownProblems);
    if (!problems.empty()) {
        throw CliError(ExitCode::InvalidInput, absl::StrCat(options.file, " was not submitted:\n  ", absl::StrJoin(problems, "\n  ")));
    }
    if (submission.key.empty()) {
        submission.key = contentDigest(submission.body);
    }
    JobClient jobs(context.entryClient(), options.organisation);
    JobReport status;
    try {
        status = jobs.submit(submission);
    } catch (const CliError &error) {
        if (error.code() == ExitCode::OutcomeUnknown) {
            throw CliError(error.code(), absl::StrCat(error.what(), "\nsubmit again with --key ", submission.key, " to learn the outcome"));
        }
        throw;
    }
    if (options.wait) {
        finishWait(context, waitForEnd(context, jobs, status));
    } else {
        showStatus(context, status);
    }
}

void status(CommandContext &context, const JobOptions &options)
{
    JobClient jobs(context.entryClient(), options.organisation);
    const JobReport current = jobs.status(options.id);
    if (options.wait) {
        finishWait(context, waitForEnd(context, jobs, current));
    } else {
        showStatus(context, current);
    }
}

void results(CommandContext &context, const JobOptions &options)
{
    JobClient jobs(context.entryClient(), options.organisation);
    const std::string lines = jobs.results(options.id);
    if (options.resultFile.empty()) {
        context.out() << lines;
        return;
    }
    std::ofstream file(options.resultFile, std::ios::binary);
    file << lines << std::flush;
    if (!file) {
        throw CliError(ExitCode::Failed, options.resultFile + ": cannot be written");
    }
}

void cancel(CommandContext &context, const JobOptions &options)
{
    JobClient jobs(context.entryClient(), options.organisation);
    showStatus(context, jobs.cancel(options.id));
}

void list(CommandContext &context, const JobOptions &options)
{
    JobClient jobs(context.entryClient(), options.organisation);
    const nlohmann::json response = jobs.list();
    if (context.jsonOutput()) {
        context.out() << response.dump() << '\n';
        return;
    }
    nlohmann::json rows = nlohmann::json::array();
    for (const nlohmann::json &job : extractList(response, "data")) {
        rows.push_back(JobReport::fromJson(job).toJson());
    }
    context.out() << formatTable(rows, {"id", "state", "total", "completed", "failed"});
}

using JobAction = void (*)(CommandContext &, const JobOptions &);

CLI::App *addJobAction(CLI::App &job, CommandContext &context, const std::shared_ptr<JobOptions> &options, const std::string &name, JobAction action)
{
    CLI::App *command = job.add_subcommand(name);
    command->add_option("--organisation", options->organisation, "Organisation that owns the job");
    context.addEntryOptions(*command);
    command->callback([&context, options, action] { context.action = [&context, options, action] { action(context, *options); }; });
    return command;
}

void addSubmit(CLI::App &job, CommandContext &context, const std::shared_ptr<JobOptions> &options)
{
    CLI::App *command = addJobAction(job, context, options, "submit", submit);
    command->description(
        "Submit a batch job. The file has one JSON object {\"custom_id\", \"body\"} per line. The key identifies the job: submitting it\n"
        "again returns the first job. When the outcome of a call is unknown, the job is submitted to another entry with the same key.");
    command->add_option("FILE", options->file, "Job file (JSON lines), - for standard input")->required();
    command->add_option("--service", options->service, "Service that runs the items")->required();
    command->add_option("--key", options->key, "Idempotency key (default: a digest of the file)");
    command->add_option("--due-seconds", options->dueSeconds, "Time until the job is due (default: the service's)")->check(CLI::Range(1, 30 * 86'400));
    command->add_flag("--wait", options->wait, "Wait for the end of the job; fails unless it completes");
}

} // namespace

void addJobCommand(CLI::App &app, CommandContext &context)
{
    auto options = std::make_shared<JobOptions>();
    CLI::App *job = app.add_subcommand("job", "Submit and track batch jobs.");
    job->require_subcommand(1);
    addSubmit(*job, context, options);
    CLI::App *statusCommand = addJobAction(*job, context, options, "status", status);
    statusCommand->description("Show the state and the progress of a job.");
    statusCommand->add_flag("--wait", options->wait, "Wait for the end of the job; fails unless it completes");
    CLI::App *resultsCommand = addJobAction(*job, context, options, "results", results);
    resultsCommand->description("Print the results of a job, one JSON object per line.");
    resultsCommand->add_option("--to", options->resultFile, "File to write instead of standard output");
    CLI::App *cancelCommand = addJobAction(*job, context, options, "cancel", cancel);
    cancelCommand->description("Cancel a job. Cancelling it again has no further effect.");
    for (CLI::App *command : {statusCommand, resultsCommand, cancelCommand}) {
        command->add_option("ID", options->id, "Id of the job")->required();
    }
    addJobAction(*job, context, options, "list", list)->description("List the jobs of the organisation.");
}

} // namespace Bergamotramp
