#include "PeerExchange.h"

#include <algorithm>
#include <set>
#include <stdexcept>

#include <absl/container/flat_hash_map.h>

#include "PeerMessages.h"
#include "RendezvousHash.h"
#include "TcpSocket.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration crashAnnouncementDuration = absl::Seconds(3);
// A crash count from this on is announced to all hosts at once: with the next crash the request has to be quarantined everywhere.
constexpr std::uint32_t urgentCrashes = CrashQuarantine::crashesToQuarantine - 1;
// A part of prompts with this many crashes is announced to all hosts at once: it may be quarantined with the next one.
constexpr std::size_t urgentPartCrashes = PromptPartQuarantine::crashesToQuarantine - 1;
// Bounds for a datagram, in which a part with all of its crashes takes about 250 bytes.
constexpr std::size_t maxAnnouncedParts = 64;
constexpr std::size_t maxAnnouncedQuarantinedParts = 32;
// Other hosts need not learn this to keep requests away: each upstream tells them itself. So it is announced for a short time, and
// only the newest ones are.
constexpr absl::Duration leavingAnnouncementDuration = absl::Seconds(2);
constexpr std::size_t maxAnnouncedLeavingUpstreams = 64;
// While upstreams keep crashing, each lost request adds a count. The newest ones fit into a datagram beside everything else.
constexpr std::size_t maxAnnouncedCrashCounts = 128;
// An upstream is reported by the few hosts that may send to it, so that only a host that starts in the middle reports more.
constexpr std::size_t maxAnnouncedLimits = 256;
constexpr std::size_t maxDatagramBytes = 60'000;
constexpr std::size_t maxCachedEndpoints = 4000;
constexpr std::int64_t receivesPerTick = 4;
// An identity names a few other hosts in turn, for hosts that have missed them. Only a host that asks for it is sent all addresses:
// if a fleet of 250 hosts starts at once and each sends all addresses to each, that is 300 MB.
constexpr std::size_t peersPerIdentity = 2;
constexpr std::size_t peersPerIntroduction = 1000;
// Intervals and number of introductions to an address that does not answer. Hosts that start together may bind their sockets
// some hundred milliseconds apart, so the first ones are repeated soon.
constexpr absl::Duration firstIntroductionInterval = absl::Milliseconds(150);
constexpr absl::Duration introductionInterval = absl::Seconds(1);
constexpr int quickIntroductions = 4;
constexpr int maxIntroductions = 30;
// A host is not live after this many complete announcements have been missed, and a short delay.
constexpr int missedAnnouncements = 3;
constexpr absl::Duration announcementDelay = absl::Milliseconds(100);
constexpr absl::Duration defaultAnnouncementPeriod = absl::Milliseconds(500);

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

    /** The endpoint of an address. Addresses are parsed once, because each is sent to several times a second. */
    const asio::ip::udp::endpoint &endpointOf(const std::string &address)
    {
        if (this->endpoints.size() > maxCachedEndpoints) {
            this->endpoints.clear();
        }
        const auto [entry, added] = this->endpoints.try_emplace(address);
        if (added) {
            entry->second = udpEndpoint(address);
        }
        return entry->second;
    }

    asio::ip::udp::socket socket;
    absl::flat_hash_map<std::string, asio::ip::udp::endpoint> endpoints;
};

PeerExchange::PeerExchange(
    EventLoop &loop, Peer self, PeerTable &peers, FleetLoad &load, CrashQuarantine &crashQuarantine, PromptPartQuarantine &promptParts, Hooks hooks)
    : loop(loop)
    , self(std::move(self))
    , peers(peers)
    , load(load)
    , crashQuarantine(crashQuarantine)
    , promptParts(promptParts)
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
    this->timer = this->loop.after(this->schedule.tickPeriod(), [this] { this->tick(); });
}

PeerExchange::~PeerExchange() = default;

const std::string &PeerExchange::address() const
{
    return this->self.peerAddress;
}

absl::Duration PeerExchange::farLoadAge() const
{
    return this->schedule.isSmallFleet() ? absl::ZeroDuration() : this->schedule.period(PeerDistance::SameRegion);
}

absl::Duration PeerExchange::nearLoadAge() const
{
    return this->schedule.tickPeriod();
}

