#include "CallRefusal.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

HttpResponse jsonResponse(int status, const std::string &body)
{
    return {.head = {.status = status, .fields = {{"Content-Type", "application/json"}}}, .body = body};
}

HttpResponse failureResponse(int status, const std::string &code, const std::string &message, const std::string &state)
{
    const nlohmann::json body{{"error", {{"code", code}, {"message", message}, {"state", state}}}};
    return jsonResponse(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

HttpResponse notRunResponse(const std::string &code, const std::string &message, absl::Duration retryAfter)
{
    HttpResponse response = failureResponse(503, code, message, "not_run");
    response.head.fields.add("Retry-After", absl::StrFormat("%.3f", absl::ToDoubleSeconds(retryAfter)));
    return response;
}

HttpResponse unknownOutcomeResponse(const std::string &code, const std::string &message)
{
    return failureResponse(504, code, message, "unknown");
}

} // namespace Bergamotramp
