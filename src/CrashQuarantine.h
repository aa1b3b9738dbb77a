#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

namespace Bergamotramp {

/**
 * Fingerprints of requests that were in flight when an upstream of one service crashed. After the first crash a
 * fingerprint is a suspect and its requests run alone on an upstream. After crashesToQuarantine crashes it is
 * quarantined and its online requests are denied; batch items are owed and keep running alone. A fingerprint that has completed within completionLifetime is
 * harmless: its crashes are not counted. Fingerprint 0 stands for an unknown request and is ignored.
 */
class CrashQuarantine
{
public:
    /**
     * Fingerprints kept at once. The one whose last crash is oldest is dropped first, suspects before quarantined ones.
     */
    static constexpr std::size_t maxFingerprints = 8192;
    static constexpr std::uint32_t crashesToQuarantine = 3;
    static constexpr absl::Duration suspectLifetime = absl::Minutes(10);
    /** A suspect runs again no earlier than this after its first crash. */
    static constexpr absl::Duration suspectRetryDelay = absl::Milliseconds(500);
    /** The same after any later crash. */
    static constexpr absl::Duration repeatedSuspectRetryDelay = absl::Seconds(5);
    static constexpr absl::Duration quarantineLifetime = absl::Hours(24);
    /**
     * A completed fingerprint is harmless for this long at least, and for three times as long at most, unless maxFingerprints / 2 others
     * complete meanwhile.
     */
    static constexpr absl::Duration completionLifetime = absl::Minutes(10);

    /** Counts one crash against each of @p fingerprints and returns them with their new counts. */
    std::vector<std::pair<std::uint64_t, std::uint32_t>> recordCrash(std::vector<std::uint64_t> fingerprints, absl::Time now);
    /**
     * Counts a crash of @p upstream against the request, which ran there since @p started, and returns the new count. Returns nothing
     * when the crash does not count: the request is harmless, or another copy of it has been counted for the same crash.
     */
    std::optional<std::uint32_t> recordCrash(std::uint64_t fingerprint, std::string_view upstream, absl::Time started, absl::Time now);
    /** Records that the request has completed, and clears it also from quarantine. Returns whether it had a crash count. */
    bool recordCompletion(std::uint64_t fingerprint, absl::Time now);
    /** Merges the count that another host announced; 0 clears a suspect. Returns whether anything changed. */
    bool merge(std::uint64_t fingerprint, std::uint32_t crashes, absl::Time now);
    /**
     * Clears a suspect that completed while it ran alone; a quarantined fingerprint stays. Returns whether it was a
     * suspect.
     */
    bool clear(std::uint64_t fingerprint);

    [[nodiscard]] bool isSuspect(std::uint64_t fingerprint, absl::Time now) const;
    /** Whether a request with this fingerprint may run only alone on an upstream: it has a crash within suspectLifetime. */
    [[nodiscard]] bool mustRunAlone(std::uint64_t fingerprint, absl::Time now) const;
    /** Whether the retry delay after the last crash is over. */
    [[nodiscard]] bool mayRetry(std::uint64_t fingerprint, absl::Time now) const;
    [[nodiscard]] bool isQuarantined(std::uint64_t fingerprint, absl::Time now) const;
    [[nodiscard]] std::size_t size() const;
    /** Number of fingerprints that are kept as harmless. */
    [[nodiscard]] std::size_t completedCount() const;
    /** Fingerprints and crash counts, for the status and for a host that joins. */
    [[nodiscard]] std::vector<std::pair<std::uint64_t, std::uint32_t>> list() const;

private:
    struct Record {
        std::uint32_t crashes = 0;
        absl::Time lastCrash;
        /** The upstream of the last crash; empty when it is unknown. */
        std::string upstream{};
    };

    [[nodiscard]] bool isHarmless(std::uint64_t fingerprint, absl::Time now) const;
    [[nodiscard]] const Record *find(std::uint64_t fingerprint, absl::Time now) const;
    void store(std::uint64_t fingerprint, std::uint32_t crashes, absl::Time now);
    void evictOldest();

    absl::flat_hash_map<std::uint64_t, Record> records;
    // Completed fingerprints in two generations: the older one is dropped as a whole, which needs no time stamp for each of them.
    absl::flat_hash_set<std::uint64_t> completed;
    absl::flat_hash_set<std::uint64_t> completedBefore;
    absl::Time completedSince = absl::InfinitePast();
};

} // namespace Bergamotramp
