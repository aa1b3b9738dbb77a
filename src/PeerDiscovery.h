#pragma once

#include <functional>
#include <string>
#include <vector>

#include "EventLoop.h"
#include "JsonLog.h"
#include "ObjectStore.h"
#include "PeerExchange.h"
#include "PeerTable.h"

namespace Bergamotramp {

/**
 * Finds the other hosts when a host starts: introduces it to the seeds, registers its address in the store, because seeds may be outdated,
 * and introduces it to the hosts that are registered there. Calls to the store that fail are repeated.
 */
class PeerDiscovery
{
public:
    struct Context {
        EventLoop &loop;
        ObjectStore &store;
        PeerExchange &exchange;
        const PeerTable &peers;
        JsonLog &log;
        std::function<double()> randomFraction;
    };

    /** @p host and @p peerAddress are this host's. */
    PeerDiscovery(const Context &context, std::string host, std::string peerAddress);

    /** Starts the discovery. @p seeds are control addresses of other hosts, which use the same port for peers as this host. */
    void start(const std::vector<std::string> &seeds);

private:
    void registerAddress();
    void contactRegisteredHosts();

    Context context;
    std::string host;
    std::string peerAddress;
    LoopTimer timer;
};

} // namespace Bergamotramp
