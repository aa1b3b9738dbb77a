#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include "CrashCount.h"

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

    /**
     * Counts a crash of @p upstream against the request, which ran there since @p started, and returns the new count. Returns nothing
     * when the crash does not count: the request is harmless, or the crash has been counted for another copy of it, here or by another host.
     */
    std::optional<std::uint32_t> recordCrash(std::uint64_t fingerprint, std::string_view upstream, absl::Time started, absl::Time now);
    /** Records that the request has completed, and clears it also from quarantine. Returns whether it had a crash count. */
    bool recordCompletion(std::uint64_t fingerprint, absl::Time now);
    /** Merges the count that another host announced; 0 clears a suspect. Returns whether anything changed. */
    bool merge(std::uint64_t fingerprint, std::uint32_t crashes, absl::Time now);
    /** The same, by upstream: crashes of different upstreams add up, whichever hosts counted them. */
    bool merge(const CrashCount &count, absl::Time now);
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
    /** The crash count of a fingerprint. */
    [[nodiscard]] CrashCount count(std::uint64_t fingerprint) const;
    /** All crash counts in order of the fingerprints, for a host that joins. */
    [[nodiscard]] std::vector<CrashCount> list() const;

private:
    struct UpstreamRecord {
        std::uint32_t crashes = 0;
        /** When this host learnt of the last crash. */
        absl::Time lastCrash = absl::InfinitePast();
    };
    struct Record {
        std::uint32_t crashes = 0;
        absl::Time lastCrash;
        std::map<std::string, UpstreamRecord, std::less<>> upstreams;
    };

    [[nodiscard]] bool isHarmless(std::uint64_t fingerprint, absl::Time now) const;
    [[nodiscard]] const Record *find(std::uint64_t fingerprint, absl::Time now) const;
    Record &findOrCreate(std::uint64_t fingerprint, absl::Time now);
    [[nodiscard]] static CrashCount countOf(std::uint64_t fingerprint, const Record &record);
    void evictOldest();

    absl::flat_hash_map<std::uint64_t, Record> records;
    // Completed fingerprints in two generations: the older one is dropped as a whole, which needs no time stamp for each of them.
    absl::flat_hash_set<std::uint64_t> completed;
    absl::flat_hash_set<std::uint64_t> completedBefore;
    absl::Time completedSince = absl::InfinitePast();
};

} // namespace Bergamotramp
