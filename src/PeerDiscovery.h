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
 * Finds the other hosts when a host starts: introduces it to the seeds, and, because seeds may be outdated, to the hosts that are registered
 * in the store. Registers its address there unless an earlier run of the host has done so. Calls to the store that fail are repeated.
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
        /** Reports the number of registered hosts and whether this host was registered before it started. May be empty. */
        std::function<void(std::size_t hosts, bool includesThisHost)> hostsListed{};
    };

    /** @p host and @p peerAddress are this host's. */
    PeerDiscovery(const Context &context, std::string host, std::string peerAddress);

    /** Starts the discovery. @p seeds are control addresses of other hosts, which use the same port for peers as this host. */
    void start(const std::vector<std::string> &seeds);

private:
    void listHosts();
    void registerAddress();
    void contact(const ObjectRecord &object);
    /** Name of this host's object in the store. */
    [[nodiscard]] std::string objectName() const;

    Context context;
    std::string host;
    std::string peerAddress;
    /** Whether this run of the host has registered the address. */
    bool registered = false;
    LoopTimer timer;
};

} // namespace Bergamotramp
