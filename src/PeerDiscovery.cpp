#include "PeerDiscovery.h"

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
    this->registerAddress();
}

void PeerDiscovery::registerAddress()
{
    const std::string name = absl::StrCat(ipOf(this->peerAddress), "-", portOf(this->peerAddress));
    const nlohmann::json content{{"name", this->host}, {"peerAddress", this->peerAddress}};
    this->context.store.create(hostKind, name, content, [this](const ObjectReply &reply) {
        if (reply.result == StoreResult::Done || reply.result == StoreResult::Conflict) {
            const absl::Duration delay = this->context.randomFraction() * storedHostsDelayPerPeer * static_cast<std::int64_t>(this->context.peers.size());
            this->timer = this->context.loop.after(delay, [this] { this->contactRegisteredHosts(); });
        } else {
            this->timer = this->context.loop.after(peerDiscoveryRetryDelay, [this] { this->registerAddress(); });
        }
    });
}

void PeerDiscovery::contactRegisteredHosts()
{
    this->context.store.list(hostKind, [this](const ListReply &reply) {
        this->context.log.write("hosts_listed", {{"ok", reply.result == StoreResult::Done}, {"hosts", static_cast<std::uint64_t>(reply.objects.size())}});
        if (reply.result != StoreResult::Done) {
            this->timer = this->context.loop.after(peerDiscoveryRetryDelay, [this] { this->contactRegisteredHosts(); });
        }
        for (const ObjectRecord &object : reply.objects) {
            if (const auto address = storedPeerAddress(object)) {
                this->context.exchange.introduceTo(*address);
            } else {
                this->context.log.write("host_unreadable", {{"object", object.name}, {"revision", object.revision}});
            }
        }
    });
}

} // namespace Bergamotramp
