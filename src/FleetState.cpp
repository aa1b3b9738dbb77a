#include "FleetState.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <optional>
#include <thread>
#include <vector>

#include "CommandContext.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t parallelCalls = 16;
constexpr absl::Duration connectTimeout = absl::Seconds(1);
constexpr absl::Duration answerTimeout = absl::Seconds(3);

/** The answer of one host; nothing when it doesn't answer. */
std::optional<nlohmann::json> readFrom(const std::string &address, const std::string &path)
{
    try {
        HostClient client([&address] { return std::vector<std::string>{address}; }, connectTimeout);
        UpstreamCall call;
        call.method = "GET";
        call.path = path;
        call.silenceTimeout = answerTimeout;
        return jsonOf(client.call(call, true));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

void addStatus(nlohmann::json &host)
{
    const std::optional<nlohmann::json> status = readFrom(adminAddressOf(host), "/admin/status");
    host["reachable"] = status.has_value();
    for (const char *key : {"generation", "draining", "active_requests"}) {
        if (status && status->is_object() && status->contains(key)) {
            host[key] = (*status)[key];
        }
    }
}

void addRows(const nlohmann::json &pool, nlohmann::json &rows)
{
    // Only the holder knows all requests in flight; other hosts know their own.
    const bool fromHolder = pool.contains("upstreams");
    const nlohmann::json upstreams = pool.value(fromHolder ? "upstreams" : "local", nlohmann::json::object());
    for (const auto &[name, state] : upstreams.items()) {
        nlohmann::json row = state;
        row["name"] = name;
        row["service"] = pool.value("service", "");
        row["region"] = pool.value("region", "");
        row["holder"] = pool.value("holder", "");
        row["seen_by"] = fromHolder ? "holder" : "asked host";
        rows.push_back(std::move(row));
    }
}

} // namespace

std::string adminAddressOf(const nlohmann::json &host)
{
    for (const char *key : {"admin_address", "adminAddress"}) {
        if (host.is_object() && host.contains(key) && host[key].is_string()) {
            return host[key].get<std::string>();
        }
    }
    return "";
}

nlohmann::json readHosts(HostClient &admin)
{
    nlohmann::json hosts = listIn(jsonOf(admin.get("/admin/hosts")), "hosts");
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (std::size_t count = std::min(parallelCalls, hosts.size()); count > 0; --count) {
        threads.emplace_back([&hosts, &next] {
            for (std::size_t index = next++; index < hosts.size(); index = next++) {
                addStatus(hosts[index]);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return hosts;
}

nlohmann::json readUpstreams(HostClient &admin)
{
    const nlohmann::json answer = jsonOf(admin.get("/admin/upstreams"));
    std::map<std::string, std::string> adminOfHost;
    for (const nlohmann::json &host : listIn(jsonOf(admin.get("/admin/hosts")), "hosts")) {
        adminOfHost[host.value("name", "")] = adminAddressOf(host);
    }
    std::map<std::string, std::optional<nlohmann::json>> answers;
    nlohmann::json rows = nlohmann::json::array();
    const nlohmann::json pools = answer.value("pools", nlohmann::json::object());
    for (const auto &[name, pool] : pools.items()) {
        const std::string holder = pool.value("holder", "");
        if (!pool.contains("upstreams") && adminOfHost.contains(holder)) {
            const auto [known, isNew] = answers.try_emplace(holder);
            if (isNew) {
                known->second = readFrom(adminOfHost[holder], "/admin/upstreams");
            }
            if (known->second && known->second->contains("pools") && (*known->second)["pools"].contains(name)) {
                addRows((*known->second)["pools"][name], rows);
                continue;
            }
        }
        addRows(pool, rows);
    }
    return rows;
}

} // namespace Bergamotramp
