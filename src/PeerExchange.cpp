#include "PeerExchange.h"

#include <algorithm>
#include <stdexcept>

#include "RendezvousHash.h"
#include "TcpSocket.h"
#include "peer.pb.h"

namespace Bergamotramp {

namespace {

// Loads that changed are announced this often to the near hosts: those of the same data centre, or all of a small fleet.
constexpr absl::Duration nearPeriod = absl::Milliseconds(25);
constexpr absl::Duration nearPeriodPerPeer = absl::Milliseconds(2);
// The other hosts hear of them less often the more hosts there are, so that what a host receives stays bounded.
constexpr absl::Duration farPeriodPerPeer = absl::Milliseconds(4);
// All state is announced this often, to replace what was lost and for the other hosts to see that this one lives.
constexpr absl::Duration completePeriod = absl::Milliseconds(500);
constexpr absl::Duration identityPeriod = absl::Seconds(1);
constexpr absl::Duration crashAnnouncementTime = absl::Seconds(3);
constexpr std::size_t maxDatagramBytes = 60'000;
// A newcomer is told all other hosts. The identity that all get each second names a few in turn, for those whose answer was
// lost: in a fleet of 80 hosts all names would be most of its bytes.
constexpr std::size_t fewKnownPeers = 8;
constexpr std::size_t allKnownPeers = 1000;

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

PeerExchange::PeerExchange(EventLoop &loop, Peer self, PeerBoard &board, FleetLoad &load, CrashSuspects &suspects, Hooks hooks)
    : loop(loop), self(std::move(self)), board(board), load(load), suspects(suspects), hooks(std::move(hooks)), socket(std::make_unique<Socket>(loop))
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
    this->receive();
    this->timer = this->loop.after(nearPeriod, [this] { this->tick(); });
}

PeerExchange::~PeerExchange() = default;

const std::string &PeerExchange::address() const
{
    return this->self.peerAddress;
}

absl::Duration PeerExchange::farLoadAge() const
{
    return this->board.size() <= PeerBoard::smallFleet ? absl::ZeroDuration() : farPeriodPerPeer * static_cast<std::int64_t>(this->board.size());
}

void PeerExchange::introduce(const std::string &peerAddress)
{
    if (peerAddress != this->self.peerAddress && this->met.insert(peerAddress).second) {
        this->introductions.insert(peerAddress);
        this->unanswered.insert(peerAddress);
    }
}

void PeerExchange::tick()
{
    const absl::Time now = this->loop.now();
    const auto nearHosts = std::ranges::count_if(this->board.all(), [this](const Peer &peer) { return this->near(peer); });
    this->timer = this->loop.after(std::max(nearPeriod, nearPeriodPerPeer * static_cast<std::int64_t>(nearHosts)), [this] { this->tick(); });
    for (const std::string &address : this->board.forgetSilent(now)) {
        this->met.erase(address);
    }
    this->sendIntroductions();
    const auto everyone = [](const Peer &) { return true; };
    const bool identityDue = now >= this->lastIdentity + identityPeriod;
    if (identityDue || now >= this->lastComplete + completePeriod) {
        this->lastComplete = now;
        this->announce(true, identityDue, everyone);
        return;
    }
    if (this->board.size() > PeerBoard::smallFleet && now >= this->lastFar + this->farLoadAge()) {
        // Other regions have the complete announcements; the link to them is narrow.
        this->announce(true, false, [this](const Peer &peer) { return peer.region == this->self.region; });
    } else if (this->load.changed()) {
        this->announce(false, false, [this](const Peer &peer) { return this->near(peer); });
    }
}

bool PeerExchange::near(const Peer &peer) const
{
    return this->board.size() <= PeerBoard::smallFleet || peer.dataCentre == this->self.dataCentre;
}

void PeerExchange::announceNow()
{
    this->announce(true, true, [](const Peer &) { return true; });
}

void PeerExchange::announceCrashes(const std::vector<std::pair<std::uint64_t, std::uint32_t>> &counts)
{
    if (this->loop.now() > this->crashesUntil) {
        this->crashes.clear();
    }
    this->crashes.insert(this->crashes.end(), counts.begin(), counts.end());
    this->crashesUntil = this->loop.now() + crashAnnouncementTime;
}

void PeerExchange::announce(bool complete, bool withIdentity, const std::function<bool(const Peer &)> &receiver)
{
    const absl::Time now = this->loop.now();
    if (complete) {
        this->lastFar = now;
    }
    const std::string bytes = this->encode(this->load.takeAnnouncement(complete), withIdentity ? fewKnownPeers : 0);
    if (bytes.size() > maxDatagramBytes) {
        return;
    }
    boost::system::error_code ignored;
    for (const Peer &peer : this->board.all()) {
        // A silent host gets identities only, in case it comes back at the same address.
        if (withIdentity || (this->board.live(peer.name, now) && receiver(peer))) {
            this->socket->socket.send_to(asio::buffer(bytes), udpEndpoint(peer.peerAddress), 0, ignored);
        }
    }
    if (withIdentity) {
        this->lastIdentity = now;
        // Hosts that have not answered yet may be starting.
        this->introductions = this->unanswered;
        this->sendIntroductions();
    }
}

void PeerExchange::sendIdentity(const std::string &peerAddress)
{
    boost::system::error_code ignored;
    const std::string bytes = this->encode({.complete = false, .uses = {}, .batchWaiting = this->load.ownBatchWaiting()}, allKnownPeers);
    this->socket->socket.send_to(asio::buffer(bytes), udpEndpoint(peerAddress), 0, ignored);
}

void PeerExchange::sendIntroductions()
{
    for (const std::string &address : std::exchange(this->introductions, {})) {
        this->sendIdentity(address);
    }
}

std::string PeerExchange::encode(const LoadAnnouncement &announcement, std::size_t knownPeers)
{
    const OwnState state = this->hooks.ownState();
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
    if (this->loop.now() <= this->crashesUntil) {
        for (const auto &[fingerprint, count] : this->crashes) {
            peer::CrashCount *entry = message.add_crashes();
            entry->set_fingerprint(fingerprint);
            entry->set_crashes(count);
        }
    }
    if (knownPeers > 0) {
        peer::Identity *identity = message.mutable_identity();
        identity->set_name(this->self.name);
        identity->set_region(this->self.region);
        identity->set_data_centre(this->self.dataCentre);
        identity->set_entry_address(this->self.entryAddress);
        identity->set_control_address(this->self.controlAddress);
        identity->set_link_mbps(this->self.linkMbps);
        const std::vector<Peer> live = this->board.liveHosts(this->loop.now());
        for (std::size_t number = 0; number < std::min(knownPeers, live.size()); ++number) {
            identity->add_known_peers(live[(this->nextKnownPeer + number) % live.size()].peerAddress);
        }
        this->nextKnownPeer += std::min(knownPeers, live.size());
    }
    return message.SerializeAsString();
}

void PeerExchange::receive()
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
            this->take(std::string(buffer.data(), size), sender.address().to_string() + ":" + std::to_string(sender.port()));
        }
        this->receive();
    });
}

