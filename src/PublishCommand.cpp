#include <ostream>

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "Cli.h"
#include "JsonReader.h"
#include "ServiceFiles.h"

namespace Bergamotramp {

namespace {

struct PublishOptions {
    std::string folder;
    std::optional<std::uint64_t> baseGeneration;
    bool dryRun = false;
};

struct PublishedServices {
    std::uint64_t generation = 0;
    std::vector<ServiceSpec> services;
};

PublishedServices readPublished(HostClient &client)
{
    const nlohmann::json response = requireJson(client.get("/admin/services"));
    try {
        PublishedServices published;
        published.generation = response.at("generation");
        for (const nlohmann::json &service : response.at("services")) {
            published.services.push_back(ServiceSpec::fromJson(service, "services"));
        }
        return published;
    } catch (const nlohmann::json::exception &error) {
        throw CliError(ExitCode::Failed, absl::StrCat("the published services can't be parsed: ", error.what()));
    } catch (const JsonError &error) {
        throw CliError(ExitCode::Failed, absl::StrCat("the published services can't be parsed: ", error.what()));
    }
}

std::vector<ServiceSpec> readValidServices(const std::string &folder)
{
    const ServiceFiles files = readServiceFiles(folder);
    if (!files.problems.empty()) {
        const std::string count = files.problems.size() == 1 ? "one file is invalid" : absl::StrCat(files.problems.size(), " files are invalid");
        throw CliError(ExitCode::InvalidInput, absl::StrCat("nothing was published, ", count, ":\n  ", absl::StrJoin(files.problems, "\n  ")));
    }
    if (files.services.empty()) {
        throw CliError(ExitCode::InvalidInput, absl::StrCat(folder, " contains no *.service.json file; nothing was published"));
    }
    return files.services;
}

// When the outcome of the publication is unknown, reads the published services back to see whether it took effect.
std::uint64_t confirmPublication(HostClient &client, const CliError &originalError, std::uint64_t base, const std::vector<ServiceSpec> &services)
{
    const PublishedServices current = readPublished(client);
    if (current.generation > base && compareServices(current.services, services).empty()) {
        return current.generation;
    }
    throw originalError;
}

std::uint64_t publishServices(HostClient &client, std::uint64_t base, const std::vector<ServiceSpec> &services)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ServiceSpec &service : services) {
        list.push_back(service.toJson());
    }
    UpstreamCall call;
    call.path = "/admin/publish";
    call.body = nlohmann::json({{"base_generation", base}, {"services", list}}).dump();
    try {
        return requireJson(client.call(call, false)).at("generation");
    } catch (const nlohmann::json::exception &error) {
        throw CliError(ExitCode::OutcomeUnknown, absl::StrCat("the response to the publication can't be parsed: ", error.what()));
    } catch (const CliError &error) {
        if (error.code() == ExitCode::OutcomeUnknown) {
            return confirmPublication(client, error, base, services);
        }
        if (error.code() == ExitCode::Conflict) {
            throw CliError(ExitCode::Conflict,
                           absl::StrCat("conflict: generation ", base, " is no longer the current one; nothing was published. ", error.what()));
        }
        throw;
    }
}

void printNames(std::ostream &out, const char *label, const std::vector<std::string> &names)
{
    for (const std::string &name : names) {
        out << "  " << label << ' ' << name << '\n';
    }
}

void showResult(CommandContext &context, const ServiceChanges &change, std::uint64_t base, std::optional<std::uint64_t> generation)
{
    if (context.jsonOutput()) {
        nlohmann::json json = {{"base_generation", base}, {"added", change.added}, {"removed", change.removed}, {"changed", change.changed}};
        json["generation"] = generation ? nlohmann::json(*generation) : nlohmann::json(nullptr);
        context.out() << json.dump() << '\n';
        return;
    }
    printNames(context.out(), "added  ", change.added);
    printNames(context.out(), "removed", change.removed);
    printNames(context.out(), "changed", change.changed);
    if (generation) {
        context.out() << "published generation " << *generation << " (was " << base << ")\n";
    } else {
        context.out() << (change.empty() ? "no change" : "dry run, nothing was published") << "; the current generation is " << base << '\n';
    }
}

void publish(CommandContext &context, const PublishOptions &options)
{
    const std::vector<ServiceSpec> services = readValidServices(options.folder);
    HostClient &client = context.adminClient();
    const PublishedServices published = readPublished(client);
    const std::uint64_t base = options.baseGeneration.value_or(published.generation);
    const ServiceChanges change = compareServices(published.services, services);
    std::optional<std::uint64_t> generation;
    // A stale --base must be reported as a conflict even when the services are unchanged.
    const bool upToDate = change.empty() && base == published.generation;
    if (!options.dryRun && !upToDate) {
        generation = publishServices(client, base, services);
    }
    showResult(context, change, base, generation);
}

} // namespace

void addPublishCommand(CLI::App &app, CommandContext &context)
{
    auto options = std::make_shared<PublishOptions>();
    CLI::App *command = app.add_subcommand("publish",
                                           "Publish the service files below a folder (*.service.json). All files are checked first; if one is invalid, every\n"
                                           "invalid file is reported and nothing is published. Services that have no file are removed.");
    command->add_option("DIR", options->folder, "Folder that is searched recursively")->required();
    command->add_option("--base", options->baseGeneration, "Generation that the publication is based on (default: the current one)");
    command->add_flag("--dry-run", options->dryRun, "Show what would change and publish nothing");
    context.addAdminOptions(*command);
    command->callback([&context, options] { context.action = [&context, options] { publish(context, *options); }; });
}

} // namespace Bergamotramp