absl::Duration PeerExchange::receiveDelay() const
{
    return this->schedule.isSmallFleet() ? absl::ZeroDuration() : this->schedule.tickPeriod() / receivesPerTick;
}

bool PeerExchange::knowsAddresses() const
{
    return !this->knownAddresses.empty();
}

absl::Time PeerExchange::lastPeerFoundAt() const
{
    return this->peerFoundAt;
}

void PeerExchange::introduceTo(const std::string &peerAddress)
{
    if (peerAddress != this->self.peerAddress && this->knownAddresses.insert(peerAddress).second) {
        this->introductions.emplace(peerAddress, Introduction());
    }
}

void PeerExchange::askForPeers(const std::string &peerAddress)
{
    this->introduceTo(peerAddress);
    if (const auto introduction = this->introductions.find(peerAddress); introduction != this->introductions.end()) {
        introduction->second.asksForPeers = true;
    }
}

void PeerExchange::tick()
{
    const absl::Time now = this->loop.now();
    for (const std::string &address : this->peers.evictSilent(now)) {
        this->knownAddresses.erase(address);
    }
    this->updateSchedule();
    this->timer = this->loop.after(this->schedule.tickPeriod(), [this] { this->tick(); });
    this->sendIntroductions(now);
    for (const AnnouncementSchedule::Round &round :
         this->schedule.takeDue(this->load.hasChanges(), this->announcesUrgentCrash(now) || this->announcesUrgentPart(now), now)) {
        this->announce(round);
    }
}

void PeerExchange::updateSchedule()
{
    const auto isNear = [this](const auto &entry) { return entry.second.dataCentre == this->self.dataCentre; };
    const std::size_t all = this->peers.size();
    const bool small = all <= AnnouncementSchedule::maxFullMeshPeers;
    this->schedule.setFleet(small ? all : static_cast<std::size_t>(std::ranges::count_if(this->peers.all(), isNear)), all);
}

PeerDistance PeerExchange::distanceOf(const Peer &peer) const
{
    return this->schedule.isSmallFleet() ? PeerDistance::Near : distanceBetween(this->self, peer);
}

bool PeerExchange::announcesUrgentCrash(absl::Time now) const
{
    return now <= this->announceCrashesUntil && std::ranges::any_of(this->crashCounts, [](const auto &entry) { return entry.crashes >= urgentCrashes; });
}

bool PeerExchange::announcesUrgentPart(absl::Time now) const
{
    return std::ranges::any_of(this->announcedParts, [this, now](const auto &entry) {
        return now <= entry.second && this->promptParts.crashes(entry.first, now) >= urgentPartCrashes;
    });
}

void PeerExchange::announcePromptParts(const std::vector<std::uint64_t> &parts)
{
    // Hosts of other regions get announcements that are not urgent at long intervals in a large fleet.
    const absl::Time until = this->loop.now() + std::max(crashAnnouncementDuration, 2 * this->schedule.period(PeerDistance::OtherRegion));
    for (const std::uint64_t part : parts) {
        std::erase_if(this->announcedParts, [part](const auto &entry) { return entry.first == part; });
        this->announcedParts.emplace_back(part, until);
    }
    while (this->announcedParts.size() > maxAnnouncedParts) {
        this->announcedParts.pop_front();
    }
}

void PeerExchange::addPromptParts(peer::HostState &message, bool quarantined)
{
    const absl::Time now = this->loop.now();
    std::erase_if(this->announcedParts, [now](const auto &entry) { return entry.second < now; });
    std::set<std::uint64_t> parts;
    std::ranges::transform(this->announcedParts, std::inserter(parts, parts.end()), [](const auto &entry) { return entry.first; });
    if (quarantined) {
        const std::vector<std::uint64_t> kept = this->promptParts.quarantinedParts(maxAnnouncedQuarantinedParts, now);
        parts.insert(kept.begin(), kept.end());
    }
    for (const std::uint64_t part : parts) {
        if (const auto report = this->promptParts.report(part)) {
            encodePart(*report, now, *message.add_prompt_parts());
        }
    }
}

void PeerExchange::announceNow()
{
    for (const PeerDistance distance : {PeerDistance::Near, PeerDistance::SameRegion, PeerDistance::OtherRegion}) {
        this->announce({.distance = distance, .complete = true, .nextWithin = this->schedule.period(distance)});
    }
}

