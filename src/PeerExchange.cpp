#include "PeerExchange.h"

#include <algorithm>
#include <stdexcept>

#include "RendezvousHash.h"
#include "TcpSocket.h"
#include "peer.pb.h"

namespace Bergamotramp {

namespace {

// The interval at which changed loads are announced to the near hosts is nearPeriodPerPeer times the number of near hosts, but
// at least minNearPeriod. Near hosts are those of the same data centre; in a small fleet all hosts are near.
constexpr absl::Duration minNearPeriod = absl::Milliseconds(25);
constexpr absl::Duration nearPeriodPerPeer = absl::Milliseconds(2);
// The other hosts of the region get announcements at this interval times the number of hosts, which bounds the rate at which a host
// receives them.
constexpr absl::Duration farPeriodPerPeer = absl::Milliseconds(4);
// The complete state is announced to all hosts this often, to make up for lost datagrams and to show that this host is alive.
constexpr absl::Duration completePeriod = absl::Milliseconds(500);
constexpr absl::Duration identityPeriod = absl::Seconds(1);
constexpr absl::Duration crashAnnouncementDuration = absl::Seconds(3);
constexpr std::size_t maxDatagramBytes = 60'000;
// A new host is sent the addresses of all other hosts. The identity that is sent to all hosts each second names a few of them in
// turn, for new hosts whose answer was lost: in a fleet of 80 hosts, all addresses would be most of its bytes.
constexpr std::size_t peersPerIdentity = 8;
constexpr std::size_t peersPerIntroduction = 1000;

asio::ip::udp::endpoint udpEndpoint(const std::string &address)
{
    const asio::ip::tcp::endpoint endpoint = parseEndpoint(address);
    return {endpoint.address(), endpoint.port()};
}

} // namespace

struct PeerExchange::Socket {
    explicit Socket(EventLoop &loop) : socket(loop.context())
    {
    }
    asio::ip::udp::socket socket;
};

PeerExchange::PeerExchange(EventLoop &loop, Peer self, PeerTable &peers, FleetLoad &load, CrashQuarantine &crashQuarantine, Hooks hooks)
    : loop(loop)
    , self(std::move(self))
    , peers(peers)
    , load(load)
    , crashQuarantine(crashQuarantine)
    , hooks(std::move(hooks))
    , socket(std::make_unique<Socket>(loop))
{
    boost::system::error_code error;
    const asio::ip::udp::endpoint endpoint = udpEndpoint(this->self.peerAddress);
    this->socket->socket.open(endpoint.protocol(), error);
    this->socket->socket.bind(endpoint, error);
    if (error) {
        throw std::runtime_error("cannot bind " + this->self.peerAddress + " for datagrams: " + error.message());
    }
    const asio::ip::udp::endpoint bound = this->socket->socket.local_endpoint();
    this->self.peerAddress = bound.address().to_string() + ":" + std::to_string(bound.port());
    this->socket->socket.non_blocking(true, error);
    this->receiveDatagrams();
    this->timer = this->loop.after(minNearPeriod, [this] { this->tick(); });
}

PeerExchange::~PeerExchange() = default;

const std::string &PeerExchange::address() const
{
    return this->self.peerAddress;
}

absl::Duration PeerExchange::farLoadAge() const
{
    return this->peers.size() <= PeerTable::maxFullMeshPeers ? absl::ZeroDuration() : farPeriodPerPeer * static_cast<std::int64_t>(this->peers.size());
}

void PeerExchange::introduceTo(const std::string &peerAddress)
{
    if (peerAddress != this->self.peerAddress && this->knownAddresses.insert(peerAddress).second) {
        this->pendingIntroductions.insert(peerAddress);
        this->unansweredAddresses.insert(peerAddress);
    }
}

void PeerExchange::tick()
{
    const absl::Time now = this->loop.now();
    const auto nearHostCount = std::ranges::count_if(this->peers.all(), [this](const Peer &peer) { return this->isNear(peer); });
    this->timer = this->loop.after(std::max(minNearPeriod, nearPeriodPerPeer * static_cast<std::int64_t>(nearHostCount)), [this] { this->tick(); });
    for (const std::string &address : this->peers.evictSilent(now)) {
        this->knownAddresses.erase(address);
    }
    this->sendIntroductions();
    const auto everyone = [](const Peer &) { return true; };
    const bool identityDue = now >= this->lastIdentityAnnouncement + identityPeriod;
    if (identityDue || now >= this->lastCompleteAnnouncement + completePeriod) {
        this->lastCompleteAnnouncement = now;
        this->announce(true, identityDue, everyone);
        return;
    }
    if (this->peers.size() > PeerTable::maxFullMeshPeers && now >= this->lastRegionAnnouncement + this->farLoadAge()) {
        // Other regions get only the periodic complete announcements, because the links between regions have little bandwidth.
        this->announce(true, false, [this](const Peer &peer) { return peer.region == this->self.region; });
    } else if (this->load.hasChanges()) {
        this->announce(false, false, [this](const Peer &peer) { return this->isNear(peer); });
    }
}

bool PeerExchange::isNear(const Peer &peer) const
{
    return this->peers.size() <= PeerTable::maxFullMeshPeers || peer.dataCentre == this->self.dataCentre;
}

void PeerExchange::announceNow()
{
    this->announce(true, true, [](const Peer &) { return true; });
}

void PeerExchange::announceCrashes(const std::vector<std::pair<std::uint64_t, std::uint32_t>> &counts)
{
    if (this->loop.now() > this->announceCrashesUntil) {
        this->crashCounts.clear();
    }
    this->crashCounts.insert(this->crashCounts.end(), counts.begin(), counts.end());
    this->announceCrashesUntil = this->loop.now() + crashAnnouncementDuration;
}

void PeerExchange::announce(bool complete, bool withIdentity, const std::function<bool(const Peer &)> &isReceiver)
{
    const absl::Time now = this->loop.now();
    if (complete) {
        this->lastRegionAnnouncement = now;
    }
    const std::string bytes = this->encode(this->load.nextAnnouncement(complete), withIdentity ? peersPerIdentity : 0);
    if (bytes.size() > maxDatagramBytes) {
        return;
    }
    boost::system::error_code ignored;
    for (const Peer &peer : this->peers.all()) {
        // A host that is not live gets only announcements with an identity, in case it returns at the same address.
        if (withIdentity || (this->peers.isLive(peer.name, now) && isReceiver(peer))) {
            this->socket->socket.send_to(asio::buffer(bytes), udpEndpoint(peer.peerAddress), 0, ignored);
        }
    }
    if (withIdentity) {
        this->lastIdentityAnnouncement = now;
        // Hosts that have not answered yet may be starting, so they are sent the identity again.
        this->pendingIntroductions = this->unansweredAddresses;
        this->sendIntroductions();
    }
}

void PeerExchange::sendIdentity(const std::string &peerAddress)
{
    boost::system::error_code ignored;
    const std::string bytes = this->encode({.complete = false, .uses = {}, .batchWaiting = this->load.ownBatchWaiting()}, peersPerIntroduction);
    this->socket->socket.send_to(asio::buffer(bytes), udpEndpoint(peerAddress), 0, ignored);
}

void PeerExchange::sendIntroductions()
{
    for (const std::string &address : std::exchange(this->pendingIntroductions, {})) {
        this->sendIdentity(address);
    }
}

std::string PeerExchange::encode(const LoadAnnouncement &announcement, std::size_t maxNamedPeers)
{
    const AnnouncedState state = this->hooks.announcedState();
    peer::HostState message;
    message.set_host(upstreamKey(this->self.name));
    message.set_incarnation(this->self.incarnation);
    message.set_sequence(++this->self.sequence);
    message.set_ready(state.ready);
    message.set_leaving(state.leaving);
    message.set_config_revision(state.configRevision);
    message.set_store_silent(state.storeSilent);
    message.set_upstream_revision(state.upstreamRevision);
    message.set_complete(announcement.complete);
    message.set_batch_waiting(static_cast<std::uint32_t>(announcement.batchWaiting));
    for (const UpstreamUse &use : announcement.uses) {
        peer::UpstreamUse *entry = message.add_uses();
        entry->set_upstream(use.upstream);
        entry->set_online(static_cast<std::uint32_t>(use.counts.online));
        entry->set_batch(static_cast<std::uint32_t>(use.counts.batch));
    }
    if (this->loop.now() <= this->announceCrashesUntil) {
        for (const auto &[fingerprint, count] : this->crashCounts) {
            peer::CrashCount *entry = message.add_crashes();
            entry->set_fingerprint(fingerprint);
            entry->set_crashes(count);
        }
    }
    if (maxNamedPeers > 0) {
        peer::Identity *identity = message.mutable_identity();
        identity->set_name(this->self.name);
        identity->set_region(this->self.region);
        identity->set_data_centre(this->self.dataCentre);
        identity->set_entry_address(this->self.entryAddress);
        identity->set_control_address(this->self.controlAddress);
        identity->set_link_mbps(this->self.linkMbps);
        const std::vector<Peer> live = this->peers.liveHosts(this->loop.now());
        for (std::size_t offset = 0; offset < std::min(maxNamedPeers, live.size()); ++offset) {
            identity->add_known_peers(live[(this->nextPeerToName + offset) % live.size()].peerAddress);
        }
        this->nextPeerToName += std::min(maxNamedPeers, live.size());
    }
    return message.SerializeAsString();
}

void PeerExchange::receiveDatagrams()
{
    this->socket->socket.async_wait(asio::ip::udp::socket::wait_read, [this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        std::array<char, 65536> buffer{};
        asio::ip::udp::endpoint sender;
        boost::system::error_code readError;
        while (true) {
            const std::size_t size = this->socket->socket.receive_from(asio::buffer(buffer), sender, 0, readError);
            if (readError) {
                break;
            }
            this->handleDatagram(std::string(buffer.data(), size), sender.address().to_string() + ":" + std::to_string(sender.port()));
        }
        this->receiveDatagrams();
    });
}

void PeerExchange::handleDatagram(const std::string &bytes, const std::string &senderAddress)
{
    peer::HostState message;
    if (!message.ParseFromString(bytes) || message.host() == upstreamKey(this->self.name)) {
        return;
    }
    const absl::Time now = this->loop.now();
    Peer announcer;
    if (message.has_identity()) {
        const peer::Identity &identity = message.identity();
        this->namesByKey[message.host()] = identity.name();
        announcer = {.name = identity.name(),
                     .region = identity.region(),
                     .dataCentre = identity.data_centre(),
                     .entryAddress = identity.entry_address(),
                     .controlAddress = identity.control_address(),
                     .linkMbps = identity.link_mbps()};
        for (const std::string &address : identity.known_peers()) {
            this->introduceTo(address);
        }
    } else {
        const auto name = this->namesByKey.find(message.host());
        const Peer *known = name == this->namesByKey.end() ? nullptr : this->peers.find(name->second);
        if (known == nullptr) {
            return;
        }
        announcer = *known;
    }
    announcer.peerAddress = senderAddress;
    announcer.incarnation = message.incarnation();
    announcer.sequence = message.sequence();
    announcer.ready = message.ready();
    announcer.leaving = message.leaving();
    announcer.configRevision = message.config_revision();
    announcer.storeSilent = message.store_silent();
    announcer.upstreamRevision = message.upstream_revision();
    announcer.lastHeard = now;
    const Peer *previous = this->peers.find(announcer.name);
    const bool started = previous == nullptr || previous->incarnation != announcer.incarnation;
    if (!this->peers.update(announcer)) {
        return;
    }
    this->knownAddresses.insert(senderAddress);
    this->unansweredAddresses.erase(senderAddress);
    if (started) {
        // A host that has just started learns the addresses of the fleet from the first answer.
        this->sendIdentity(senderAddress);
    }
    LoadAnnouncement announcement{
        .complete = message.complete(), .uses = {}, .batchWaiting = message.batch_waiting(), .sharesUpstreams = this->isNear(announcer)};
    for (const peer::UpstreamUse &use : message.uses()) {
        announcement.uses.push_back({.upstream = use.upstream(), .counts = {.online = use.online(), .batch = use.batch()}});
    }
    this->load.applyAnnouncement(announcer.name, announcement, now);
    for (const peer::CrashCount &crash : message.crashes()) {
        this->crashQuarantine.merge(crash.fingerprint(), crash.crashes(), now);
    }
    this->hooks.announcementReceived(announcer);
}

} // namespace Bergamotramp
