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
constexpr absl::Duration responseTimeout = absl::Seconds(3);

/** Returns the JSON response of one host, or nullopt when the call fails. */
std::optional<nlohmann::json> queryHost(const std::string &address, const std::string &path)
{
    try {
        HostClient client([&address] { return std::vector<std::string>{address}; }, connectTimeout);
        UpstreamCall call;
        call.method = "GET";
        call.path = path;
        call.silenceTimeout = responseTimeout;
        return requireJson(client.call(call, true));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

void addHostStatus(nlohmann::json &host)
{
    const std::optional<nlohmann::json> status = queryHost(adminAddressOf(host), "/admin/status");
    host["reachable"] = status.has_value();
    for (const char *key : {"generation", "draining", "active_requests"}) {
        if (status && status->is_object() && status->contains(key)) {
            host[key] = (*status)[key];
        }
    }
}

void appendPoolRows(const nlohmann::json &pool, nlohmann::json &rows)
{
    // Only the pool holder counts the requests in flight of all hosts; other hosts report their own as "local".
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
    nlohmann::json hosts = extractList(requireJson(admin.get("/admin/hosts")), "hosts");
    std::atomic<std::size_t> nextIndex{0};
    std::vector<std::thread> threads;
    for (std::size_t count = std::min(parallelCalls, hosts.size()); count > 0; --count) {
        threads.emplace_back([&hosts, &nextIndex] {
            for (std::size_t index = nextIndex++; index < hosts.size(); index = nextIndex++) {
                addHostStatus(hosts[index]);
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
    const nlohmann::json response = requireJson(admin.get("/admin/upstreams"));
    std::map<std::string, std::string> adminAddressByHost;
    for (const nlohmann::json &host : extractList(requireJson(admin.get("/admin/hosts")), "hosts")) {
        adminAddressByHost[host.value("name", "")] = adminAddressOf(host);
    }
    std::map<std::string, std::optional<nlohmann::json>> holderResponses;
    nlohmann::json rows = nlohmann::json::array();
    const nlohmann::json pools = response.value("pools", nlohmann::json::object());
    for (const auto &[name, pool] : pools.items()) {
        const std::string holder = pool.value("holder", "");
        if (!pool.contains("upstreams") && adminAddressByHost.contains(holder)) {
            const auto [holderResponse, isNew] = holderResponses.try_emplace(holder);
            if (isNew) {
                holderResponse->second = queryHost(adminAddressByHost[holder], "/admin/upstreams");
            }
            if (holderResponse->second && holderResponse->second->contains("pools") && (*holderResponse->second)["pools"].contains(name)) {
                appendPoolRows((*holderResponse->second)["pools"][name], rows);
                continue;
            }
        }
        appendPoolRows(pool, rows);
    }
    return rows;
}

} // namespace Bergamotramp