void PeerExchange::announceCrashes(const std::vector<CrashCount> &counts)
{
    if (this->loop.now() > this->announceCrashesUntil) {
        this->crashCounts.clear();
    }
    for (const CrashCount &count : counts) {
        std::erase_if(this->crashCounts, [&count](const CrashCount &announced) { return announced.fingerprint == count.fingerprint; });
        this->crashCounts.push_back(count);
    }
    if (this->crashCounts.size() > maxAnnouncedCrashCounts) {
        this->crashCounts.erase(this->crashCounts.begin(), this->crashCounts.end() - static_cast<std::ptrdiff_t>(maxAnnouncedCrashCounts));
    }
    this->announceCrashesUntil = this->loop.now() + crashAnnouncementDuration;
}

void PeerExchange::announceLeavingUpstream(const UpstreamRun &run)
{
    this->announcedLeavingUpstreams.emplace_back(run, this->loop.now() + leavingAnnouncementDuration);
    if (this->announcedLeavingUpstreams.size() > maxAnnouncedLeavingUpstreams) {
        this->announcedLeavingUpstreams.pop_front();
    }
}

void PeerExchange::addLeavingUpstreams(peer::HostState &message)
{
    const absl::Time now = this->loop.now();
    while (!this->announcedLeavingUpstreams.empty() && now > this->announcedLeavingUpstreams.front().second) {
        this->announcedLeavingUpstreams.pop_front();
    }
    for (const auto &[run, until] : this->announcedLeavingUpstreams) {
        peer::LeavingUpstream *entry = message.add_leaving_upstreams();
        entry->set_upstream(run.id);
        entry->set_started_at_ms(run.startedAtMs);
    }
}

void PeerExchange::addLimits(peer::HostState &message, bool recentOnly)
{
    if (!this->hooks.limitReports) {
        return;
    }
    std::vector<LimitReport> reports = this->hooks.limitReports(recentOnly);
    reports.resize(std::min(reports.size(), maxAnnouncedLimits));
    for (const LimitReport &report : reports) {
        encodeLimit(report, this->loop.now(), *message.add_limits());
    }
}

void PeerExchange::applyLimits(const peer::HostState &message)
{
    if (!this->hooks.limitReported) {
        return;
    }
    for (const peer::UpstreamLimit &limit : message.limits()) {
        this->hooks.limitReported(decodeLimit(limit, this->loop.now()));
    }
}

void PeerExchange::announce(const AnnouncementSchedule::Round &round)
{
    const absl::Time now = this->loop.now();
    peer::HostState message = this->currentState();
    addLoad(message, round.distance == PeerDistance::Near ? this->load.nextAnnouncement(round.complete) : this->load.completeAnnouncement());
    this->addPromptParts(message, round.complete);
    this->addLimits(message, !round.complete);
    message.set_next_within_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(round.nextWithin)));
    const std::string plainBytes = message.SerializeAsString();
    if (round.complete) {
        this->addIdentity(message, peersPerIdentity);
    }
    const std::string identityBytes = message.SerializeAsString();
    std::size_t position = 0;
    for (const auto &[name, peer] : this->peers.all()) {
        if (this->distanceOf(peer) != round.distance) {
            continue;
        }
        // A host that is not live still gets identities, in case it returns at the same address.
        if (this->schedule.sendsIdentity(round, position++)) {
            this->send(identityBytes, peer.peerAddress);
        } else if (PeerTable::isLive(peer, now)) {
            this->send(plainBytes, peer.peerAddress);
        }
    }
}

void PeerExchange::send(const std::string &bytes, const std::string &peerAddress)
{
    if (bytes.size() <= maxDatagramBytes) {
        boost::system::error_code ignored;
        this->socket->socket.send_to(asio::buffer(bytes), this->socket->endpointOf(peerAddress), 0, ignored);
    }
}

void PeerExchange::sendTo(const Peer &peer, const std::function<void(peer::HostState &)> &fill)
{
    peer::HostState message = this->currentState();
    addLoad(message, {.complete = false, .uses = {}, .batchWaiting = this->load.ownBatchWaiting()});
    message.set_next_within_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(this->schedule.period(this->distanceOf(peer)))));
    fill(message);
    this->send(message.SerializeAsString(), peer.peerAddress);
}

