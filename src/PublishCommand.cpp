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
    const nlohmann::json answer = jsonOf(client.get("/admin/services"));
    try {
        PublishedServices published;
        published.generation = answer.at("generation");
        for (const nlohmann::json &service : answer.at("services")) {
            published.services.push_back(ServiceSpec::fromJson(service, "services"));
        }
        return published;
    } catch (const nlohmann::json::exception &error) {
        throw CliError(ExitCode::Failed, absl::StrCat("the published services can't be read: ", error.what()));
    } catch (const JsonError &error) {
        throw CliError(ExitCode::Failed, absl::StrCat("the published services can't be read: ", error.what()));
    }
}

std::vector<ServiceSpec> readFolder(const std::string &folder)
{
    const ServiceFiles files = readServiceFiles(folder);
    if (!files.problems.empty()) {
        const std::string count = files.problems.size() == 1 ? "one file is broken" : absl::StrCat(files.problems.size(), " files are broken");
        throw CliError(ExitCode::InvalidInput, absl::StrCat("nothing was published, ", count, ":\n  ", absl::StrJoin(files.problems, "\n  ")));
    }
    if (files.services.empty()) {
        throw CliError(ExitCode::InvalidInput, absl::StrCat(folder, " holds no *.service.json file; nothing was published"));
    }
    return files.services;
}

// After an unclear answer the services in force tell whether the publication took effect.
std::uint64_t confirmGeneration(HostClient &client, const CliError &problem, std::uint64_t base, const std::vector<ServiceSpec> &services)
{
    const PublishedServices now = readPublished(client);
    if (now.generation > base && compareServices(now.services, services).empty()) {
        return now.generation;
    }
    throw problem;
}

std::uint64_t sendServices(HostClient &client, std::uint64_t base, const std::vector<ServiceSpec> &services)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ServiceSpec &service : services) {
        list.push_back(service.toJson());
    }
    UpstreamCall call;
    call.path = "/admin/publish";
    call.body = nlohmann::json({{"base_generation", base}, {"services", list}}).dump();
    try {
        return jsonOf(client.call(call, false)).at("generation");
    } catch (const nlohmann::json::exception &error) {
        throw CliError(ExitCode::OutcomeUnknown, absl::StrCat("the answer to the publication can't be read: ", error.what()));
    } catch (const CliError &error) {
        if (error.code() == ExitCode::OutcomeUnknown) {
            return confirmGeneration(client, error, base, services);
        }
        if (error.code() == ExitCode::Conflict) {
            throw CliError(ExitCode::Conflict,
                           absl::StrCat("conflict: generation ", base, " is no longer the current one; nothing was published. ", error.what()));
        }
        throw;
    }
}

void showNames(std::ostream &out, const char *mark, const std::vector<std::string> &names)
{
    for (const std::string &name : names) {
        out << "  " << mark << ' ' << name << '\n';
    }
}

void showResult(CommandContext &context, const CatalogueChange &change, std::uint64_t base, std::optional<std::uint64_t> generation)
{
    if (context.jsonOutput()) {
        nlohmann::json json = {{"base_generation", base}, {"added", change.added}, {"removed", change.removed}, {"changed", change.changed}};
        json["generation"] = generation ? nlohmann::json(*generation) : nlohmann::json(nullptr);
        context.out() << json.dump() << '\n';
        return;
    }
    showNames(context.out(), "added  ", change.added);
    showNames(context.out(), "removed", change.removed);
    showNames(context.out(), "changed", change.changed);
    if (generation) {
        context.out() << "published generation " << *generation << " (was " << base << ")\n";
    } else {
        context.out() << (change.empty() ? "no change" : "dry run, nothing was published") << "; the current generation is " << base << '\n';
    }
}

void publish(CommandContext &context, const PublishOptions &options)
{
    const std::vector<ServiceSpec> services = readFolder(options.folder);
    HostClient &client = context.adminClient();
    const PublishedServices published = readPublished(client);
    const std::uint64_t base = options.baseGeneration.value_or(published.generation);
    const CatalogueChange change = compareServices(published.services, services);
    std::optional<std::uint64_t> generation;
    // A stale --base must end as a conflict even when the contents are the same.
    const bool upToDate = change.empty() && base == published.generation;
    if (!options.dryRun && !upToDate) {
        generation = sendServices(client, base, services);
    }
    showResult(context, change, base, generation);
}

} // namespace

void addPublishCommand(CLI::App &app, CommandContext &context)
{
    auto options = std::make_shared<PublishOptions>();
    CLI::App *command = app.add_subcommand("publish",
                                           "Publish the service files below a folder (*.service.json). All files are checked first; if one is broken, every\n"
                                           "broken file is reported and nothing is published. Services that have no file are removed.");
    command->add_option("DIR", options->folder, "Folder that is searched recursively")->required();
    command->add_option("--base", options->baseGeneration, "Generation that the publication is based on (default: the current one)");
    command->add_flag("--dry-run", options->dryRun, "Show what would change and publish nothing");
    context.addAdminOptions(*command);
    command->callback([&context, options] { context.action = [&context, options] { publish(context, *options); }; });
}

} // namespace Bergamotramp
