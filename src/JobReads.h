#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <absl/time/time.h>

#include "EventLoop.h"
#include "JobEntry.h"
#include "JsonLog.h"

namespace Bergamotramp {

/** Answers reads of the results of jobs: from memory where this host knows all results, otherwise from the store. */
class JobReads
{
public:
    using LookUpHandler = std::function<void(JobLookup, JobEntry *)>;

    struct Hooks {
        /** Finds a job in memory, or else reads its header from the store. */
        std::function<void(const std::string &jobId, LookUpHandler done)> lookUp;
        /** The job in memory, or null. */
        std::function<JobEntry *(const std::string &jobId)> find;
        /** Reads the results that this host does not have yet. */
        std::function<void(JobEntry &entry, std::function<void(StoreResult)> done)> loadResults;
        std::function<bool(const JobEntry &entry)> runsHere;
    };

    JobReads(EventLoop &loop, JsonLog &log, Hooks hooks);

    /** Reads the results from @p position on. If there is none yet, waits up to @p wait for the first one. */
    void read(const std::string &jobId, std::size_t position, absl::Duration wait, std::function<void(JobLookup, const JobPage &)> done);
    /** Serves the waiting reads whose wait is over, that have results now, or that this host can not answer alone. */
    void resume(JobEntry &entry);

private:
    void serveRead(const std::string &jobId, const std::shared_ptr<ResultRead> &read);
    void serveReadAsRunner(JobEntry &entry, const std::shared_ptr<ResultRead> &read);
    void loadForRead(JobEntry &entry, const std::shared_ptr<ResultRead> &read);
    void serveLoadedRead(JobEntry &entry, const std::shared_ptr<ResultRead> &read);
    /** Answers that there are no results, unless the look at the store that showed it has become old. */
    void denyLoadedResults(JobEntry &entry, const ResultRead &read);
    /** Keeps a read of a job that runs here until there are results or its wait is over. */
    void holdRead(JobEntry &entry, const std::shared_ptr<ResultRead> &read);
    [[nodiscard]] static bool hasResultsFor(const JobEntry &entry, const ResultRead &read);
    [[nodiscard]] bool mayWait(const JobEntry &entry, const ResultRead &read) const;
    /** Whether the job runs here and its results are in memory. */
    [[nodiscard]] bool runsWithResults(const JobEntry &entry) const;
    /** Whether the results in memory are all that any host may have shown. */
    [[nodiscard]] bool knowsAllResults(const JobEntry &entry) const;
    /** Answers a read with the results that this host has, and logs it. */
    void sendPage(JobEntry &entry, std::size_t position, ReadSource source, const std::function<void(JobLookup, const JobPage &)> &done);
    /** Logs an answered read unless it shows the same as the last logged one of the job. */
    void logRead(JobEntry &entry, std::size_t position, const JobPage &page, ReadSource source);

    EventLoop &loop;
    JsonLog &log;
    Hooks hooks;
};

} // namespace Bergamotramp
