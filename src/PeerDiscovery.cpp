#include "PeerDiscovery.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

#include <absl/strings/str_cat.h>

#include "TcpStream.h"

namespace Bergamotramp {

namespace {

// The list of all stored hosts is read at a random time within this interval times the number of known hosts, so that hosts that
// start together do not read it at once.
constexpr absl::Duration storedHostsDelayPerPeer = absl::Milliseconds(20);
// Delay before a host that could not reach the store tries again to find the other hosts there.
constexpr absl::Duration peerDiscoveryRetryDelay = absl::Seconds(2);
constexpr const char *hostKind = "hosts";

std::string portOf(const std::string &address)
{
    return address.substr(address.rfind(':') + 1);
}

std::string ipOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

/** The address that a host has left in the store, or nothing if the object is malformed. */
std::optional<std::string> storedPeerAddress(const ObjectRecord &object)
{
    try {
        std::string address = object.content.at("peerAddress").get<std::string>();
        checkEndpoint(address);
        return address;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    } catch (const std::invalid_argument &) {
        return std::nullopt;
    }
}

} // namespace

PeerDiscovery::PeerDiscovery(const Context &context, std::string host, std::string peerAddress)
    : context(context), host(std::move(host)), peerAddress(std::move(peerAddress))
{
}

void PeerDiscovery::start(const std::vector<std::string> &seeds)
{
    for (const std::string &seed : seeds) {
        this->context.exchange.askForPeers(absl::StrCat(ipOf(seed), ":", portOf(this->peerAddress)));
    }
    this->listHosts();
}

std::string PeerDiscovery::objectName() const
{
    return absl::StrCat(ipOf(this->peerAddress), "-", portOf(this->peerAddress));
}

void PeerDiscovery::registerAddress()
{
    const nlohmann::json content{{"name", this->host}, {"peerAddress", this->peerAddress}};
    this->context.store.create(hostKind, this->objectName(), content, [this](const ObjectReply &reply) {
        if (reply.result == StoreResult::Done || reply.result == StoreResult::Conflict) {
            // Of two hosts that register at the same time, at least one finds the other in the list that it reads afterwards.
            this->registered = true;
            const absl::Duration delay = this->context.randomFraction() * storedHostsDelayPerPeer * static_cast<std::int64_t>(this->context.peers.size());
            this->timer = this->context.loop.after(delay, [this] { this->listHosts(); });
        } else {
            this->timer = this->context.loop.after(peerDiscoveryRetryDelay, [this] { this->registerAddress(); });
        }
    });
}

void PeerDiscovery::listHosts()
{
    this->context.store.list(hostKind, [this](const ListReply &reply) {
        this->context.log.write("hosts_listed", {{"ok", reply.result == StoreResult::Done}, {"hosts", static_cast<std::uint64_t>(reply.objects.size())}});
        if (reply.result != StoreResult::Done) {
            this->timer = this->context.loop.after(peerDiscoveryRetryDelay, [this] { this->listHosts(); });
            return;
        }
        std::ranges::for_each(reply.objects, [this](const ObjectRecord &object) { this->contact(object); });
        const bool listed = std::ranges::any_of(reply.objects, [this](const ObjectRecord &object) { return object.name == this->objectName(); });
        if (this->context.hostsListed) {
            this->context.hostsListed(reply.objects.size(), listed && !this->registered);
        }
        if (!listed && !this->registered) {
            this->registerAddress();
        }
    });
}

void PeerDiscovery::contact(const ObjectRecord &object)
{
    if (const auto address = storedPeerAddress(object)) {
        this->context.exchange.introduceTo(*address);
    } else {
        this->context.log.write("host_unreadable", {{"object", object.name}, {"revision", object.revision}});
    }
}

} // namespace Bergamotramp
