#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** An answer to a control or status call. */
struct HttpAnswer {
    int status = 0;
    std::string body;

    bool operator==(const HttpAnswer &) const = default;

    /** Null when the body is not JSON. */
    [[nodiscard]] nlohmann::json json() const;
};

/** Runs a call over a new connection; nothing when no whole answer comes within a few seconds. */
std::optional<HttpAnswer> httpCall(const std::string &method, const std::string &address, const std::string &path, const std::string &body = "");

} // namespace Bergamotramp
