#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Review {

inline constexpr const char *virtualHost = "ficu95.example";

/** A batch route, as the operator writes it, without the services that run it. */
inline nlohmann::json batchRoute(const std::string &prefix)
{
    return {{"name", "r-batch"},
            {"host", virtualHost},
            {"pathPrefix", prefix},
            {"kind", "batch"},
            {"timeoutMs", 15000},
            {"targetLatencyMs", 400},
            {"priority", 2},
            {"maxAttempts", 3},
            {"sticky", true},
            {"dueMs", 18000},
            {"retentionS", 60},
            {"maxCount", 2800000}};
}

/** The content of config/main. */
inline nlohmann::json configuration(int version, const std::vector<nlohmann::json> &routes, const std::vector<std::string> &services)
{
    nlohmann::json serviceList = nlohmann::json::array();
    for (const std::string &service : services) {
        serviceList.push_back({{"name", service}, {"healthPath", "/health"}, {"maxConns", 230}, {"protocol", "h1"}, {"tls", false}});
    }
    return {{"version", version},
            {"routes", routes},
            {"services", serviceList},
            {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
}

/** The registration of a replica in the store. */
inline nlohmann::json registration(const std::string &service, const std::string &address, int slots, const std::string &version = "v1")
{
    return {{"service", service},
            {"address", address},
            {"zone", "recife-a"},
            {"version", version},
            {"slots", slots},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"seq", 1},
            {"born", 1774429256000}};
}

/** The body of a submission with items of @p tokens each, whose ids begin with the job's id. */
inline nlohmann::json submission(const std::string &job, const std::string &prefix, int items, int tokens = 700)
{
    nlohmann::json list = nlohmann::json::array();
    for (int number = 0; number < items; ++number) {
        const std::string id = job + "-" + std::to_string(number);
        list.push_back({{"id", id},
                        {"path", prefix + std::to_string(number)},
                        {"headers", {{"X-Model", "m"}, {"X-Token-Count", "350,350"}, {"X-Prompt-Prefix", "9c2e41:100,5d07b8:250"}}},
                        {"body", "q83vEjRWeJA="},
                        {"tokens", tokens}});
    }
    return {{"items", list}};
}

} // namespace Review
