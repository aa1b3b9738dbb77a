#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "EventLoop.h"
#include "Job.h"
#include "ObjectStore.h"
#include "ResultLease.h"

namespace Bergamotramp {

/** Outcome of looking up a job or one of its items. */
enum class JobLookup {
    Found,
    NotFound,
    /** The store did not answer, or the stored objects are malformed; the job may exist. */
    Unknown,
};

/** A read of the results from a position on. */
struct ResultRead {
    std::size_t position = 0;
    absl::Time received;
    /** Until then the read waits if there is no result. */
    absl::Time waitUntil;
    std::function<void(JobLookup, const JobPage &)> done;
    LoopTimer timer{};
};

/** Where the answer to a read comes from. */
enum class ReadSource {
    /** Results that this host had in memory. */
    Memory,
    /** The store was read for the answer. */
    Store,
};

/** What an answered read shows of the answering host's copy of a job. */
struct ReadTrace {
    ReadSource source = ReadSource::Memory;
    /** Whether the answer had no result. */
    bool empty = false;
    std::size_t knownResults = 0;
    std::uint64_t knownObjects = 0;
    std::uint64_t revision = 0;
    bool runsHere = false;
    bool fenced = false;

    bool operator==(const ReadTrace &) const = default;
};

/** What this host knows of one job. */
struct JobEntry {
    /** The host that runs the job, live or not. */
    [[nodiscard]] const std::string &runner() const;

    JobRecord header;
    JobProgress progress;
    std::uint64_t revision = 0;
    std::unique_ptr<Job> job;
    bool itemsLoaded = false;
    /**
     * Whether the known result objects are all, except for those that another host adds after it has taken the job over. A runner
     * that has loaded the job from the store first creates an empty result object, so that a delayed write of the former runner fails
     * with a conflict.
     */
    bool fenced = false;
    /** For a fenced runner: whether no other host has added results. */
    ResultLease lease;
    /** A result object of another host has turned up, so the header is read before the next fence. */
    bool runnerDoubtful = false;
    bool checkingRunner = false;
    /** Number of the result object whose create call got no answer. While it is the next number, the object may exist. */
    std::optional<std::uint64_t> unansweredObject;
    bool loading = false;
    std::uint64_t loadNumber = 0;
    absl::Time loadStartedAt = absl::InfinitePast();
    /** When the call was sent that last found the end of the results; includes the time for which the host was suspended. */
    absl::Time endSeenAt = absl::InfinitePast();
    bool appending = false;
    bool writingProgress = false;
    absl::Time retryAt = absl::InfinitePast();
    /** Since when this host has known that the runner is lost; infinite future while it is live. */
    absl::Time runnerLostSince = absl::InfiniteFuture();
    /** Since when the configuration has had no route for the job; infinite future while it has one. */
    absl::Time routeMissingSince = absl::InfiniteFuture();
    /** After a fence no results are stored before this time: another host may have a lease. */
    absl::Time appendNotBefore = absl::InfinitePast();
    absl::Time progressWrittenAt = absl::InfinitePast();
    absl::Time unstoredSince = absl::InfiniteFuture();
    absl::Time lastReadAt = absl::InfinitePast();
    /** The last read in the log. */
    std::optional<ReadTrace> loggedRead;
    std::vector<std::function<void(StoreResult)>> loadCallbacks;
    std::list<std::shared_ptr<ResultRead>> pendingReads;
};

} // namespace Bergamotramp
