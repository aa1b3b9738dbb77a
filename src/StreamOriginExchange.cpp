#include "StreamOriginExchange.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "RendezvousHash.h"

namespace Bergamotramp {

namespace {

// Origins with longer names, which only a faulty host sends, are not kept.
constexpr std::size_t maxNameBytes = 512;

} // namespace

StreamOriginExchange::StreamOriginExchange(EventLoop &loop, std::string self, const PeerTable &peers, Hooks hooks)
    : loop(loop), self(std::move(self)), peers(peers), hooks(std::move(hooks))
{
}

std::vector<Peer> StreamOriginExchange::otherHolders(std::uint64_t stream) const
{
    std::vector<std::string> names{this->self};
    for (const Peer &peer : this->peers.liveHosts(this->loop.now())) {
        names.push_back(peer.name);
    }
    std::vector<std::string> order = rendezvousOrder(absl::StrCat(absl::Hex(stream)), std::move(names));
    order.resize(std::min(order.size(), holdersPerStream));
    std::vector<Peer> result;
    for (const std::string &name : order) {
        if (const Peer *peer = this->peers.find(name)) {
            result.push_back(*peer);
        }
    }
    return result;
}

void StreamOriginExchange::recordBegin(const std::string &requestId, const StreamOrigin &origin)
{
    if (!origin.isKnown()) {
        return;
    }
    const std::uint64_t stream = streamKey(requestId);
    this->origins.add(stream, origin, this->loop.now());
    for (const Peer &holder : this->otherHolders(stream)) {
        this->hooks.send(holder, [stream, &origin](peer::HostState &message) {
            peer::StreamOrigin *entry = message.add_stream_origins();
            entry->set_stream(stream);
            entry->set_service(origin.service);
            entry->set_software_version(origin.softwareVersion);
        });
    }
}

void StreamOriginExchange::lookUp(const std::string &requestId, const std::string &service, LookUpHandler done)
{
    const std::uint64_t stream = streamKey(requestId);
    if (const auto origin = this->origins.find(stream, this->loop.now())) {
        done(origin);
        return;
    }
    if (requestId.empty() || this->lookUps.size() >= maxPendingLookUps) {
        done(std::nullopt);
        return;
    }
    LookUp &lookUp = this->lookUps[stream];
    lookUp.handlers.push_back(std::move(done));
    if (lookUp.handlers.size() > 1) {
        return;
    }
    lookUp.service = service;
    if (const auto sole = this->hooks.soleVersion(service)) {
        lookUp.conclusions.push_back(*sole);
    }
    const std::vector<Peer> holders = this->otherHolders(stream);
    if (holders.empty()) {
        this->finishWithoutRecord(stream);
        return;
    }
    lookUp.unanswered = holders.size();
    lookUp.timer = this->loop.after(lookUpTimeout, [this, stream] { this->finishWithoutRecord(stream); });
    for (const Peer &holder : holders) {
        this->hooks.send(holder, [stream, &service](peer::HostState &message) {
            peer::StreamOriginQuery *query = message.add_stream_queries();
            query->set_stream(stream);
            query->set_service(service);
        });
    }
}

void StreamOriginExchange::receive(const Peer &sender, const peer::HostState &message)
{
    for (const peer::StreamOrigin &entry : message.stream_origins()) {
        this->receiveOrigin(entry);
    }
    this->answerQueries(sender, message);
}

void StreamOriginExchange::answerQueries(const Peer &sender, const peer::HostState &message)
{
    if (message.stream_queries().empty()) {
        return;
    }
    this->hooks.send(sender, [this, &message](peer::HostState &answer) {
        for (const peer::StreamOriginQuery &query : message.stream_queries()) {
            this->answerQuery(query, *answer.add_stream_origins());
        }
    });
}

void StreamOriginExchange::answerQuery(const peer::StreamOriginQuery &query, peer::StreamOrigin &answer) const
{
    answer.set_stream(query.stream());
    if (const auto origin = this->origins.find(query.stream(), this->loop.now())) {
        answer.set_service(origin->service);
        answer.set_software_version(origin->softwareVersion);
    } else if (const auto sole = this->hooks.soleVersion(query.service())) {
        answer.set_service(query.service());
        answer.set_software_version(sole->version);
        answer.set_inferred(true);
        answer.set_known_until_revision(sole->knownUntilRevision);
    } else if (this->hooks.hasSeveralVersions(query.service())) {
        // Without a version, this contradicts a host that has missed a version and takes another for the only one.
        answer.set_service(query.service());
        answer.set_inferred(true);
    }
}

void StreamOriginExchange::receiveOrigin(const peer::StreamOrigin &entry)
{
    const StreamOrigin origin{.service = entry.service(), .softwareVersion = entry.software_version()};
    if (origin.service.size() > maxNameBytes || origin.softwareVersion.size() > maxNameBytes) {
        return;
    }
    const bool recorded = origin.isKnown() && !entry.inferred();
    if (recorded) {
        this->origins.add(entry.stream(), origin, this->loop.now());
    }
    const auto found = this->lookUps.find(entry.stream());
    if (found == this->lookUps.end()) {
        return;
    }
    if (recorded) {
        this->finishLookUp(entry.stream(), origin);
        return;
    }
    if (origin.isKnown()) {
        found->second.conclusions.push_back({.version = origin.softwareVersion, .knownUntilRevision = entry.known_until_revision()});
    } else if (entry.inferred()) {
        found->second.severalVersions = true;
    }
    if (--found->second.unanswered == 0) {
        this->finishWithoutRecord(entry.stream());
    }
}

std::optional<SoleVersion> StreamOriginExchange::concludedVersion(const LookUp &lookUp) const
{
    const std::optional<SoleVersion> sole = lookUp.severalVersions ? std::nullopt : combine(lookUp.conclusions);
    // What other hosts conclude may not contradict what this host has seen, if it has not been running for long enough itself.
    const bool contradicted = sole && !this->hooks.soleVersion(lookUp.service) && this->hooks.hasOtherVersions(lookUp.service, sole->version);
    return contradicted ? std::nullopt : sole;
}

void StreamOriginExchange::finishWithoutRecord(std::uint64_t stream)
{
    LookUp &lookUp = this->lookUps.at(stream);
    if (lookUp.confirming) {
        return;
    }
    const std::optional<SoleVersion> sole = this->concludedVersion(lookUp);
    if (!sole) {
        this->finishLookUp(stream, std::nullopt);
        return;
    }
    // The stream may have begun after the last change that the hosts have heard of, and hosts that are cut off from the store together
    // conclude the same. A read that begins now includes every upstream that was registered when the caller lost the stream.
    lookUp.confirming = true;
    lookUp.timer.cancel();
    this->hooks.confirmSoleVersion(lookUp.service, *sole, [this, stream](bool confirmed) { this->onConfirmation(stream, confirmed); });
}

void StreamOriginExchange::onConfirmation(std::uint64_t stream, bool confirmed)
{
    const auto found = this->lookUps.find(stream);
    if (found == this->lookUps.end()) {
        // A record of the stream has come meanwhile.
        return;
    }
    // Another host may have contradicted meanwhile.
    const std::optional<SoleVersion> sole = this->concludedVersion(found->second);
    if (!confirmed || !sole) {
        this->finishLookUp(stream, std::nullopt);
        return;
    }
    this->finishLookUp(stream, StreamOrigin{.service = found->second.service, .softwareVersion = sole->version});
}

void StreamOriginExchange::finishLookUp(std::uint64_t stream, const std::optional<StreamOrigin> &origin)
{
    const auto found = this->lookUps.find(stream);
    found->second.timer.cancel();
    const std::vector<LookUpHandler> handlers = std::move(found->second.handlers);
    this->lookUps.erase(found);
    for (const LookUpHandler &handler : handlers) {
        handler(origin);
    }
}

} // namespace Bergamotramp