void PeerExchange::sendIdentity(const std::string &peerAddress, peer::Request request, std::size_t maxNamedPeers)
{
    peer::HostState message = this->currentState();
    addLoad(message, {.complete = false, .uses = {}, .batchWaiting = this->load.ownBatchWaiting()});
    this->addPromptParts(message, true);
    this->addLimits(message, false);
    this->addIdentity(message, maxNamedPeers);
    message.set_request(request);
    this->send(message.SerializeAsString(), peerAddress);
}

void PeerExchange::sendIntroductions(absl::Time now)
{
    for (auto entry = this->introductions.begin(); entry != this->introductions.end();) {
        Introduction &introduction = entry->second;
        if (introduction.sent >= maxIntroductions) {
            // No host is there. One that starts there later introduces itself.
            this->knownAddresses.erase(entry->first);
            entry = this->introductions.erase(entry);
            continue;
        }
        if (now >= introduction.next) {
            introduction.next = now + (++introduction.sent <= quickIntroductions ? firstIntroductionInterval : introductionInterval);
            this->sendIdentity(entry->first, introduction.asksForPeers ? peer::ALL_PEERS : peer::IDENTITY, 0);
        }
        ++entry;
    }
}

peer::HostState PeerExchange::currentState()
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
    message.set_job_revision(state.jobRevision);
    message.set_watches_store(state.watchesStore);
    if (this->loop.now() <= this->announceCrashesUntil) {
        for (const CrashCount &count : this->crashCounts) {
            encodeCrashCount(count, *message.add_crashes());
        }
    }
    this->addLeavingUpstreams(message);
    return message;
}

void PeerExchange::addLoad(peer::HostState &message, const LoadAnnouncement &announcement)
{
    message.set_complete(announcement.complete);
    message.set_batch_waiting(static_cast<std::uint32_t>(announcement.batchWaiting));
    for (const UpstreamUse &use : announcement.uses) {
        peer::UpstreamUse *entry = message.add_uses();
        entry->set_upstream(use.upstream);
        entry->set_online(static_cast<std::uint32_t>(use.counts.online));
        entry->set_batch(static_cast<std::uint32_t>(use.counts.batch));
    }
}

void PeerExchange::addIdentity(peer::HostState &message, std::size_t maxNamedPeers)
{
    peer::Identity *identity = message.mutable_identity();
    identity->set_name(this->self.name);
    identity->set_region(this->self.region);
    identity->set_data_centre(this->self.dataCentre);
    identity->set_entry_address(this->self.entryAddress);
    identity->set_control_address(this->self.controlAddress);
    identity->set_link_mbps(this->self.linkMbps);
    if (maxNamedPeers == 0) {
        return;
    }
    const std::size_t all = this->peers.size();
    const std::size_t first = all <= maxNamedPeers ? 0 : this->nextPeerToName % all;
    std::size_t position = 0;
    for (const auto &[name, peer] : this->peers.all()) {
        const bool named = position >= first && position < first + maxNamedPeers;
        if (named && PeerTable::isLive(peer, this->loop.now())) {
            identity->add_known_peers(peer.peerAddress);
        }
        ++position;
    }
    this->nextPeerToName = first + maxNamedPeers;
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
        if (this->schedule.isSmallFleet()) {
            this->receiveDatagrams();
        } else {
            // Hundreds of datagrams arrive each second. Waking up for each of them costs more than handling it.
            this->receiveTimer = this->loop.after(this->schedule.tickPeriod() / receivesPerTick, [this] { this->receiveDatagrams(); });
        }
    });
}

void PeerExchange::handleDatagram(const std::string &bytes, const std::string &senderAddress)
{
    peer::HostState message;
    if (!message.ParseFromString(bytes) || message.host() == upstreamKey(this->self.name)) {
        return;
    }
    const std::optional<Peer> sender = this->decodeSender(message, senderAddress);
    if (!sender) {
        this->introduceTo(senderAddress);
        return;
    }
    if (this->hooks.messageReceived) {
        this->hooks.messageReceived(*sender, message);
    }
    if (message.has_identity()) {
        for (const std::string &address : message.identity().known_peers()) {
            this->introduceTo(address);
        }
    }
    if (this->peers.find(sender->name) == nullptr) {
        this->peerFoundAt = this->loop.now();
    }
    if (!this->peers.update(*sender)) {
        return;
    }
    this->knownAddresses.insert(senderAddress);
    this->introductions.erase(senderAddress);
    this->answerRequest(message, senderAddress);
    this->applyLoad(*sender, message);
    this->applyCrashCounts(message);
    this->applyPromptParts(message);
    this->applyLeavingUpstreams(message);
    this->applyLimits(message);
    this->hooks.announcementReceived(*sender);
}

