#include "OrganisationQuotas.h"

#include <algorithm>
#include <utility>

#include "RendezvousHash.h"

namespace Bergamotramp {

namespace {

// A share changes during a handover; it is computed anew this often then.
constexpr absl::Duration shareUpdateInterval = absl::Milliseconds(50);
// A caller that returned sooner would arrive before the next answer of a holder.
constexpr absl::Duration minRetryAfter = absl::Milliseconds(50);

} // namespace

OrganisationQuotas::OrganisationQuotas(LimitMember self, absl::Time startedAt, std::uint64_t firstQuery, Hooks hooks)
    : self(std::move(self)), hooks(std::move(hooks)), quotaHolders(this->self, startedAt), nextQuery(firstQuery)
{
}

void OrganisationQuotas::setOrganisations(const std::vector<Organisation> &organisations, absl::Time now)
{
    auto former = std::exchange(this->accounts, {});
    for (const Organisation &organisation : organisations) {
        if (organisation.requestsPerSecond <= 0) {
            continue;
        }
        const std::uint64_t key = stableHash(organisation.name);
        const auto found = former.find(key);
        std::unique_ptr<Account> account = found == former.end() ? std::make_unique<Account>() : std::move(found->second);
        if (found != former.end()) {
            former.erase(found);
        }
        account->organisation = organisation;
        account->terms = QuotaTerms::of(organisation);
        account->shareValidUntil = absl::InfinitePast();
        account->holdersRevision.reset();
        this->accounts[key] = std::move(account);
    }
    for (const auto &[key, account] : former) {
        this->pending.erase(key);
        this->expected.erase(key);
        // The organisation has no quota any more, so its requests need no token.
        for (const Waiting &waiting : std::exchange(account->waiting, {})) {
            waiting.done({.admitted = true, .retryAfter = absl::ZeroDuration()});
        }
    }
    this->tick(now);
}

void OrganisationQuotas::setMembers(std::vector<LimitMember> members, bool expectsOthers, absl::Time now)
{
    if (now > this->membersSetAt + maxSuspension) {
        this->forgetShares(now);
    }
    this->membersSetAt = now;
    this->quotaHolders.update(std::move(members), expectsOthers, now);
}

void OrganisationQuotas::forgetShares(absl::Time now)
{
    this->quotaHolders = QuotaHolders(this->self, now);
    for (const auto &[key, account] : this->accounts) {
        account->bucket.reset();
        account->shareValidUntil = absl::InfinitePast();
        account->holdersRevision = 0;
    }
}

OrganisationQuotas::Account *OrganisationQuotas::find(const std::string &organisation)
{
    if (this->accounts.empty()) {
        return nullptr;
    }
    const auto found = this->accounts.find(stableHash(organisation));
    return found == this->accounts.end() ? nullptr : found->second.get();
}

void OrganisationQuotas::admit(const std::string &organisation, absl::Time now, Handler done)
{
    Account *account = this->find(organisation);
    if (account == nullptr) {
        done({.admitted = true, .retryAfter = absl::ZeroDuration()});
        return;
    }
    account->lease.recordRequest(now);
    if (account->waiting.size() >= maxWaiting) {
        done(this->refusal(*account, now));
        return;
    }
    account->waiting.push_back({.deadline = now + maxWait, .done = std::move(done)});
    this->serve(*account, now);
}

void OrganisationQuotas::giveBack(const std::string &organisation, const QuotaDecision &decision, absl::Time now)
{
    if (Account *account = this->find(organisation); account != nullptr && decision.tokenExpires > now) {
        account->lease.add(1, decision.tokenExpires);
    }
}

void OrganisationQuotas::serve(Account &account, absl::Time now)
{
    this->serveWaiting(account, now);
    while (!account.query && this->askNextHolder(account, now)) {
        // A holder that is this host has answered already.
        this->serveWaiting(account, now);
    }
    if (!account.query) {
        this->refuseWaiting(account, now);
    }
    const std::uint64_t key = stableHash(account.organisation.name);
    if (account.query || !account.waiting.empty()) {
        this->pending.insert(key);
    } else {
        this->pending.erase(key);
    }
    if (account.lease.expectsRequests(account.terms, now)) {
        this->expected.insert(key);
    } else {
        this->expected.erase(key);
    }
}

void OrganisationQuotas::serveWaiting(Account &account, absl::Time now)
{
    while (!account.waiting.empty()) {
        const auto token = account.lease.take(now);
        if (!token) {
            return;
        }
        const Handler done = std::move(account.waiting.front().done);
        account.waiting.pop_front();
        done({.admitted = true, .retryAfter = absl::ZeroDuration(), .tokenExpires = *token});
    }
}

bool OrganisationQuotas::askNextHolder(Account &account, absl::Time now)
{
    auto needed = static_cast<std::uint32_t>(account.waiting.size());
    std::uint32_t wantedAhead = account.lease.wantedAhead(account.terms, now);
    if (needed > 0 && now < account.lastRefusal + exhaustedPeriod) {
        needed += std::exchange(wantedAhead, 0);
    }
    if (needed == 0 && wantedAhead == 0) {
        return false;
    }
    for (const std::string &holder : this->holdersOf(account)) {
        const auto silent = this->silentHolders.find(holder);
        if (silent != this->silentHolders.end() && now < silent->second) {
            continue;
        }
        const AskAgain &again = account.askAgain[holder];
        const std::uint32_t ahead = now >= again.ahead ? wantedAhead : 0;
        if (now >= again.needed && needed + ahead > 0) {
            this->ask(account, holder, needed, ahead, now);
            return true;
        }
    }
    return false;
}

void OrganisationQuotas::ask(Account &account, const std::string &holder, std::uint32_t needed, std::uint32_t ahead, absl::Time now)
{
    const Query query{.number = this->nextQuery++, .holder = holder, .askedAt = now, .needed = needed, .ahead = ahead};
    const QuotaQuery message{.organisation = stableHash(account.organisation.name), .number = query.number, .needed = needed, .ahead = ahead};
    ++this->counted.queries;
    this->counted.tokensAsked += needed + ahead;
    if (holder == this->self.name) {
        this->applyGrant(account, query, this->grant(account, message, now), now);
        return;
    }
    account.query = query;
    this->hooks.ask(holder, message);
}

void OrganisationQuotas::applyGrant(Account &account, const Query &query, const QuotaGrant &grant, absl::Time now)
{
    const std::uint32_t tokens = std::min(grant.tokens, query.needed + query.ahead);
    this->counted.tokensGranted += tokens;
    // Counted from the query, so that a late answer brings no token that is older than the holder reckons with.
    account.lease.add(tokens, query.askedAt + account.terms.tokenLifetime);
    AskAgain &again = account.askAgain[query.holder];
    if (tokens < query.needed) {
        this->counted.tokensDenied += query.needed - tokens;
        again.needed = now + std::clamp(grant.askAgain, absl::ZeroDuration(), QuotaBucket::maxAskAgain);
    }
    if (tokens < query.needed + query.ahead) {
        again.ahead = now + askAheadInterval;
    }
}

void OrganisationQuotas::receive(const std::string &host, const QuotaGrant &grant, absl::Time now)
{
    const auto found = this->accounts.find(grant.organisation);
    if (found == this->accounts.end()) {
        return;
    }
    Account &account = *found->second;
    const auto matches = [&host, &grant](const Query &query) { return query.number == grant.number && query.holder == host; };
    const auto late = std::ranges::find_if(account.lateQueries, matches);
    if (account.query && matches(*account.query)) {
        this->applyGrant(account, *std::exchange(account.query, std::nullopt), grant, now);
    } else if (late != account.lateQueries.end()) {
        const Query query = *late;
        account.lateQueries.erase(late);
        this->applyGrant(account, query, grant, now);
    } else {
        return;
    }
    this->silentHolders.erase(host);
    this->serve(account, now);
}

void OrganisationQuotas::refuseWaiting(Account &account, absl::Time now)
{
    while (!account.waiting.empty()) {
        const Handler done = std::move(account.waiting.front().done);
        account.waiting.pop_front();
        done(this->refusal(account, now));
    }
}

QuotaDecision OrganisationQuotas::refusal(Account &account, absl::Time now)
{
    ++this->counted.requestsRefused;
    account.lastRefusal = now;
    absl::Time first = now + maxRetryAfter;
    const std::vector<std::string> &holders = this->holdersOf(account);
    for (const std::string &holder : holders) {
        const auto silent = this->silentHolders.find(holder);
        first = std::min(first, silent != this->silentHolders.end() && silent->second > now ? silent->second : account.askAgain[holder].needed);
    }
    first = std::max(first, now + minRetryAfter);
    // Each holder gives this host its places one interval apart. Callers come back one after the other, so that each finds a token.
    const absl::Duration interval = (first - now) / static_cast<std::int64_t>(std::max<std::size_t>(1, holders.size()));
    account.lastRetryAt = std::min(std::max(first, account.lastRetryAt + interval), now + maxRetryAfter);
    return {.admitted = false, .retryAfter = account.lastRetryAt - now};
}

const std::vector<std::string> &OrganisationQuotas::holdersOf(Account &account)
{
    if (account.holders.empty() || account.holdersRevision != this->quotaHolders.revision()) {
        account.holdersRevision = this->quotaHolders.revision();
        account.holders = this->quotaHolders.holders(account.organisation.name, account.terms);
        std::erase_if(account.askAgain, [&account](const auto &entry) { return std::ranges::find(account.holders, entry.first) == account.holders.end(); });
    }
    return account.holders;
}

void OrganisationQuotas::updateShare(Account &account, absl::Time now)
{
    if (now < account.shareValidUntil && account.shareRevision == this->quotaHolders.revision()) {
        return;
    }
    account.shareRevision = this->quotaHolders.revision();
    account.shareValidUntil = now + shareUpdateInterval;
    const absl::Time checkedBefore = std::exchange(account.shareCheckedAt, now);
    const QuotaHolders::Part part = this->quotaHolders.part(account.organisation.name, account.terms, now);
    if (part.fraction <= 0) {
        account.bucket.reset();
        return;
    }
    const QuotaShare share = QuotaHolders::share(account.terms, part);
    // If the part began since the last look, this host was no holder in between, and another one granted its tokens.
    if (!account.bucket || part.heldSince > checkedBefore) {
        account.bucket.emplace(share, part.filledSince, now);
    } else {
        account.bucket->setShare(share, now);
    }
}

QuotaGrant OrganisationQuotas::grant(Account &account, const QuotaQuery &query, absl::Time now)
{
    this->updateShare(account, now);
    QuotaGrant grant{.organisation = query.organisation, .number = query.number, .tokens = 0, .askAgain = absl::ZeroDuration()};
    this->counted.tokensAskedOfThisHost += query.needed + query.ahead;
    if (!account.bucket) {
        grant.askAgain = QuotaBucket::askAgainWithoutShare;
        return grant;
    }
    grant.tokens = account.bucket->grant(query.needed, query.ahead, now);
    this->counted.tokensGrantedByThisHost += grant.tokens;
    if (grant.tokens < query.needed) {
        grant.askAgain = account.bucket->reserveAskAgain(now);
    }
    return grant;
}

void OrganisationQuotas::receive(const std::string &host, const QuotaQuery &query, absl::Time now)
{
    const auto found = this->accounts.find(query.organisation);
    if (found == this->accounts.end()) {
        // The two hosts have different versions of the configuration.
        this->hooks.answer(host, {.organisation = query.organisation, .number = query.number, .tokens = 0, .askAgain = QuotaBucket::askAgainWithoutShare});
        return;
    }
    this->hooks.answer(host, this->grant(*found->second, query, now));
}

void OrganisationQuotas::passOver(Account &account, absl::Time now)
{
    ++this->counted.answersMissed;
    this->silentHolders[account.query->holder] = now + silentHolderPause;
    std::erase_if(account.lateQueries, [&account, now](const Query &query) { return now > query.askedAt + account.terms.tokenLifetime; });
    account.lateQueries.push_back(*std::exchange(account.query, std::nullopt));
}

void OrganisationQuotas::tick(absl::Time now)
{
    for (const std::uint64_t key : std::set<std::uint64_t>(this->pending)) {
        Account &account = *this->accounts.at(key);
        if (account.query && now >= account.query->askedAt + this->answerTimeout) {
            this->passOver(account, now);
        }
        while (!account.waiting.empty() && now >= account.waiting.front().deadline) {
            const Handler done = std::move(account.waiting.front().done);
            account.waiting.pop_front();
            done(this->refusal(account, now));
        }
        this->serve(account, now);
    }
    if (now >= this->renewedAt + renewalInterval) {
        this->renewedAt = now;
        this->renewExpiring(now);
    }
    std::erase_if(this->silentHolders, [now](const auto &entry) { return entry.second < now; });
}

void OrganisationQuotas::renewExpiring(absl::Time now)
{
    for (const std::uint64_t key : std::set<std::uint64_t>(this->expected)) {
        if (Account &account = *this->accounts.at(key); !account.query) {
            this->serve(account, now);
        }
    }
}

bool OrganisationQuotas::hasPending() const
{
    return !this->pending.empty() || !this->expected.empty();
}

void OrganisationQuotas::setAnswerTimeout(absl::Duration timeout)
{
    this->answerTimeout = timeout;
}

bool OrganisationQuotas::hasQuotas() const
{
    return !this->accounts.empty();
}

const OrganisationQuotas::Counts &OrganisationQuotas::counts() const
{
    return this->counted;
}

} // namespace Bergamotramp
