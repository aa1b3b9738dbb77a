#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "EventLoop.h"
#include "PeerTable.h"
#include "SoleVersion.h"
#include "StreamOrigins.h"
#include "peer.pb.h"

namespace Bergamotramp {

/**
 * Remembers which service and software version began each stream, so that any host can let a caller take the stream up again at an
 * upstream of the same version. A few hosts keep the origin of each stream in memory. All hosts choose them by the same rendezvous
 * hash, so that some of them are still known after the loss of the host that served the stream. Nothing is stored: when all of these
 * hosts are lost, the origin is unknown.
 */
class StreamOriginExchange
{
public:
    /** Hosts that keep the origin of a stream, this one included if it is among them. */
    static constexpr std::size_t holdersPerStream = 3;
    /** How long a host waits for the answers of the holders. */
    static constexpr absl::Duration lookUpTimeout = absl::Milliseconds(400);
    static constexpr std::size_t maxPendingLookUps = 10'000;

    struct Hooks {
        /** Sends a message to one host. */
        std::function<void(const Peer &, const std::function<void(peer::HostState &)> &fill)> send;
        /** The only version that can have begun a stream of the service, if the service has had no other one for long enough. */
        std::function<std::optional<SoleVersion>(const std::string &service)> soleVersion;
        /**
         * Asks the store whether the service has had no other version since the revision of @p sole either, up to some time after this call.
         * @p done gets false if there is no answer in time.
         */
        std::function<void(const std::string &service, const SoleVersion &sole, std::function<void(bool)> done)> confirmSoleVersion;
        /** Whether the service has had several versions, any of which can have begun a stream. */
        std::function<bool(const std::string &service)> hasSeveralVersions;
        /** Whether this host knows another version of the service, current or earlier. */
        std::function<bool(const std::string &service, const std::string &version)> hasOtherVersions;
    };
    using LookUpHandler = std::function<void(const std::optional<StreamOrigin> &)>;

    StreamOriginExchange(EventLoop &loop, std::string self, const PeerTable &peers, Hooks hooks);

    /** Records that this host passes on the first event of a stream, and tells the holders. */
    void recordBegin(const std::string &requestId, const StreamOrigin &origin);
    /**
     * Finds the origin of a stream by the id of the caller's attempt that brought its first event; @p service is the only one that can have
     * begun it, or empty if several can. @p done may be called before this function returns, and gets nothing when the origin is not known.
     */
    void lookUp(const std::string &requestId, const std::string &service, LookUpHandler done);
    /** Applies what another host has sent. */
    void receive(const Peer &sender, const peer::HostState &message);

private:
    struct LookUp {
        std::string service;
        std::size_t unanswered = 0;
        /** What this host and others take for the only version that the service has had. */
        std::vector<SoleVersion> conclusions;
        /** Whether another host knows of several versions, which this host may have missed. */
        bool severalVersions = false;
        /** Whether the store has been asked to confirm what the hosts conclude. */
        bool confirming = false;
        std::vector<LookUpHandler> handlers;
        LoopTimer timer;
    };

    [[nodiscard]] std::vector<Peer> otherHolders(std::uint64_t stream) const;
    void answerQueries(const Peer &sender, const peer::HostState &message);
    void answerQuery(const peer::StreamOriginQuery &query, peer::StreamOrigin &answer) const;
    void receiveOrigin(const peer::StreamOrigin &entry);
    /** What the hosts together take for the only version of the service, unless this host or another one has seen a further version. */
    [[nodiscard]] std::optional<SoleVersion> concludedVersion(const LookUp &lookUp) const;
    /** Ends a look-up that got no record of the stream: the origin is known only if the service has had one version. */
    void finishWithoutRecord(std::uint64_t stream);
    void onConfirmation(std::uint64_t stream, bool confirmed);
    void finishLookUp(std::uint64_t stream, const std::optional<StreamOrigin> &origin);

    EventLoop &loop;
    std::string self;
    const PeerTable &peers;
    Hooks hooks;
    StreamOrigins origins;
    std::map<std::uint64_t, LookUp> lookUps;
};

} // namespace Bergamotramp