std::optional<Peer> PeerExchange::decodeSender(const peer::HostState &message, const std::string &senderAddress)
{
    Peer sender;
    if (message.has_identity()) {
        const peer::Identity &identity = message.identity();
        this->namesByKey[message.host()] = identity.name();
        sender = {.name = identity.name(),
                  .region = identity.region(),
                  .dataCentre = identity.data_centre(),
                  .entryAddress = identity.entry_address(),
                  .controlAddress = identity.control_address(),
                  .linkMbps = identity.link_mbps()};
    } else {
        const auto name = this->namesByKey.find(message.host());
        const Peer *known = name == this->namesByKey.end() ? nullptr : this->peers.find(name->second);
        if (known == nullptr) {
            return std::nullopt;
        }
        sender = *known;
    }
    sender.peerAddress = senderAddress;
    sender.incarnation = message.incarnation();
    sender.sequence = message.sequence();
    sender.ready = message.ready();
    sender.leaving = message.leaving();
    sender.configRevision = message.config_revision();
    sender.storeSilent = message.store_silent();
    sender.upstreamRevision = message.upstream_revision();
    sender.jobRevision = message.job_revision();
    sender.watchesStore = message.watches_store();
    sender.lastHeard = this->loop.now();
    const absl::Duration period = message.next_within_ms() == 0 ? defaultAnnouncementPeriod : absl::Milliseconds(message.next_within_ms());
    sender.livenessTimeout = std::max(defaultLivenessTimeout, missedAnnouncements * period + announcementDelay);
    return sender;
}

void PeerExchange::answerRequest(const peer::HostState &message, const std::string &senderAddress)
{
    if (message.request() == peer::ALL_PEERS) {
        this->sendIdentity(senderAddress, peer::NOTHING, peersPerIntroduction);
    } else if (message.request() == peer::IDENTITY) {
        this->sendIdentity(senderAddress, peer::NOTHING, 0);
    }
}

void PeerExchange::applyLoad(const Peer &sender, const peer::HostState &message)
{
    const bool near = this->distanceOf(sender) == PeerDistance::Near;
    LoadAnnouncement announcement{.complete = message.complete(), .uses = {}, .batchWaiting = message.batch_waiting(), .sharesUpstreams = near};
    announcement.lifetime = std::max(defaultAnnouncementLifetime, sender.livenessTimeout - announcementDelay);
    for (const peer::UpstreamUse &use : message.uses()) {
        announcement.uses.push_back({.upstream = use.upstream(), .counts = {.online = use.online(), .batch = use.batch()}});
    }
    this->load.applyAnnouncement(sender.name, announcement, this->loop.now());
}

void PeerExchange::applyCrashCounts(const peer::HostState &message)
{
    for (const peer::CrashCount &crash : message.crashes()) {
        if (crash.crashes() == 0) {
            this->crashQuarantine.recordCompletion(crash.fingerprint(), this->loop.now());
        } else {
            this->crashQuarantine.merge(decodeCrashCount(crash), this->loop.now());
        }
    }
}

void PeerExchange::applyPromptParts(const peer::HostState &message)
{
    const absl::Time now = this->loop.now();
    for (const peer::PromptPart &entry : message.prompt_parts()) {
        const PartChange change = this->promptParts.merge(decodePart(entry, now), now);
        if (change == PartChange::Quarantined || change == PartChange::Lifted) {
            this->hooks.promptPartChanged(entry.part(), change);
        }
    }
}

void PeerExchange::applyLeavingUpstreams(const peer::HostState &message)
{
    if (!this->hooks.leavingUpstreamAnnounced) {
        return;
    }
    for (const peer::LeavingUpstream &leaving : message.leaving_upstreams()) {
        this->hooks.leavingUpstreamAnnounced({.id = leaving.upstream(), .startedAtMs = leaving.started_at_ms()});
    }
}

} // namespace Bergamotramp
