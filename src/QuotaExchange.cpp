#include "QuotaExchange.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

namespace {

constexpr absl::Duration pendingTickPeriod = absl::Milliseconds(10);
// A message and its answer between two regions, and some time at each host; the time for which a datagram waits there comes on top.
constexpr absl::Duration messageAndAnswer = absl::Milliseconds(35);

} // namespace

QuotaExchange::QuotaExchange(
    EventLoop &loop, LimitMember self, const PeerTable &peers, JsonLog &log, EntryMetrics &metrics, std::uint64_t firstQuery, Hooks exchangeHooks)
    : loop(loop)
    , self(std::move(self))
    , peers(peers)
    , log(log)
    , metrics(metrics)
    , hooks(std::move(exchangeHooks))
    , quotas(this->self,
             loop.nowIncludingSuspend(),
             firstQuery,
             {.ask =
                  [this](const std::string &host, const QuotaQuery &query) {
                      this->sendTo(host, query, [](const QuotaQuery &from, peer::HostState &message) {
                          peer::QuotaQuery *entry = message.add_quota_queries();
                          entry->set_organisation(from.organisation);
                          entry->set_number(from.number);
                          entry->set_needed(from.needed);
                          entry->set_ahead(from.ahead);
                      });
                  },
              .answer =
                  [this](const std::string &host, const QuotaGrant &grant) {
                      this->sendTo(host, grant, [](const QuotaGrant &from, peer::HostState &message) {
                          peer::QuotaGrant *entry = message.add_quota_grants();
                          entry->set_organisation(from.organisation);
                          entry->set_number(from.number);
                          entry->set_tokens(from.tokens);
                          entry->set_ask_again_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(absl::Ceil(from.askAgain, absl::Milliseconds(1)))));
                      });
                  }})
{
}

template <typename Message, typename Fill>
void QuotaExchange::sendTo(const std::string &host, const Message &message, Fill fill)
{
    if (const Peer *peer = this->peers.find(host)) {
        this->hooks.send(*peer, [&message, &fill](peer::HostState &state) { fill(message, state); });
    }
}

void QuotaExchange::setOrganisations(const std::vector<Organisation> &organisations)
{
    this->quotas.setOrganisations(organisations, this->loop.nowIncludingSuspend());
    this->tick();
}

void QuotaExchange::admit(const std::string &organisation, Handler done)
{
    if (!this->quotas.hasQuotas()) {
        done({.admitted = true, .retryAfter = absl::ZeroDuration()});
        return;
    }
    const auto decided = [this, organisation, done = std::move(done)](const QuotaDecision &decision) {
        if (!decision.admitted) {
            this->recordRefusal(organisation, decision.retryAfter);
        }
        done(decision);
    };
    this->quotas.admit(organisation, this->loop.nowIncludingSuspend(), decided);
    this->schedule();
}

void QuotaExchange::recordRefusal(const std::string &organisation, absl::Duration retryAfter)
{
    this->metrics.recordRefusal("quota", organisation);
    absl::Time &loggedAt = this->refusalLoggedAt.try_emplace(organisation, absl::InfinitePast()).first->second;
    if (this->loop.now() >= loggedAt + refusalLogInterval) {
        loggedAt = this->loop.now();
        this->log.write("quota_exceeded", {{"organisation", organisation}, {"retryAfterMs", retryAfter}});
    }
}

void QuotaExchange::giveBack(const std::string &organisation, const QuotaDecision &decision)
{
    this->quotas.giveBack(organisation, decision, this->loop.nowIncludingSuspend());
}

void QuotaExchange::receive(const Peer &sender, const peer::HostState &message)
{
    const absl::Time now = this->loop.nowIncludingSuspend();
    for (const peer::QuotaQuery &query : message.quota_queries()) {
        this->quotas.receive(
            sender.name, QuotaQuery{.organisation = query.organisation(), .number = query.number(), .needed = query.needed(), .ahead = query.ahead()}, now);
    }
    for (const peer::QuotaGrant &grant : message.quota_grants()) {
        this->quotas.receive(
            sender.name,
            QuotaGrant{
                .organisation = grant.organisation(), .number = grant.number(), .tokens = grant.tokens(), .askAgain = absl::Milliseconds(grant.ask_again_ms())},
            now);
    }
    if (!message.quota_grants().empty()) {
        this->schedule();
    }
}

void QuotaExchange::schedule()
{
    if (!this->timer.active() && this->quotas.hasPending()) {
        this->timer = this->loop.after(pendingTickPeriod, [this] {
            this->quotas.tick(this->loop.nowIncludingSuspend());
            this->schedule();
        });
    }
}

std::vector<LimitMember> QuotaExchange::members(absl::Time now)
{
    std::vector<LimitMember> result{this->self};
    std::map<std::string, LimitMember> current;
    for (const auto &[name, peer] : this->peers.all()) {
        this->silentHosts.erase(name);
        if (!peer.leaving) {
            result.push_back({.name = name, .dataCentre = peer.dataCentre, .region = peer.region, .live = PeerTable::isLive(peer, this->loop.now())});
            current[name] = result.back();
        }
    }
    for (const auto &[name, member] : std::exchange(this->lastMembers, current)) {
        // A host that leaves stays in the table for a while, one that is gone from it has fallen silent.
        if (this->peers.find(name) == nullptr) {
            this->silentHosts.try_emplace(name, Silent{.member = member, .since = now});
        }
    }
    std::erase_if(this->silentHosts, [now](const auto &entry) { return now > entry.second.since + silentHostRetention; });
    for (const auto &[name, silent] : this->silentHosts) {
        result.push_back(silent.member);
        result.back().live = false;
    }
    std::ranges::sort(result);
    return result;
}

void QuotaExchange::tick()
{
    const absl::Time now = this->loop.nowIncludingSuspend();
    if (!this->quotas.hasQuotas() || now < this->membersCheckedAt + membershipCheckPeriod) {
        return;
    }
    this->membersCheckedAt = now;
    this->quotas.setAnswerTimeout(messageAndAnswer + (2 * this->hooks.receiveDelay()));
    this->quotas.setMembers(this->members(now), this->hooks.expectsOthers(), now);
}

void QuotaExchange::leave()
{
    this->self.live = false;
    this->membersCheckedAt = absl::InfinitePast();
    this->tick();
}

void QuotaExchange::updateMetrics()
{
    if (!this->quotas.hasQuotas()) {
        return;
    }
    const OrganisationQuotas::Counts &counts = this->quotas.counts();
    this->metrics.setGauge("quota_queries", static_cast<double>(counts.queries));
    this->metrics.setGauge("quota_answers_missed", static_cast<double>(counts.answersMissed));
    this->metrics.setGauge("quota_tokens_asked", static_cast<double>(counts.tokensAsked));
    this->metrics.setGauge("quota_tokens_granted", static_cast<double>(counts.tokensGranted));
    this->metrics.setGauge("quota_tokens_refused", static_cast<double>(counts.tokensDenied));
    this->metrics.setGauge("quota_tokens_asked_of_this_host", static_cast<double>(counts.tokensAskedOfThisHost));
    this->metrics.setGauge("quota_tokens_granted_by_this_host", static_cast<double>(counts.tokensGrantedByThisHost));
}

} // namespace Bergamotramp
