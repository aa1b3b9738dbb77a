#include <ostream>

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>

#include "Cli.h"
#include "FleetState.h"

namespace Bergamotramp {

namespace {

struct ListCommand {
    const char *name;
    const char *description;
    std::vector<std::string> leadingColumns;
    /** Returns the answer, which is a list or an object with a list. */
    std::function<nlohmann::json(HostClient &)> read;
};

nlohmann::json readServices(HostClient &admin)
{
    return jsonOf(admin.get("/admin/services"));
}

void showList(CommandContext &context, const ListCommand &command)
{
    const nlohmann::json answer = command.read(context.adminClient());
    if (context.jsonOutput()) {
        context.out() << (answer.is_array() ? nlohmann::json({{command.name, answer}}) : answer).dump() << '\n';
        return;
    }
    if (answer.is_object() && answer.contains("generation")) {
        context.out() << "generation " << answer["generation"].dump() << '\n';
    }
    context.out() << tableOf(listIn(answer, command.name), command.leadingColumns);
}

void addListCommand(CLI::App &app, CommandContext &context, const ListCommand &list)
{
    CLI::App *command = app.add_subcommand(list.name, list.description);
    context.addAdminOptions(*command);
    command->callback([&context, list] { context.action = [&context, list] { showList(context, list); }; });
}

// A host is drained by its own admin interface; another host only tells where that is.
std::string resolveHost(CommandContext &context, const std::string &host)
{
    if (host.find(':') != std::string::npos) {
        return host;
    }
    const nlohmann::json answer = jsonOf(context.adminClient().get("/admin/hosts"));
    for (const nlohmann::json &entry : listIn(answer, "hosts")) {
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
    // Asking a draining host again changes nothing, so an unclear call may be repeated by the operator.
    const nlohmann::json answer = jsonOf(client.call(call, true));
    if (context.jsonOutput()) {
        context.out() << nlohmann::json({{"host", host}, {"address", address}, {"answer", answer}}).dump() << '\n';
    } else {
        context.out() << host << " (" << address << ") is draining\n";
    }
}

} // namespace

void addAdminCommands(CLI::App &app, CommandContext &context)
{
    addListCommand(app, context, {"services", "List the services in force and their generation.", {"name", "kind", "model", "upstreams"}, readServices});
    addListCommand(app,
                   context,
                   {"hosts",
                    "List the hosts as one host sees them, with the generation in force on each, asked from its own admin interface.",
                    {"name", "state", "reachable", "generation", "draining", "active_requests", "region", "data_centre"},
                    readHosts});
    addListCommand(app,
                   context,
                   {"upstreams",
                    "List the upstreams as the holders of their pools see them: requests in flight, slots and latency score.",
                    {"service", "region", "name", "in_flight", "slots", "score"},
                    readUpstreams});
    auto host = std::make_shared<std::string>();
    CLI::App *command = app.add_subcommand("drain", "Begin the planned shutdown of a host. It takes no new work, finishes what runs and exits.");
    command->add_option("HOST", *host, "Name of the host, or its admin address IP:port")->required();
    context.addAdminOptions(*command);
    command->callback([&context, host] { context.action = [&context, host] { drain(context, *host); }; });
}

} // namespace Bergamotramp
