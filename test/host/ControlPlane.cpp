#include "ControlPlane.h"

#include <mutex>
#include <stdexcept>

#include <absl/time/clock.h>
#include <httplib.h>

namespace Bergamotramp {

ControlPlane::ControlPlane(HostSettings settings, std::uint64_t incarnation)
    : context{.settings = std::move(settings), .incarnation = incarnation, .liveHosts = {}, .catalogue = {}}
    , events(this->context.settings.name, this->context.settings.eventLog)
    , store({this->context.settings.storeAddress, this->context.settings.storeTimeout})
    , transport(this->context.settings.peerAddress,
                Transport::Hooks{[this](const wire::Envelope &envelope) { this->receive(envelope); },
                                 [this](wire::Envelope &envelope) {
                                     envelope.mutable_from()->set_name(this->context.settings.name);
                                     envelope.mutable_from()->set_incarnation(this->context.incarnation);
                                     envelope.set_hybrid_time(this->events.nextTimestamp());
                                 }})
{
    this->context.transport = &this->transport;
    this->context.store = &this->store;
    this->context.timers = &this->timers;
    this->context.events = &this->events;
}

ControlPlane::~ControlPlane()
{
    this->stop();
}

void ControlPlane::stop()
{
    {
        const std::unique_lock<std::shared_mutex> lock(this->mutex);
        this->running = false;
    }
    if (this->membership) {
        this->membership->setGenerationHooks({}, {});
    }
    this->config.reset();
    this->membership.reset();
}

void ControlPlane::start()
{
    this->membership = std::make_unique<MembershipService>(this->context);
    this->context.liveHosts = [this] { return this->membership->liveHosts(); };
    this->config = std::make_unique<ConfigService>(this->context);
    this->context.catalogue = [this] { return this->config->catalogue(); };
    this->membership->setGenerationHooks([this] { return this->config->generation(); },
                                         [this](const std::string &address, std::uint64_t generation) { this->config->pullIfNewer(address, generation); });
    const std::unique_lock<std::shared_mutex> lock(this->mutex);
    this->running = true;
}

void ControlPlane::receive(const wire::Envelope &envelope)
{
    const std::shared_lock<std::shared_mutex> lock(this->mutex);
    if (!this->running) {
        return;
    }
    this->events.receiveTimestamp(envelope.hybrid_time());
    if (envelope.has_config_pull() || envelope.has_config_push()) {
        this->config->handle(envelope);
    } else {
        this->membership->handle(envelope);
    }
}

nlohmann::json ControlPlane::hostListEntry() const
{
    const HostSettings &settings = this->context.settings;
    return {{"name", settings.name},
            {"region", settings.region},
            {"dataCentre", settings.dataCentre},
            {"callerAddress", settings.callerAddress},
            {"peerAddress", this->transport.address()},
            {"adminAddress", settings.adminAddress},
            {"state", "live"}};
}

std::vector<std::string> ControlPlane::liveNames() const
{
    std::vector<std::string> names;
    for (const HostInfo &host : this->membership->liveHosts()) {
        names.push_back(host.name);
    }
    return names;
}

HostSettings controlPlaneSettings(const std::string &name, const std::string &storeAddress)
{
    HostSettings settings;
    settings.name = name;
    settings.region = "nordeste";
    settings.dataCentre = "recife-a";
    settings.callerAddress = "127.0.0.1:1";
    settings.peerAddress = "127.0.0.1:0";
    settings.adminAddress = "127.0.0.1:2";
    settings.storeAddress = storeAddress;
    settings.membershipPeriod = absl::Milliseconds(100);
    return settings;
}

bool waitUntil(const std::function<bool()> &done)
{
    const absl::Time deadline = absl::Now() + absl::Minutes(1);
    while (!done()) {
        if (absl::Now() > deadline) {
            return false;
        }
        absl::SleepFor(absl::Milliseconds(5));
    }
    return true;
}

void setHostList(const std::string &platformAddress, const std::vector<nlohmann::json> &hosts)
{
    httplib::Client client("http://" + platformAddress);
    const httplib::Result result = client.Put("/control/hosts", nlohmann::json{{"hosts", hosts}}.dump(), "application/json");
    if (!result || result->status != 200) {
        throw std::runtime_error("the host list was not accepted");
    }
}

} // namespace Bergamotramp
