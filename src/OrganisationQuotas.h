#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "Organisation.h"
#include "QuotaBucket.h"
#include "QuotaHolders.h"
#include "QuotaLease.h"
#include "QuotaTerms.h"

namespace Bergamotramp {

/** A host asks a holder for tokens. */
struct QuotaQuery {
    /** Stable hash of the organisation's name. */
    std::uint64_t organisation = 0;
    /** Matches the answer with the query; never used twice by a process, and unlikely by two. */
    std::uint64_t number = 0;
    /** Tokens for requests that wait. */
    std::uint32_t needed = 0;
    /** Tokens for requests that are expected. */
    std::uint32_t ahead = 0;

    bool operator==(const QuotaQuery &) const = default;
};

/** The answer of a holder. */
struct QuotaGrant {
    std::uint64_t organisation = 0;
    std::uint64_t number = 0;
    std::uint32_t tokens = 0;
    /** When the holder expects a token for the asking host, if it granted fewer than needed; otherwise zero. */
    absl::Duration askAgain;

    bool operator==(const QuotaGrant &) const = default;
};

/** Whether a request is within the quota of its organisation. */
struct QuotaDecision {
    bool admitted = false;
    /** For a refused request: when a token is expected for it. */
    absl::Duration retryAfter;
    /** Until when the token of an admitted request may be given back; infinite past if it needed none. */
    absl::Time tokenExpires = absl::InfinitePast();

    bool operator==(const QuotaDecision &) const = default;
};

/**
 * Keeps the requests of each organisation within its quota over all hosts. The holders of an organisation's quota grant tokens; a host
 * takes one for each request, holds a few for the requests that it expects, and asks the holders for more.
 */
class OrganisationQuotas
{
public:
    /** For how long a holder that has not answered is passed over, unless it answers late. */
    static constexpr absl::Duration silentHolderPause = absl::Milliseconds(500);
    /** Longest time for which a request waits for tokens. */
    static constexpr absl::Duration maxWait = absl::Milliseconds(90);
    /** Requests of one organisation that may wait at one host. */
    static constexpr std::size_t maxWaiting = 1000;
    static constexpr absl::Duration maxRetryAfter = absl::Seconds(5);
    /** Tokens ahead of requests that a holder has denied are not asked for again before this time is over. */
    static constexpr absl::Duration askAheadInterval = absl::Milliseconds(100);
    /** How often tokens that expire are asked for anew. */
    static constexpr absl::Duration renewalInterval = absl::Milliseconds(40);
    /** An organisation of which a request was refused within this time uses all tokens that it gets. */
    static constexpr absl::Duration exhaustedPeriod = absl::Seconds(1);

    /** A host that has not called setMembers() for this long was suspended, and other hosts may hold its shares. */
    static constexpr absl::Duration maxSuspension = absl::Seconds(1);

    struct Hooks {
        std::function<void(const std::string &host, const QuotaQuery &)> ask;
        std::function<void(const std::string &host, const QuotaGrant &)> answer;
    };
    struct Counts {
        std::uint64_t queries = 0;
        std::uint64_t tokensAsked = 0;
        std::uint64_t tokensGranted = 0;
        std::uint64_t tokensDenied = 0;
        std::uint64_t requestsRefused = 0;
        std::uint64_t answersMissed = 0;
        std::uint64_t tokensAskedOfThisHost = 0;
        std::uint64_t tokensGrantedByThisHost = 0;

        bool operator==(const Counts &) const = default;
    };
    using Handler = std::function<void(const QuotaDecision &)>;

    /** @p firstQuery is a random number, so that answers to an earlier run of this host match no query. */
    OrganisationQuotas(LimitMember self, absl::Time startedAt, std::uint64_t firstQuery, Hooks hooks);

