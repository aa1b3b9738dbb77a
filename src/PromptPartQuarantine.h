#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

namespace Bergamotramp {

/** Loss of a connection, before any content of an answer, to one start of an upstream that ran a request with the part. */
struct PartCrash {
    /** When the connection was lost. */
    absl::Time lost;
    /** When the request was sent. */
    absl::Time sent;
    /** Identifies the upstream together with its start time; the same on all hosts. */
    std::uint64_t upstreamStart = 0;

    bool operator==(const PartCrash &) const = default;
    bool operator<(const PartCrash &other) const;
};

/** What one host tells the others about a part of prompts. */
struct PartReport {
    std::uint64_t part = 0;
    std::vector<PartCrash> crashes;
    /** When an answer to a request with the part last began at the reporting host and cleared the part; infinite past if never. */
    absl::Time clearedAt = absl::InfinitePast();
    /** When the reporting host last started a trial; infinite past if never. */
    absl::Time trialAt = absl::InfinitePast();
    /** When a request with the part was last refused or crashed an upstream, as far as the reporting host knows. */
    absl::Time requestedAt = absl::InfinitePast();

    bool operator==(const PartReport &) const = default;
};

/** How an event or a report changed the state of a part. */
enum class PartChange {
    None,
    /** A further crash is known. */
    Charged,
    Quarantined,
    /** The crashes known so far do not count any more. */
    Cleared,
    /** The same, and the part was quarantined. */
    Lifted,
};

enum class PartVerdict {
    Admitted,
    /** The request may run once, without a retry, to find out whether its quarantined parts still crash upstreams. */
    Trial,
    Refused,
};

/** Whether a request may be sent to an upstream. */
struct PartAdmission {
    PartVerdict verdict = PartVerdict::Admitted;
    /** The quarantined parts of the request. */
    std::vector<std::uint64_t> quarantined;
    /** For a refusal: when the request is worth another attempt. */
    absl::Duration retryAfter = absl::ZeroDuration();

    bool operator==(const PartAdmission &) const = default;
};

/**
 * Parts of prompts on which upstreams crash. Requests that share a part are otherwise different, so each of them would crash further
 * upstreams. All shared parts of a request are charged with a crash; an answer that begins clears all of its parts. A part with enough
 * crashes that no answer has cleared is quarantined: its requests are refused but for rare trials, the first of which lifts the
 * quarantine if its answer begins. All hosts merge the crashes that any of them has seen.
 */
class PromptPartQuarantine
{
public:
    static constexpr std::size_t crashesToQuarantine = 3;
    /** The same for a part with which an answer has begun at this host within provenLifetime. */
    static constexpr std::size_t crashesToQuarantineProven = 5;
    /** A crash counts only if its request was sent this long after the crash counted before, so that failures at one moment are one. */
    static constexpr absl::Duration minCrashDistance = absl::Milliseconds(50);
    static constexpr absl::Duration minCrashDistanceProven = absl::Milliseconds(500);
    static constexpr absl::Duration suspectLifetime = absl::Minutes(10);
    /** A quarantine ends after this time without a request for the part. */
    static constexpr absl::Duration quarantineLifetime = absl::Hours(1);
    static constexpr absl::Duration provenLifetime = absl::Minutes(10);
    /** Shortest Retry-After of a refusal. */
    static constexpr absl::Duration minRetryAfter = absl::Seconds(5);
    /** Parts that are charged or were cleared lately. */
    static constexpr std::size_t maxParts = 4096;
    /** Crashes that are kept for a part: those that count for a proven part, and of the others the newest ones. */
    static constexpr std::size_t maxCrashesPerPart = 12;
    static constexpr std::size_t maxProvenParts = 8192;

    /** Records a crash seen by this host. */
    PartChange recordCrash(std::uint64_t part, const PartCrash &crash, absl::Time now);
    /** Records that the answer to a request with the part has begun. Any change has to be announced. */
    PartChange recordAnswer(std::uint64_t part, absl::Time now);
    /** Merges what another host reports. */
    PartChange merge(const PartReport &report, absl::Time now);
    /**
     * Decides on a request with these parts, which is about to be sent. @p mayBeTrial tells whether it may be a trial. @p trialDelay returns
     * how long after the time at which a trial of the part is due this host may start it; it differs between the hosts, so that one of
     * them makes the trial. A trial has to be announced.
     */
    PartAdmission admit(const std::vector<std::uint64_t> &parts,
                        bool mayBeTrial,
                        const std::function<absl::Duration(std::uint64_t)> &trialDelay,
                        absl::Time now);

    /** Crashes of the part that count. */
    [[nodiscard]] std::size_t crashes(std::uint64_t part, absl::Time now) const;
    [[nodiscard]] bool isQuarantined(std::uint64_t part, absl::Time now) const;
    /** Whether the part has a crash that counts and no answer with it has begun at this host. */
    [[nodiscard]] bool isSuspect(std::uint64_t part, absl::Time now) const;
    /** What this host announces about the part; nothing when nothing is known of it. */
    [[nodiscard]] std::optional<PartReport> report(std::uint64_t part) const;
    /** Up to @p maximum quarantined parts, those with the newest requests first. */
    [[nodiscard]] std::vector<std::uint64_t> quarantinedParts(std::size_t maximum, absl::Time now) const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t provenCount() const;

private:
    struct Record {
        /** In ascending order, also those that no longer count, so that a repeated report does not count them again. */
        std::vector<PartCrash> crashes;
        absl::Time clearedAt = absl::InfinitePast();
        absl::Time ownClearedAt = absl::InfinitePast();
        absl::Time trialAt = absl::InfinitePast();
        absl::Time ownTrialAt = absl::InfinitePast();
        /** Number of trials since the last clear that this host has made or learned of. */
        std::size_t trials = 0;
        absl::Time requestedAt = absl::InfinitePast();
        /** Fewest quarantined parts of one refused request with this part since fewestSince. */
        std::size_t fewestTogether = 0;
        absl::Time fewestSince = absl::InfinitePast();
    };

    [[nodiscard]] bool isProven(std::uint64_t part, absl::Time now) const;
    [[nodiscard]] std::size_t threshold(std::uint64_t part, absl::Time now) const;
    [[nodiscard]] std::size_t count(std::uint64_t part, const Record &record, absl::Time now) const;
    [[nodiscard]] static absl::Time nextTrial(const Record &record);
    static void recordTrial(Record &record, absl::Time trialAt);
    [[nodiscard]] static absl::Time newestCrash(const Record &record);
    [[nodiscard]] PartChange changeSince(std::size_t countBefore, bool quarantinedBefore, std::uint64_t part, absl::Time now) const;
    void addProven(std::uint64_t part, absl::Time now);
    static void insert(Record &record, const PartCrash &crash);
    /** The crash to drop when there are too many. */
    [[nodiscard]] static std::vector<PartCrash>::iterator leastInformative(Record &record);
    static void noteRefusal(Record &record, std::size_t together, absl::Time now);
    Record &recordOf(std::uint64_t part, absl::Time now);
    /** Makes room: drops the parts with the fewest crashes that count, of these the ones with the oldest crashes. */
    void evictOldest(absl::Time now);

    absl::flat_hash_map<std::uint64_t, Record> records;
    // Two generations: the older one is dropped as a whole, which needs no time stamp for each part.
    absl::flat_hash_set<std::uint64_t> proven;
    absl::flat_hash_set<std::uint64_t> provenBefore;
    absl::Time provenSince = absl::InfinitePast();
};

} // namespace Bergamotramp
