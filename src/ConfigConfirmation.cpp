#include "ConfigConfirmation.h"

#include <algorithm>
#include <limits>
#include <random>
#include <utility>

#include "CallRefusal.h"

namespace Bergamotramp {

namespace {

// A store could take a watch without any wait for one with its default wait.
constexpr absl::Duration storeQueryWait = absl::Milliseconds(1);
// Relays deliver a new version within some tens of milliseconds, also a large one to many followers.
constexpr double fetchDelayShare = 0.06;

std::uint64_t drawNumber()
{
    std::random_device device;
    // 0 stands for no query on the wire.
    return std::uniform_int_distribution<std::uint64_t>(1, std::numeric_limits<std::uint64_t>::max() / 2)(device);
}

std::uint32_t roundedUpMs(absl::Duration age)
{
    const std::int64_t ms = absl::ToInt64Milliseconds(absl::Ceil(age, absl::Milliseconds(1)));
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

ConfigConfirmation::ConfigConfirmation(Context hostContext, absl::Duration bound)
    : context(std::move(hostContext)), bound(bound), freshness(bound, drawNumber(), this->context.loop.nowIncludingSuspend(), this->context.randomFraction)
{
}

void ConfigConfirmation::tick()
{
    const absl::Time now = this->context.loop.nowIncludingSuspend();
    this->logChange();
    if (this->freshness.queryDue(now)) {
        this->queryHost();
    }
    // The rank, which takes a pass over all hosts, matters only once the first host would query.
    if (this->freshness.storeQueryDue(0, now) && this->freshness.storeQueryDue(this->watcherRank(), now)) {
        this->queryStore();
    }
}

std::optional<std::size_t> ConfigConfirmation::watcherRank() const
{
    if (!this->context.watchesStore()) {
        return std::nullopt;
    }
    const absl::Time now = this->context.loop.now();
    return static_cast<std::size_t>(std::ranges::count_if(this->context.peers.all(), [this, now](const auto &entry) {
        const Peer &peer = entry.second;
        return peer.watchesStore && peer.dataCentre == this->context.dataCentre && peer.name < this->context.host && PeerTable::isLive(peer, now);
    }));
}

std::vector<ConfigViewHost> ConfigConfirmation::hosts() const
{
    std::vector<ConfigViewHost> result;
    for (const Peer &peer : this->context.peers.liveHosts(this->context.loop.now())) {
        result.push_back({.name = peer.name, .distance = distanceBetween(this->context, peer), .watchesStore = peer.watchesStore});
    }
    return result;
}

void ConfigConfirmation::queryHost()
{
    const auto query = this->freshness.nextQuery(this->hosts(), this->context.loop.nowIncludingSuspend());
    const Peer *peer = query ? this->context.peers.find(query->host) : nullptr;
    if (peer != nullptr) {
        this->context.send(*peer, [&query](peer::HostState &message) { message.set_config_view_query(query->number); });
    }
}

void ConfigConfirmation::queryStore()
{
    const absl::Time askedAt = this->context.loop.nowIncludingSuspend();
    this->freshness.recordStoreQuery(askedAt);
    const std::uint64_t applied = this->context.appliedRevision();
    if (applied == 0) {
        this->getFromStore();
        return;
    }
    this->context.store.watch(this->context.kind, applied, storeQueryWait, [this, askedAt](const WatchReply &reply) {
        if (reply.result == StoreResult::HistoryExpired) {
            this->getFromStore();
            return;
        }
        for (const ObjectChange &change : reply.changes) {
            if (!change.removed) {
                this->context.apply(change.object);
            }
        }
        this->finishStoreQuery(askedAt, reply.result == StoreResult::Done);
    });
}

void ConfigConfirmation::getFromStore()
{
    const absl::Time askedAt = this->context.loop.nowIncludingSuspend();
    this->context.store.get(this->context.kind, this->context.name, [this, askedAt](const ObjectReply &reply) {
        if (reply.result == StoreResult::Done && reply.object) {
            this->context.apply(*reply.object);
        }
        this->finishStoreQuery(askedAt, reply.result == StoreResult::Done && reply.object.has_value());
    });
}

void ConfigConfirmation::finishStoreQuery(absl::Time askedAt, bool answered)
{
    if (answered) {
        this->confirmByStore(askedAt);
    }
    this->freshness.recordStoreQueryEnd(answered, this->context.loop.nowIncludingSuspend());
    this->context.metrics.recordConfigQuery("store", answered ? "answered" : "failed");
}

void ConfigConfirmation::receive(const Peer &sender, const peer::HostState &message)
{
    if (message.config_view_query() != 0) {
        this->answer(sender, message.config_view_query());
    }
    if (message.has_config_view()) {
        this->receiveView(sender, message.config_view());
    }
}

void ConfigConfirmation::answer(const Peer &sender, std::uint64_t query)
{
    const ConfigView view = this->freshness.view(this->context.loop.nowIncludingSuspend());
    this->context.send(sender, [&view, query](peer::HostState &message) {
        peer::ConfigView &entry = *message.mutable_config_view();
        entry.set_query(query);
        entry.set_revision(view.revision);
        if (view.age) {
            entry.set_age_ms(roundedUpMs(*view.age));
        }
    });
}

void ConfigConfirmation::receiveView(const Peer &sender, const peer::ConfigView &message)
{
    ConfigView view{.revision = message.revision(), .age = std::nullopt};
    if (message.has_age_ms()) {
        view.age = absl::Milliseconds(message.age_ms());
    }
    if (!this->freshness.receive(sender.name, message.query(), view, this->context.loop.nowIncludingSuspend())) {
        this->context.metrics.recordConfigQuery("host", "unmatched");
        return;
    }
    this->context.metrics.recordConfigQuery("host", view.age ? "answered" : "no_view");
    this->fetchIfBehind(sender, view.revision);
    this->logChange();
}

void ConfigConfirmation::fetchIfBehind(const Peer &sender, std::uint64_t revision)
{
    if (revision <= this->freshness.revision()) {
        return;
    }
    const absl::Time now = this->context.loop.now();
    this->behindSince = std::min(this->behindSince, now);
    if (now >= this->behindSince + fetchDelayShare * this->bound) {
        this->context.fetch(sender);
    }
}

void ConfigConfirmation::recordVersion(std::uint64_t revision)
{
    this->behindSince = absl::InfiniteFuture();
    this->freshness.recordVersion(revision);
    this->logChange();
}

void ConfigConfirmation::confirmByStore(absl::Time askedAt)
{
    this->freshness.confirmByStore(askedAt);
    this->logChange();
}

bool ConfigConfirmation::mayServeKeyed() const
{
    return this->freshness.mayServeKeyed(this->context.loop.nowIncludingSuspend());
}

std::optional<HttpResponse> ConfigConfirmation::refusal(const std::string &requestId) const
{
    if (this->mayServeKeyed()) {
        return std::nullopt;
    }
    const absl::Duration age = this->freshness.age(this->context.loop.nowIncludingSuspend());
    this->context.log.write("config_view_refusal", {{"request", requestId}, {"revision", this->freshness.revision()}, {"ageMs", age}});
    this->context.metrics.recordRefusal("config_unconfirmed", "");
    return notRunResponse("config_unconfirmed", "this host can't confirm that its configuration is current", this->freshness.retryAfter());
}

void ConfigConfirmation::reportMetrics()
{
    const absl::Duration age = this->freshness.age(this->context.loop.nowIncludingSuspend());
    this->context.metrics.setGauge("config_view_age_seconds", absl::ToDoubleSeconds(age));
    this->context.metrics.setGauge("config_view_usable", this->mayServeKeyed() ? 1.0 : 0.0);
}

void ConfigConfirmation::logChange()
{
    const bool serves = this->mayServeKeyed();
    if (serves == this->servedKeyed) {
        return;
    }
    this->servedKeyed = serves;
    const absl::Duration age = this->freshness.age(this->context.loop.nowIncludingSuspend());
    this->context.log.write(serves ? "config_view_confirmed" : "config_view_too_old", {{"revision", this->freshness.revision()}, {"ageMs", age}});
}

} // namespace Bergamotramp
