#include "ScenarioHttp.h"

#include <httplib.h>

namespace Bergamotramp {

namespace {

constexpr time_t timeoutSeconds = 5;

} // namespace

nlohmann::json ControlResponse::json() const
{
    nlohmann::json parsed = nlohmann::json::parse(this->body, nullptr, false);
    return parsed.is_discarded() ? nlohmann::json() : parsed;
}

std::optional<ControlResponse> sendControlRequest(const std::string &method, const std::string &address, const std::string &path, const std::string &body)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(timeoutSeconds);
    client.set_read_timeout(timeoutSeconds);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    if (!body.empty()) {
        request.set_header("Content-Type", "application/json");
    }
    const httplib::Result result = client.send(request);
    if (!result) {
        return std::nullopt;
    }
    return ControlResponse{result->status, result->body};
}

} // namespace Bergamotramp
