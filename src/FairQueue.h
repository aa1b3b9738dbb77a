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
 * Queue that is fair between organisations by virtual time (start-time fair queueing): the organisation that received
 * least comes next. Within an organisation, entries are ordered by a time and then by arrival. Each organisation has a
 * lane for short requests and one for long ones, so that blocked long requests do not hold up short ones.
 */
class FairQueue
{
public:
    enum class Lane {
        Short,
        Long,
    };
    /** Where an entry is; needed to erase it. */
    struct Place {
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
        /** Organisations whose first entry has a lower rank are served first; may be empty. */
        std::function<int(absl::Time order)> rank;
    };

    /** Organisations whose received work is remembered while they have nothing queued; the lowest are dropped first. */
    static constexpr std::size_t maxIdleOrganisations = 4096;

    Place push(const std::string &organisation, Lane lane, absl::Time order, const GrantId &id);
    void erase(const Place &place);
    /** Removes and returns the next entry that the filter accepts, and charges @p cost of it to its organisation. */
    std::optional<GrantId> pop(const Filter &filter, const std::function<double(const GrantId &)> &cost);
    /** Calls @p visit for every entry, lane by lane, until it returns false. */
    void forEach(bool longLane, const std::function<bool(const GrantId &)> &visit) const;
    /** Entries that are served before the last one of @p organisation when all cost the same. */
    [[nodiscard]] std::size_t aheadOfLast(const std::string &organisation) const;
    [[nodiscard]] std::size_t size() const;
    /** Drops what needs no memory any more. */
    void prune();

private:
    using Key = std::pair<absl::Time, std::uint64_t>;
    using Items = std::map<Key, GrantId>;
    struct Organisation {
        double virtualTime = 0.0;
        std::array<Items, 2> lanes;

        [[nodiscard]] std::size_t size() const;
    };
    struct Candidate {
        int rank = 0;
        double virtualTime = 0.0;
        Organisation *organisation = nullptr;

        bool operator<(const Candidate &other) const;
    };

    [[nodiscard]] std::vector<Candidate> candidates(const Filter &filter);
    static std::optional<GrantId> take(Organisation &organisation, const Filter &filter);

    std::map<std::string, Organisation> organisations;
    double virtualTime = 0.0;
    std::uint64_t nextArrival = 1;
    std::size_t count = 0;
};

} // namespace Bergamotramp
