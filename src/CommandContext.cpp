#include "CommandContext.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "JsonReader.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration connectTimeout = absl::Seconds(2);

std::string validateAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    int port = 0;
    if (colon == std::string::npos || colon == 0 || !absl::SimpleAtoi(address.substr(colon + 1), &port) || port < 1 || port > 65535) {
        return absl::StrCat("\"", address, "\" is not an address of the form IP:port");
    }
    return "";
}

std::string formatCell(const nlohmann::json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (!value.is_structured()) {
        return value.dump();
    }
    // Counts the elements of an array, or of all arrays in an object, such as the upstreams by data centre.
    std::size_t count = 0;
    for (const nlohmann::json &element : value) {
        count += value.is_object() && element.is_array() ? element.size() : 1;
    }
    return absl::StrCat(count);
}

std::vector<std::string> selectColumns(const nlohmann::json &objects, const std::vector<std::string> &leadingColumns)
{
    std::vector<std::string> columns;
    for (const std::string &name : leadingColumns) {
        if (std::any_of(objects.begin(), objects.end(), [&name](const nlohmann::json &object) { return object.contains(name); })) {
            columns.push_back(name);
        }
    }
    for (const nlohmann::json &object : objects) {
        for (const auto &[name, value] : object.items()) {
            if (!value.is_structured() && std::find(columns.begin(), columns.end(), name) == columns.end()) {
                columns.push_back(name);
            }
        }
    }
    return columns;
}

std::string alignRows(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const std::vector<std::string> &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const std::vector<std::string> &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column] + std::string(widths[column] - row[column].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

} // namespace

CommandContext::CommandContext(CliEnvironment environment) : cliEnvironment(std::move(environment))
{
}

void CommandContext::addOutputOption(CLI::App &command)
{
    command.add_option("--output", this->outputFormat, "Output format")->check(CLI::IsMember({"text", "json"}))->capture_default_str();
    command.footer(
        "Exit codes: 0 ok, 1 the operation failed, 2 usage or invalid input, 3 conflict,\n"
        "4 no host could be reached, 5 the request was sent and its outcome is unknown.");
}

void CommandContext::addEntryOptions(CLI::App &command)
{
    command.add_option("--entry", this->entryArguments, "Entry host, IP:port; repeatable. The list of all entries is read from one that responds")
        ->check(validateAddress)
        ->allow_extra_args(false);
    command.add_option("--config", this->configFile, R"(JSON file {"entries": ["IP:port"], "admin": ["IP:port"]}; options override it)");
    this->addOutputOption(command);
}

void CommandContext::addAdminOptions(CLI::App &command)
{
    command.add_option("--admin", this->adminArguments, "Admin address of a host, IP:port; repeatable, tried in order")
        ->check(validateAddress)
        ->allow_extra_args(false);
    command.add_option("--config", this->configFile, R"(JSON file {"entries": ["IP:port"], "admin": ["IP:port"]}; options override it)");
    this->addOutputOption(command);
}

std::vector<std::string> CommandContext::entrySeeds() const
{
    return this->resolveAddresses(this->entryArguments, "entries", "--entry");
}

std::vector<std::string> CommandContext::adminAddresses() const
{
    return this->resolveAddresses(this->adminArguments, "admin", "--admin");
}

std::vector<std::string> CommandContext::resolveAddresses(const std::vector<std::string> &arguments, const char *configKey, const char *option) const
{
    std::vector<std::string> addresses = arguments;
    if (addresses.empty() && !this->configFile.empty()) {
        try {
            const nlohmann::json config = JsonReader::parse(readInputFile(this->configFile));
            JsonReader reader(config, "");
            reader.optionalArray(configKey, [&addresses](const nlohmann::json &element, const std::string &path) {
                const std::string problem = element.is_string() ? validateAddress(element.get<std::string>()) : "must be a string";
                if (!problem.empty()) {
                    throw JsonError(path, problem);
                }
                addresses.push_back(element.get<std::string>());
            });
        } catch (const JsonError &error) {
            throw CliError(ExitCode::InvalidInput, absl::StrCat(this->configFile, ": ", error.what()));
        }
    }
    if (addresses.empty()) {
        throw CliError(ExitCode::InvalidInput, absl::StrCat("give ", option, " IP:port or a --config file with the key \"", configKey, "\""));
    }
    return addresses;
}

EntryDirectory &CommandContext::entryDirectory()
{
    if (this->directory == nullptr) {
        this->directory = std::make_unique<EntryDirectory>(this->entrySeeds(), connectTimeout);
    }
    return *this->directory;
}

HostClient &CommandContext::entryClient()
{
    if (this->entryHosts == nullptr) {
        EntryDirectory &entryList = this->entryDirectory();
        this->entryHosts = std::make_unique<HostClient>([&entryList] { return entryList.addresses(); }, connectTimeout);
    }
    return *this->entryHosts;
}

HostClient &CommandContext::adminClient()
{
    if (this->adminHosts == nullptr) {
        this->adminHosts = std::make_unique<HostClient>([list = this->adminAddresses()] { return list; }, connectTimeout);
    }
    return *this->adminHosts;
}

bool CommandContext::jsonOutput() const
{
    return this->outputFormat == "json";
}

std::ostream &CommandContext::out()
{
    return this->cliEnvironment.out;
}

std::ostream &CommandContext::err()
{
    return this->cliEnvironment.err;
}

const CliEnvironment &CommandContext::environment() const
{
    return this->cliEnvironment;
}

std::string readInputFile(const std::string &file)
{
    std::ostringstream text;
    if (file == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream stream(file, std::ios::binary);
    // A folder can be opened as a stream and reads as empty, so it is rejected explicitly.
    if (!stream || std::filesystem::is_directory(file)) {
        throw CliError(ExitCode::InvalidInput, file + ": cannot be read");
    }
    text << stream.rdbuf();
    return text.str();
}

nlohmann::json extractList(const nlohmann::json &response, const std::string &name)
{
    if (response.is_array()) {
        return response;
    }
    if (response.is_object() && response.contains(name)) {
        return response[name];
    }
    const auto found = std::find_if(response.begin(), response.end(), [](const nlohmann::json &field) { return field.is_array(); });
    return found == response.end() ? nlohmann::json::array() : *found;
}

std::string formatTable(const nlohmann::json &objects, const std::vector<std::string> &leadingColumns)
{
    if (!objects.is_array() || objects.empty()) {
        return "none\n";
    }
    const std::vector<std::string> columns = selectColumns(objects, leadingColumns);
    std::vector<std::vector<std::string>> rows = {columns};
    for (const nlohmann::json &object : objects) {
        std::vector<std::string> row;
        for (const std::string &column : columns) {
            row.push_back(object.contains(column) ? formatCell(object[column]) : "");
        }
        rows.push_back(std::move(row));
    }
    return alignRows(rows);
}

} // namespace Bergamotramp
