#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ConfigState.h"
#include "HostInfo.h"
#include "HostSettings.h"

namespace Bergamotramp {

class EventLog;
class StoreClient;
class TimerService;
class Transport;

/** Objects and settings that the services of one host share. Its owner has to outlive the services. */
struct HostContext {
    HostSettings settings;
    /** Identifies this run of the host; increases with every restart. */
    std::uint64_t incarnation = 0;
    Transport *transport = nullptr;
    StoreClient *store = nullptr;
    TimerService *timers = nullptr;
    EventLog *events = nullptr;
    /** Hosts that accept work, this one included: alive or suspect, neither leaving nor dead. Sorted by name. */
    std::function<std::vector<HostInfo>()> liveHosts;
    /** The active catalogue. */
    std::function<std::shared_ptr<const Catalogue>()> catalogue;
};

} // namespace Bergamotramp