void PeerExchange::take(const std::string &bytes, const std::string &sender)
{
    peer::HostState message;
    if (!message.ParseFromString(bytes) || message.host() == upstreamKey(this->self.name)) {
        return;
    }
    const absl::Time now = this->loop.now();
    Peer heard;
    if (message.has_identity()) {
        const peer::Identity &identity = message.identity();
        this->names[message.host()] = identity.name();
        heard = {.name = identity.name(),
                 .region = identity.region(),
                 .dataCentre = identity.data_centre(),
                 .entryAddress = identity.entry_address(),
                 .controlAddress = identity.control_address(),
                 .linkMbps = identity.link_mbps()};
        for (const std::string &address : identity.known_peers()) {
            this->introduce(address);
        }
    } else {
        const auto name = this->names.find(message.host());
        const Peer *known = name == this->names.end() ? nullptr : this->board.find(name->second);
        if (known == nullptr) {
            return;
        }
        heard = *known;
    }
    heard.peerAddress = sender;
    heard.incarnation = message.incarnation();
    heard.sequence = message.sequence();
    heard.ready = message.ready();
    heard.leaving = message.leaving();
    heard.configRevision = message.config_revision();
    heard.storeSilent = message.store_silent();
    heard.upstreamRevision = message.upstream_revision();
    heard.lastHeard = now;
    const Peer *before = this->board.find(heard.name);
    const bool started = before == nullptr || before->incarnation != heard.incarnation;
    if (!this->board.update(heard)) {
        return;
    }
    this->met.insert(sender);
    this->unanswered.erase(sender);
    if (started) {
        // A host that starts learns of the fleet from the first answer.
        this->sendIdentity(sender);
    }
    LoadAnnouncement announcement{.complete = message.complete(), .uses = {}, .batchWaiting = message.batch_waiting(), .near = this->near(heard)};
    for (const peer::UpstreamUse &use : message.uses()) {
        announcement.uses.push_back({.upstream = use.upstream(), .counts = {.online = use.online(), .batch = use.batch()}});
    }
    this->load.announce(heard.name, announcement, now);
    for (const peer::CrashCount &crash : message.crashes()) {
        this->suspects.merge(crash.fingerprint(), crash.crashes(), now);
    }
    this->hooks.heard(heard);
}

} // namespace Bergamotramp
