#include <ostream>

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>

#include "Cli.h"
#include "FleetState.h"

namespace Bergamotramp {

namespace {

/** A command that prints one list read from the admin interface. */
struct ListCommand {
    const char *name;
    const char *description;
    std::vector<std::string> leadingColumns;
    /** Returns the response: a JSON array, or an object that contains one. */
    std::function<nlohmann::json(HostClient &)> read;
};

nlohmann::json readServices(HostClient &admin)
{
    return requireJson(admin.get("/admin/services"));
}

void showList(CommandContext &context, const ListCommand &command)
{
    const nlohmann::json response = command.read(context.adminClient());
    if (context.jsonOutput()) {
        context.out() << (response.is_array() ? nlohmann::json({{command.name, response}}) : response).dump() << '\n';
        return;
    }
    if (response.is_object() && response.contains("generation")) {
        context.out() << "generation " << response["generation"].dump() << '\n';
    }
    context.out() << formatTable(extractList(response, command.name), command.leadingColumns);
}

void addListCommand(CLI::App &app, CommandContext &context, const ListCommand &listCommand)
{
    CLI::App *command = app.add_subcommand(listCommand.name, listCommand.description);
    context.addAdminOptions(*command);
    command->callback([&context, listCommand] { context.action = [&context, listCommand] { showList(context, listCommand); }; });
}

// Only the admin interface of the host itself can drain it. A host name is looked up in the host list of the queried host.
std::string resolveHost(CommandContext &context, const std::string &host)
{
    if (host.find(':') != std::string::npos) {
        return host;
    }
    const nlohmann::json response = requireJson(context.adminClient().get("/admin/hosts"));
    for (const nlohmann::json &entry : extractList(response, "hosts")) {
        if (entry.value("name", "") == host && !adminAddressOf(entry).empty()) {
            return adminAddressOf(entry);
        }
    }
    throw CliError(ExitCode::Failed, absl::StrCat("no host is named ", host));
}

void drain(CommandContext &context, const std::string &host)
{
    const std::string address = resolveHost(context, host);
    HostClient client([&address] { return std::vector<std::string>{address}; }, absl::Seconds(2));
    UpstreamCall call;
    call.path = "/admin/drain";
    // Draining is idempotent, so the operator can repeat the command when its outcome is unknown.
    const nlohmann::json response = requireJson(client.call(call, true));
    if (context.jsonOutput()) {
        context.out() << nlohmann::json({{"host", host}, {"address", address}, {"answer", response}}).dump() << '\n';
    } else {
        context.out() << host << " (" << address << ") is draining\n";
    }
}

} // namespace

void addAdminCommands(CLI::App &app, CommandContext &context)
{
    addListCommand(app, context, {"services", "List the active services and their generation.", {"name", "kind", "model", "upstreams"}, readServices});
    addListCommand(app,
                   context,
                   {"hosts",
                    "List the hosts known to the queried host, with the active generation of each, read from its own admin interface.",
                    {"name", "state", "reachable", "generation", "draining", "active_requests", "region", "data_centre"},
                    readHosts});
    addListCommand(app,
                   context,
                   {"upstreams",
                    "List the upstreams with their requests in flight, slots and latency score, as reported by the holder of each slot pool.",
                    {"service", "region", "name", "in_flight", "slots", "score"},
                    readUpstreams});
    auto host = std::make_shared<std::string>();
    CLI::App *command = app.add_subcommand("drain", "Start the planned shutdown of a host. It accepts no new work, finishes running work and exits.");
    command->add_option("HOST", *host, "Name of the host, or its admin address IP:port")->required();
    context.addAdminOptions(*command);
    command->callback([&context, host] { context.action = [&context, host] { drain(context, *host); }; });
}

} // namespace Bergamotramp
