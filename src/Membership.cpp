#include "Membership.h"

#include <algorithm>
#include <cmath>

namespace Bergamotramp {

namespace {

// Each host sends an update 3 * log2(members + 1) times, which reaches all members with high probability despite packet loss.
constexpr double sendCountFactor = 3;
constexpr std::size_t maxDigestRecipients = 8;
constexpr std::size_t maxRelayedProbes = 1024;
constexpr std::size_t joinProbes = 3; // probes sent at once for a host list while this host knows no live member
// Marks a ping as a page of a digest, which needs no ack and therefore no sequence number.
constexpr std::uint64_t digestSequence = 0;

bool isLiveState(wire::MemberState state)
{
    return state == wire::MEMBER_STATE_ALIVE || state == wire::MEMBER_STATE_SUSPECT;
}

bool hasDifferentClaim(const google::protobuf::RepeatedPtrField<wire::MemberUpdate> &updates, const std::string &name, const MemberClaim &known)
{
    return std::any_of(updates.begin(), updates.end(), [&](const wire::MemberUpdate &update) { return update.name() == name && claimOf(update) != known; });
}

} // namespace

Membership::Membership(HostInfo self, MembershipSettings settings, std::mt19937_64 random, absl::Time now)
    : selfInfo(std::move(self)), settings(settings), random(random), now(now), lastTick(now), nextPeriod(now), nextDigestTime(now)
{
    this->queue.add(this->selfInfo.name);
}

MembershipActions Membership::tick(absl::Time now)
{
    this->now = now;
    const absl::Duration elapsed = now - this->lastTick;
    this->lastTick = now;
    // After a pause of this process, acks that arrived may still be unread, so the pause must not count as lack of an answer.
    // When the clock was set back, the deadlines move back with it.
    if (elapsed < absl::ZeroDuration() || elapsed > this->settings.period / 2) {
        this->extendDeadlines(elapsed);
    }
    this->expireSuspicions();
    if (this->probe && !this->probe->acked && !this->probe->indirectSent && now >= this->probe->directDeadline) {
        this->sendIndirectProbes();
    }
    if (now >= this->nextPeriod) {
        this->startPeriod();
    }
    this->sendDigests();
    return this->takeActions();
}

void Membership::extendDeadlines(absl::Duration elapsed)
{
    const bool paused = elapsed > this->settings.period;
    this->nextPeriod += elapsed;
    this->nextDigestTime = std::min(this->nextDigestTime, this->now + this->settings.period * this->settings.digestPeriods);
    if (paused) {
        this->probe.reset();
    } else if (this->probe) {
        this->probe->directDeadline += elapsed;
    }
    for (auto &[name, member] : this->peers) {
        if (member.suspicionEnds != absl::InfiniteFuture()) {
            member.suspicionEnds = paused ? this->now + this->suspicionTimeout() : member.suspicionEnds + elapsed;
        }
    }
}

void Membership::startPeriod()
{
    this->nextPeriod = this->now + this->settings.period;
    ++this->periodCount;
    this->finishProbe();
    this->removeExpiredDead();
    std::erase_if(this->relayedProbes, [this](const auto &relayed) { return relayed.second.expires <= this->now; });
    this->startProbe();
    // A host without live peers is joining or cut off from the network, so it probes a dead member or candidate in every period.
    if (!this->probe || this->periodCount % this->settings.deadProbePeriods == 0) {
        this->probeDeadMember();
    }
}

void Membership::finishProbe()
{
    if (!this->probe) {
        return;
    }
    const Probe ended = *std::exchange(this->probe, std::nullopt);
    Member *member = this->find(ended.target);
    if (member != nullptr && !ended.directlyAcked) {
        this->actions.emplace_back(ReplaceConnection{member->host.name, member->host.peerAddress});
    }
    if (ended.acked || member == nullptr) {
        return;
    }
    if (member->state == wire::MEMBER_STATE_ALIVE) {
        this->changeState(*member, wire::MEMBER_STATE_SUSPECT);
        // This ping carries the suspicion, so that a running member can refute it at once.
        this->sendPing(*member, this->nextSequence++);
    } else if (member->state == wire::MEMBER_STATE_LEAVING && member->suspicionEnds == absl::InfiniteFuture()) {
        // The state stays "leaving", since "suspect" would hide from other hosts that the member leaves. Only this host times the suspicion.
        member->suspicionEnds = this->now + this->suspicionTimeout();
    }
}

void Membership::startProbe()
{
    const std::string target = this->liveOrder.next([this](const std::string &name) { return !this->isDead(name); }, this->random);
    const Member *member = this->find(target);
    if (member == nullptr) {
        return;
    }
    this->probe = Probe{target, this->nextSequence++, this->now + this->ackTimeout(*member), this->selfInfo.incarnation, false, false, false};
    this->sendPing(*member, this->probe->sequence);
}

void Membership::probeDeadMember()
{
    const std::string target = this->deadOrder.next([this](const std::string &name) { return this->isDead(name); }, this->random);
    const Member *member = this->find(target);
    if (member != nullptr) {
        this->sendPing(*member, this->nextSequence++);
    }
}

void Membership::sendIndirectProbes()
{
    this->probe->indirectSent = true;
    const Member *target = this->find(this->probe->target);
    if (target == nullptr) {
        return;
    }
    std::vector<const Member *> helpers;
    for (const auto &[name, member] : this->peers) {
        if (member.state == wire::MEMBER_STATE_ALIVE && name != this->probe->target) {
            helpers.push_back(&member);
        }
    }
    std::shuffle(helpers.begin(), helpers.end(), this->random);
    helpers.resize(std::min(helpers.size(), this->settings.indirectProbes));
    for (const Member *helper : helpers) {
        wire::Envelope envelope;
        wire::PingRequest *request = envelope.mutable_ping_request();
        request->set_sequence(this->probe->sequence);
        request->set_target(this->probe->target);
        // The helper needs the target's address if it has not heard of the target.
        *request->add_updates() = toUpdate(target->host, target->state);
        this->addUpdates(request->mutable_updates(), *helper, false);
        this->send(*helper, std::move(envelope));
    }
}

void Membership::expireSuspicions()
{
    for (auto &[name, member] : this->peers) {
        if (member.suspicionEnds <= this->now) {
            this->changeState(member, wire::MEMBER_STATE_DEAD);
        }
    }
}

void Membership::removeExpiredDead()
{
    for (auto peer = this->peers.begin(); peer != this->peers.end();) {
        const Member &member = peer->second;
        if (member.state != wire::MEMBER_STATE_DEAD || member.host.incarnation == 0 || this->now - member.stateSince < this->settings.deadRetention) {
            ++peer;
            continue;
        }
        this->liveOrder.remove(peer->first);
        this->deadOrder.remove(peer->first);
        this->queue.remove(peer->first);
        peer = this->peers.erase(peer);
    }
}

void Membership::sendDigests()
{
    if (this->digestRecipients.empty() || this->now < this->nextDigestTime) {
        return;
    }
    const Member *member = this->find(this->digestRecipients.front());
    this->digestRecipients.pop_front();
    if (member != nullptr) {
        this->nextDigestTime = this->now + this->settings.period * this->settings.digestPeriods;
        this->sendDigest(*member);
    }
}

void Membership::sendDigest(const Member &member)
{
    wire::Envelope envelope;
    const auto add = [&](const HostInfo &host, wire::MemberState state) {
        *envelope.mutable_ping()->add_updates() = toUpdate(host, state);
        if (envelope.ping().updates_size() >= static_cast<int>(this->settings.digestPageSize)) {
            this->send(member, std::move(envelope));
            envelope = wire::Envelope();
        }
    };
    add(this->selfInfo, this->selfState());
    for (const auto &[name, peer] : this->peers) {
        if (peer.host.incarnation > 0 && !peer.deadFromDigest) {
            add(peer.host, peer.state);
        }
    }
    if (envelope.has_ping()) {
        this->send(member, std::move(envelope));
    }
}

MembershipActions Membership::receivePing(const std::string &from, const wire::Ping &message, absl::Time now)
{
    this->now = now;
    const bool wasAbsent = !this->peers.contains(from) || this->isDead(from);
    const bool isDigest = message.sequence() == digestSequence;
    this->mergeAll(message.updates(), isDigest);
    const Member *member = this->find(from);
    if (member != nullptr && !isDigest) {
        wire::Envelope envelope;
        wire::PingAck *ack = envelope.mutable_ping_ack();
        ack->set_sequence(message.sequence());
        ack->set_target(this->selfInfo.name);
        const bool senderIsOutdated = hasDifferentClaim(message.updates(), this->selfInfo.name, {this->selfInfo.incarnation, this->selfState()});
        // A restarted host whose clock went back has a lower incarnation than in its earlier run and has to learn that one.
        if (member->state == wire::MEMBER_STATE_ALIVE && hasDifferentClaim(message.updates(), from, {member->host.incarnation, member->state})) {
            *ack->add_updates() = toUpdate(member->host, member->state);
        }
        this->addUpdates(ack->mutable_updates(), *member, senderIsOutdated || this->isLeaving());
        this->send(*member, std::move(envelope));
    }
    this->queueDigestOnReturn(from, wasAbsent);
    return this->takeActions();
}

MembershipActions Membership::receiveAck(const std::string &from, const wire::PingAck &message, absl::Time now)
{
    this->now = now;
    const bool wasAbsent = !this->peers.contains(from) || this->isDead(from);
    this->mergeAll(message.updates(), false);
    this->relayAck(from, message);
    if (this->probe && this->probe->sequence == message.sequence() && this->probe->target == message.target()) {
        this->probe->acked = true;
        this->probe->directlyAcked = this->probe->directlyAcked || from == message.target();
        Member *target = this->find(this->probe->target);
        if (target != nullptr && target->state == wire::MEMBER_STATE_LEAVING) {
            target->suspicionEnds = absl::InfiniteFuture();
        }
        if (target != nullptr && from == this->probe->target) {
            target->ackedSelfIncarnation = std::max(target->ackedSelfIncarnation, this->probe->selfIncarnation);
        }
    }
    this->queueDigestOnReturn(from, wasAbsent);
    return this->takeActions();
}

void Membership::relayAck(const std::string &from, const wire::PingAck &message)
{
    const auto relayed = this->relayedProbes.find(message.sequence());
    if (relayed == this->relayedProbes.end() || relayed->second.target != from) {
        return;
    }
    if (const Member *requester = this->find(relayed->second.requester)) {
        wire::Envelope envelope;
        envelope.mutable_ping_ack()->set_sequence(relayed->second.requesterSequence);
        envelope.mutable_ping_ack()->set_target(from);
        this->addUpdates(envelope.mutable_ping_ack()->mutable_updates(), *requester, false);
        this->send(*requester, std::move(envelope));
    }
    this->relayedProbes.erase(relayed);
}

MembershipActions Membership::receivePingRequest(const std::string &from, const wire::PingRequest &message, absl::Time now)
{
    this->now = now;
    this->mergeAll(message.updates(), false);
    const Member *target = this->find(message.target());
    if (target != nullptr && this->relayedProbes.size() < maxRelayedProbes) {
        const std::uint64_t sequence = this->nextSequence++;
        this->relayedProbes[sequence] = {from, message.sequence(), message.target(), now + this->settings.period};
        this->sendPing(*target, sequence);
    }
    return this->takeActions();
}

MembershipActions Membership::receiveHostList(const std::vector<HostListEntry> &entries, absl::Time now)
{
    this->now = now;
    std::set<std::string> listed;
    for (const HostListEntry &entry : entries) {
        listed.insert(entry.host.name);
        if (entry.host.name == this->selfInfo.name) {
            this->applyOwnHostListEntry(entry.leaving);
            continue;
        }
        Member *known = this->find(entry.host.name);
        this->applyHostListEntry(known != nullptr ? *known : this->addMember(entry.host, now), entry);
    }
    this->dropUnlistedCandidates(listed);
    const bool alone = std::none_of(this->peers.begin(), this->peers.end(), [](const auto &peer) { return isLiveState(peer.second.state); });
    for (std::size_t count = 0; alone && count < std::min(joinProbes, this->peers.size()); ++count) {
        this->probeDeadMember();
    }
    return this->takeActions();
}

void Membership::applyHostListEntry(Member &member, const HostListEntry &entry)
{
    if (member.host.incarnation == 0) {
        member.host = entry.host;
        member.host.incarnation = 0;
    }
    // The host list lags, so the first entry seen for a host may show an earlier run of it as leaving. Only a change to leaving counts.
    const bool becameLeaving = entry.leaving && member.listedAsLeaving == false;
    member.listedAsLeaving = entry.leaving;
    if (becameLeaving && isLiveState(member.state)) {
        this->changeState(member, wire::MEMBER_STATE_LEAVING);
    }
}

void Membership::applyOwnHostListEntry(bool leaving)
{
    const bool becameLeaving = leaving && this->selfListedAsLeaving == false;
    const bool withdrawn = !leaving && this->leaveFromHostList;
    this->selfListedAsLeaving = leaving;
    if (becameLeaving && !this->isLeaving()) {
        this->leaveFromHostList = true;
        this->announceSelf();
    } else if (withdrawn) {
        this->leaveFromHostList = false;
        if (!this->leaveRequested) {
            ++this->selfInfo.incarnation;
            this->announceSelf();
        }
    }
}

void Membership::dropUnlistedCandidates(const std::set<std::string> &listed)
{
    for (auto peer = this->peers.begin(); peer != this->peers.end();) {
        if (peer->second.host.incarnation > 0 || listed.contains(peer->first)) {
            ++peer;
            continue;
        }
        this->liveOrder.remove(peer->first);
        this->deadOrder.remove(peer->first);
        peer = this->peers.erase(peer);
    }
}

MembershipActions Membership::leave(absl::Time now)
{
    this->now = now;
    if (!std::exchange(this->leaveRequested, true) && !this->leaveFromHostList) {
        this->announceSelf();
    }
    return this->takeActions();
}

void Membership::mergeAll(const Updates &updates, bool isDigest)
{
    for (const wire::MemberUpdate &update : updates) {
        if (!isValid(update)) {
            continue;
        }
        if (update.name() == this->selfInfo.name) {
            this->refute(update);
        } else {
            this->merge(update, isDigest);
        }
    }
}

void Membership::merge(const wire::MemberUpdate &update, bool isDigest)
{
    Member *member = this->find(update.name());
    const bool unknown = member == nullptr || member->host.incarnation == 0;
    if (member == nullptr) {
        member = &this->addMember(hostOf(update), this->now);
    }
    MemberClaim claim = claimOf(update);
    if (isDigest && claim.state == wire::MEMBER_STATE_DEAD && !unknown && member->state != wire::MEMBER_STATE_DEAD) {
        // A digest sent after a network partition reports every member of the other side as dead. Such a member is at most
        // suspected here, and the probes of this host decide.
        if (claim.incarnation <= member->host.incarnation) {
            return;
        }
        claim.state = wire::MEMBER_STATE_SUSPECT;
    }
    if (claim > MemberClaim{member->host.incarnation, member->state}) {
        this->updateMember(*member, hostOf(update), claim.state);
        member->deadFromDigest = unknown && isDigest && claim.state == wire::MEMBER_STATE_DEAD;
    }
}

void Membership::updateMember(Member &member, const HostInfo &host, wire::MemberState state)
{
    if (member.host.incarnation != host.incarnation) {
        member.ackedSelfIncarnation = 0;
    }
    member.host = host;
    this->changeState(member, state);
}

void Membership::changeState(Member &member, wire::MemberState state)
{
    member.state = state;
    member.stateSince = this->now;
    member.suspicionEnds = state == wire::MEMBER_STATE_SUSPECT ? this->now + this->suspicionTimeout() : absl::InfiniteFuture();
    member.deadFromDigest = false;
    if (state == wire::MEMBER_STATE_DEAD) {
        member.ackedSelfIncarnation = 0;
    }
    this->queue.add(member.host.name);
    this->actions.emplace_back(MemberChanged{member.host, state});
}

void Membership::refute(const wire::MemberUpdate &update)
{
    const MemberClaim own{this->selfInfo.incarnation, this->selfState()};
    if (claimOf(update) > own) {
        this->selfInfo.incarnation = update.incarnation() + 1;
        this->announceSelf();
    }
}

void Membership::announceSelf()
{
    for (auto &[name, member] : this->peers) {
        member.ackedSelfIncarnation = 0;
    }
    // An ack to a probe that was sent before the change does not acknowledge the new state.
    if (this->probe) {
        this->probe->selfIncarnation = 0;
    }
    this->queue.add(this->selfInfo.name);
    this->actions.emplace_back(MemberChanged{this->selfInfo, this->selfState()});
}

void Membership::queueDigestOnReturn(const std::string &from, bool wasAbsent)
{
    const bool isQueued = std::find(this->digestRecipients.begin(), this->digestRecipients.end(), from) != this->digestRecipients.end();
    if (wasAbsent && this->isLive(from) && !isQueued && this->digestRecipients.size() < maxDigestRecipients) {
        this->digestRecipients.push_back(from);
        this->sendDigests();
    }
}

void Membership::sendPing(const Member &member, std::uint64_t sequence)
{
    wire::Envelope envelope;
    wire::Ping *ping = envelope.mutable_ping();
    ping->set_sequence(sequence);
    this->addUpdates(ping->mutable_updates(), member, false);
    this->send(member, std::move(envelope));
}

void Membership::addUpdates(Updates *updates, const Member &recipient, bool withSelf)
{
    const auto isFull = [&] { return updates->size() >= static_cast<int>(this->settings.maxPiggyback); };
    const auto isIncluded = [&](const std::string &name) {
        return std::any_of(updates->begin(), updates->end(), [&](const wire::MemberUpdate &update) { return update.name() == name; });
    };
    // A member can refute that it is suspect, leaving or dead only after it has been told so.
    if (recipient.host.incarnation > 0 && recipient.state != wire::MEMBER_STATE_ALIVE) {
        *updates->Add() = toUpdate(recipient.host, recipient.state);
    }
    if (withSelf || recipient.ackedSelfIncarnation < this->selfInfo.incarnation) {
        *updates->Add() = toUpdate(this->selfInfo, this->selfState());
    }
    const auto maxSends = static_cast<std::size_t>(std::ceil(sendCountFactor * std::log2(static_cast<double>(this->peers.size()) + 2)));
    for (const std::string &name : this->queue.take(this->settings.maxPiggyback - static_cast<std::size_t>(updates->size()), maxSends)) {
        if (isFull() || isIncluded(name)) {
            continue;
        }
        const Member *member = this->find(name);
        if (name == this->selfInfo.name) {
            *updates->Add() = toUpdate(this->selfInfo, this->selfState());
        } else if (member != nullptr) {
            *updates->Add() = toUpdate(member->host, member->state);
        }
    }
}

void Membership::send(const Member &member, wire::Envelope envelope)
{
    this->actions.emplace_back(SendMessage{member.host.name, member.host.peerAddress, std::move(envelope)});
}

MembershipActions Membership::takeActions()
{
    return std::exchange(this->actions, {});
}

Membership::Member *Membership::find(const std::string &name)
{
    const auto found = this->peers.find(name);
    return found == this->peers.end() ? nullptr : &found->second;
}

Membership::Member &Membership::addMember(const HostInfo &host, absl::Time now)
{
    Member &member = this->peers[host.name];
    member.host = host;
    member.host.incarnation = 0;
    member.stateSince = now;
    this->liveOrder.add(host.name, this->random);
    this->deadOrder.add(host.name, this->random);
    return member;
}

bool Membership::isLive(const std::string &name) const
{
    const auto found = this->peers.find(name);
    return found != this->peers.end() && isLiveState(found->second.state);
}

bool Membership::isDead(const std::string &name) const
{
    const auto found = this->peers.find(name);
    return found != this->peers.end() && found->second.state == wire::MEMBER_STATE_DEAD;
}

absl::Duration Membership::suspicionTimeout() const
{
    const auto live = std::count_if(this->peers.begin(), this->peers.end(), [](const auto &peer) { return isLiveState(peer.second.state); });
    const double scale = std::log10(static_cast<double>(live) + 2);
    return std::max(this->settings.minSuspicion, this->settings.period * (this->settings.suspicionPeriods * scale));
}

absl::Duration Membership::ackTimeout(const Member &member) const
{
    return this->settings.period / (member.host.region == this->selfInfo.region ? 4 : 2);
}

wire::MemberState Membership::selfState() const
{
    return this->isLeaving() ? wire::MEMBER_STATE_LEAVING : wire::MEMBER_STATE_ALIVE;
}

Membership::Members Membership::members() const
{
    Members result{{this->selfInfo, this->selfState()}};
    for (const auto &[name, member] : this->peers) {
        if (member.host.incarnation > 0) {
            result.emplace_back(member.host, member.state);
        }
    }
    std::sort(result.begin(), result.end(), [](const auto &left, const auto &right) { return left.first.name < right.first.name; });
    return result;
}

const HostInfo &Membership::self() const
{
    return this->selfInfo;
}

bool Membership::isLeaving() const
{
    return this->leaveRequested || this->leaveFromHostList;
}

std::optional<MemberClaim> Membership::claim(const std::string &name) const
{
    const auto found = this->peers.find(name);
    if (found == this->peers.end() || found->second.host.incarnation == 0) {
        return std::nullopt;
    }
    return MemberClaim{found->second.host.incarnation, found->second.state};
}

std::string Membership::addressOf(const std::string &name) const
{
    const auto found = this->peers.find(name);
    return found == this->peers.end() ? "" : found->second.host.peerAddress;
}

} // namespace Bergamotramp
