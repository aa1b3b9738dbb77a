#include "CallerAuthentication.h"

namespace Bergamotramp {

namespace {

constexpr int unauthorised = 401;
constexpr int badRequest = 400;

Authentication authenticateKey(const RoutingConfig &config, const CallerCall &call)
{
    if (call.apiKeys.empty()) {
        return {.refusal = KeyRefusal{.status = unauthorised, .code = "no_key", .message = "the request needs a key"}};
    }
    if (call.apiKeys.size() > 1) {
        return {.refusal = KeyRefusal{.status = badRequest, .code = "repeated_key", .message = "the request has more than one key"}};
    }
    const Organisation *organisation = config.organisations->findByKey(call.apiKeys.front());
    if (organisation == nullptr) {
        return {.refusal = KeyRefusal{.status = unauthorised, .code = "unknown_key", .message = "the key is not valid"}};
    }
    return {.organisation = std::shared_ptr<const Organisation>(config.organisations, organisation)};
}

} // namespace

CallerOrganisation Authentication::callerOrganisation(const RoutingConfig &config) const
{
    if (!config.organisations) {
        return std::nullopt;
    }
    return this->organisation ? this->organisation->name : std::string();
}

bool Authentication::operator==(const Authentication &other) const
{
    const bool bothHave = this->organisation && other.organisation;
    const bool sameOrganisation = bothHave ? *this->organisation == *other.organisation : this->organisation == other.organisation;
    return sameOrganisation && this->refusal == other.refusal;
}

bool needsKey(const RoutingConfig &config, const Route &route)
{
    return config.organisations != nullptr && !route.isPublic;
}

bool needsKey(const RoutingConfig &config, const CallerCall &jobCall)
{
    return config.organisations != nullptr && !jobCall.apiKeys.empty();
}

Authentication authenticate(const RoutingConfig &config, const Route &route, const CallerCall &call)
{
    return needsKey(config, route) ? authenticateKey(config, call) : Authentication{};
}

Authentication authenticateJobCall(const RoutingConfig &config, const CallerCall &call)
{
    return needsKey(config, call) ? authenticateKey(config, call) : Authentication{};
}

} // namespace Bergamotramp