    /** Puts the quotas in force; organisations without one are left out. */
    void setOrganisations(const std::vector<Organisation> &organisations, absl::Time now);
    /** Puts the known hosts in force, this one included. Called many times a second. */
    void setMembers(std::vector<LimitMember> members, bool expectsOthers, absl::Time now);
    /** A holder that has not answered after @p timeout is passed over; 50 ms unless it is set. */
    void setAnswerTimeout(absl::Duration timeout);
    /**
     * Decides on a request, with @p done called at once or within maxWait. An organisation without a quota is not limited.
     */
    void admit(const std::string &organisation, absl::Time now, Handler done);
    /** Takes back the token of a request that has certainly not run. */
    void giveBack(const std::string &organisation, const QuotaDecision &decision, absl::Time now);
    /** Answers the query of another host. */
    void receive(const std::string &host, const QuotaQuery &query, absl::Time now);
    /** Applies the answer of a holder; ignores one that belongs to no query. */
    void receive(const std::string &host, const QuotaGrant &grant, absl::Time now);
    /**
     * Ends the waiting of requests, passes over holders that don't answer, and replaces tokens that expire. Called every few milliseconds
     * while hasPending().
     */
    void tick(absl::Time now);
    /** Whether requests wait, an answer is due, or tokens are held for expected requests. */
    [[nodiscard]] bool hasPending() const;
    [[nodiscard]] bool hasQuotas() const;
    [[nodiscard]] const Counts &counts() const;

private:
    struct Waiting {
        absl::Time deadline;
        Handler done;
    };
    struct Query {
        std::uint64_t number = 0;
        std::string holder;
        absl::Time askedAt;
        std::uint32_t needed = 0;
        std::uint32_t ahead = 0;
    };
    /** When a holder may be asked again after it has denied tokens. */
    struct AskAgain {
        absl::Time needed = absl::InfinitePast();
        absl::Time ahead = absl::InfinitePast();
    };
    /** What this host knows of one organisation with a quota. */
    struct Account {
        Organisation organisation;
        QuotaTerms terms;
        QuotaLease lease;
        std::deque<Waiting> waiting;
        /** The query whose answer is due. */
        std::optional<Query> query;
        /** Queries that were passed over. Their answers still bring tokens. */
        std::vector<Query> lateQueries;
        std::map<std::string, AskAgain> askAgain;
        std::vector<std::string> holders;
        /** Change of the hosts at which the holders were chosen; empty when they must be chosen anew. */
        std::optional<std::uint64_t> holdersRevision;
        absl::Time lastRefusal = absl::InfinitePast();
        /** When the last refused caller was told to come back. */
        absl::Time lastRetryAt = absl::InfinitePast();
        /** The bucket of this host, if it is a holder. */
        std::optional<QuotaBucket> bucket;
        absl::Time shareCheckedAt = absl::InfinitePast();
        absl::Time shareValidUntil = absl::InfinitePast();
        std::uint64_t shareRevision = 0;
    };

    [[nodiscard]] Account *find(const std::string &organisation);
    /** Gives waiting requests their tokens, and asks a holder for those that are missing. */
    void serve(Account &account, absl::Time now);
    void serveWaiting(Account &account, absl::Time now);
    /** Asks the next holder that may have tokens. Returns whether one was asked. */
    bool askNextHolder(Account &account, absl::Time now);
    void ask(Account &account, const std::string &holder, std::uint32_t needed, std::uint32_t ahead, absl::Time now);
    void applyGrant(Account &account, const Query &query, const QuotaGrant &grant, absl::Time now);
    void refuseWaiting(Account &account, absl::Time now);
    [[nodiscard]] QuotaDecision refusal(Account &account, absl::Time now);
    /** Grants tokens of this host's bucket. */
    QuotaGrant grant(Account &account, const QuotaQuery &query, absl::Time now);
    void updateShare(Account &account, absl::Time now);
    [[nodiscard]] const std::vector<std::string> &holdersOf(Account &account);
    /** Lets the parts of this host begin anew, as after a start of the process. */
    void forgetShares(absl::Time now);
    void renewExpiring(absl::Time now);
    void passOver(Account &account, absl::Time now);

    LimitMember self;
    Hooks hooks;
    QuotaHolders quotaHolders;
    absl::Time membersSetAt = absl::InfiniteFuture();
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<Account>> accounts;
    /** Organisations with requests that wait or a query whose answer is due. */
    std::set<std::uint64_t> pending;
    /** Organisations for whose expected requests tokens are held. */
    std::set<std::uint64_t> expected;
    absl::Time renewedAt = absl::InfinitePast();
    absl::Duration answerTimeout = absl::Milliseconds(50);
    /** Holders that have not answered, each with the time until which it is passed over. */
    std::map<std::string, absl::Time> silentHolders;
    std::uint64_t nextQuery;
    Counts counted;
};

} // namespace Bergamotramp
