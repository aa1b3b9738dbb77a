#include <ostream>

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>

#include "Cli.h"

namespace Bergamotramp {

namespace {

struct ListCommand {
    const char *name;
    const char *description;
    std::vector<std::string> leadingColumns;
};

void showList(CommandContext &context, const ListCommand &command)
{
    const nlohmann::json answer = jsonOf(context.adminClient().get(absl::StrCat("/admin/", command.name)));
    if (context.jsonOutput()) {
        context.out() << answer.dump() << '\n';
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

std::string adminAddressOf(const nlohmann::json &host)
{
    for (const char *key : {"adminAddress", "admin_address"}) {
        if (host.contains(key) && host[key].is_string()) {
            return host[key].get<std::string>();
        }
    }
    return "";
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
    addListCommand(app, context, {"services", "List the services in force and their generation.", {"name", "kind", "model", "upstreams"}});
    addListCommand(app, context, {"hosts", "List the hosts and their states.", {"name", "state", "region", "dataCentre", "generation"}});
    addListCommand(app, context, {"upstreams", "List the upstreams, their load and their states.", {"service", "name", "address", "state"}});
    auto host = std::make_shared<std::string>();
    CLI::App *command = app.add_subcommand("drain", "Begin the planned shutdown of a host. It takes no new work, finishes what runs and exits.");
    command->add_option("HOST", *host, "Name of the host, or its admin address IP:port")->required();
    context.addAdminOptions(*command);
    command->callback([&context, host] { context.action = [&context, host] { drain(context, *host); }; });
}

} // namespace Bergamotramp
