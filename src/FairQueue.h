#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <absl/time/time.h>

#include "SlotTypes.h"

namespace Bergamotramp {

/**
 * Queue that is fair between organisations by virtual time (start-time fair queueing): the organisation that has
 * received the least service comes next. Within an organisation, entries are sorted by the time in @c order and then by
 * arrival. Each organisation has one lane for short and one for long requests, so that long requests that have to wait
 * do not block short ones.
 */
class FairQueue
{
public:
    enum class Lane {
        Short,
        Long,
    };
    /** Position of an entry; needed to erase it. */
    struct Position {
        std::string organisation;
        Lane lane = Lane::Short;
        absl::Time order;
        std::uint64_t arrival = 0;
    };
    struct Filter {
        /** Whether entries of the long lane may be taken. */
        bool longLane = true;
        /** Whether this entry can be served now. */
        std::function<bool(const GrantId &)> accept;
        /**
         * Rank of an organisation by the order of its first entry; lower ranks are served first. Without this function,
         * all organisations have the same rank.
         */
        std::function<int(absl::Time order)> rank;
    };

    /** Organisations whose virtual time is kept while they have nothing queued; the lowest are dropped first. */
    static constexpr std::size_t maxIdleOrganisations = 4096;

    Position push(const std::string &organisation, Lane lane, absl::Time order, const GrantId &id);
    void erase(const Position &position);
    /** Removes and returns the next entry that the filter accepts, and charges its @p cost to its organisation. */
    std::optional<GrantId> pop(const Filter &filter, const std::function<double(const GrantId &)> &cost);
    /** Calls @p visit for every entry, by organisation and lane, until it returns false. The long lanes are optional. */
    void forEach(bool longLane, const std::function<bool(const GrantId &)> &visit) const;
    /** Number of entries that are served before the last one of @p organisation if all have the same cost. */
    [[nodiscard]] std::size_t aheadOfLast(const std::string &organisation) const;
    [[nodiscard]] std::size_t size() const;
    /** Drops idle organisations whose virtual time no longer affects the order, and those beyond maxIdleOrganisations. */
    void prune();

private:
    using Key = std::pair<absl::Time, std::uint64_t>;
    using Items = std::map<Key, GrantId>;
    /** Entries and received service of one organisation. */
    struct Organisation {
        double virtualTime = 0.0;
        std::array<Items, 2> lanes;

        [[nodiscard]] std::size_t size() const;
    };
    /** An organisation with entries; sorted by rank and then by virtual time. */
    struct Candidate {
        int rank = 0;
        double virtualTime = 0.0;
        Organisation *organisation = nullptr;

        bool operator<(const Candidate &other) const;
    };

    [[nodiscard]] std::vector<Candidate> candidates(const Filter &filter);
    static std::optional<GrantId> takeFirstAccepted(Organisation &organisation, const Filter &filter);

    std::map<std::string, Organisation> organisations;
    /** Largest virtual time at which an organisation was served. */
    double virtualTime = 0.0;
    std::uint64_t nextArrival = 1;
    std::size_t count = 0;
};

} // namespace Bergamotramp
