#pragma once

#include <functional>
#include <memory>
#include <shared_mutex>
#include <string>
#include <vector>

#include "ConfigService.h"
#include "EventLog.h"
#include "HostContext.h"
#include "MembershipService.h"
#include "StoreClient.h"
#include "TimerService.h"
#include "Transport.h"

namespace Bergamotramp {

/** The membership and configuration services of one host over loopback, without the rest of the daemon. */
class ControlPlane
{
public:
    /** The port of the peer address in @p settings may be 0. */
    ControlPlane(HostSettings settings, std::uint64_t incarnation);
    ~ControlPlane();
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /** Starts the services. Separate from construction, because the host list must first contain the bound address. */
    void start();
    /** Stops the services; the destructor does so too. */
    void stop();
    /** The entry of this host in the platform's host list. */
    [[nodiscard]] nlohmann::json hostListEntry() const;
    [[nodiscard]] std::vector<std::string> liveNames() const;

    HostContext context;
    EventLog events;
    TimerService timers;
    StoreClient store;
    Transport transport;
    std::unique_ptr<MembershipService> membership;
    std::unique_ptr<ConfigService> config;

private:
    void receive(const wire::Envelope &envelope);

    std::shared_mutex mutex;
    bool running = false;
};

/** Settings of a host for tests, with a short membership period. */
HostSettings controlPlaneSettings(const std::string &name, const std::string &storeAddress);

/** Polls until @p done returns true; returns false after a minute, which no correct run takes. */
bool waitUntil(const std::function<bool()> &done);

/** Replaces the host list of the stand-in platform. */
void setHostList(const std::string &platformAddress, const std::vector<nlohmann::json> &hosts);

} // namespace Bergamotramp
