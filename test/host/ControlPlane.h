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

/** Membership and configuration of one host over loopback, without the rest of the daemon. */
class ControlPlane
{
public:
    /** The port of the peer address in @p settings may be 0. */
    ControlPlane(HostSettings settings, std::uint64_t incarnation);
    ~ControlPlane();
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /** Starts the services. Separate from construction, because the host list has to name the bound address. */
    void start();
    /** Ends the services; called by the destructor unless it was before. */
    void stop();
    /** This host as the platform's host list shows it. */
    [[nodiscard]] nlohmann::json listed() const;
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

/** Settings of a host of a test, with a short period. */
HostSettings controlPlaneSettings(const std::string &name, const std::string &storeAddress);

/** Polls until @p done holds; false after a minute, which no correct run takes. */
bool waitUntil(const std::function<bool()> &done);

/** Replaces the stand-in's host list. */
void setHostList(const std::string &platformAddress, const std::vector<nlohmann::json> &hosts);

} // namespace Bergamotramp
