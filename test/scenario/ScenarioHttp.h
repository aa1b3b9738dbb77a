#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** Response to a request to the control or admin interface of a process. */
struct ControlResponse {
    int status = 0;
    std::string body;

    bool operator==(const ControlResponse &) const = default;

    /** The parsed body; null when the body is not JSON. */
    [[nodiscard]] nlohmann::json json() const;
};

/** Sends a request over a new connection; nothing when connecting or reading the response fails or exceeds the time-out of 5 s. */
std::optional<ControlResponse> sendControlRequest(const std::string &method, const std::string &address, const std::string &path, const std::string &body = "");

} // namespace Bergamotramp
