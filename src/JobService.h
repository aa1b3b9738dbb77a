#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "EntryMetrics.h"
#include "Job.h"
#include "JobArchive.h"
#include "JsonLog.h"
#include "RoutingConfig.h"
#include "UpstreamAttempt.h"
#include "UpstreamChoice.h"

namespace Bergamotramp {

/** What became of a submission. */
enum class SubmitResult {
    Accepted,
    /** The limit on waiting tokens leaves no room. */
    TooMuchWaiting,
    /** Certainly not accepted. */
    Unavailable,
    /** May have been accepted. */
    Unknown,
};

/** What is known of a job that a caller asks for. */
enum class JobLookup {
    Found,
    Missing,
    /** The store does not answer, so that nothing can be said. */
    Unsure,
};

/** What job work needs of the host. */
struct JobContext {
    AttemptContext attempts;
    ObjectStore &store;
    const UpstreamChoice &choice;
    const UpstreamTable &upstreams;
    JsonLog &log;
    EntryMetrics &metrics;
    /** Name of this host, and of this run of it as a writer. */
    std::string host;
    std::string writer;
    /** The configuration in force, or null. */
    std::function<std::shared_ptr<const RoutingConfig>()> config;
    /** The host that is to run a job: @p runner while it lives, else one of those that live now. */
    std::function<std::string(const std::string &jobId, const std::string &runner)> runningHost;
    /** A call got no answer, so that the store may be gone. */
    std::function<void()> storeUnanswered;
};

/** Accepts jobs, runs those of this host and answers for all. Results are shown only once they are stored. */
class JobService
{
public:
    explicit JobService(const JobContext &context);
    ~JobService();
    JobService(const JobService &) = delete;
    JobService &operator=(const JobService &) = delete;

    void submit(const SubmittedJob &submission, const Route &route, const std::string &host, absl::Time giveUpAt, std::function<void(SubmitResult)> done);
    /** The host that runs a job. */
    void locate(const std::string &jobId, std::function<void(JobLookup, const std::string &host)> done);
    /** Results from a position on; waits up to @p wait for one. */
    void read(const std::string &jobId, std::size_t position, absl::Duration wait, std::function<void(JobLookup, const JobPage &)> done);
    void itemBody(const std::string &jobId, const std::string &itemId, std::function<void(JobLookup, const std::string &body)> done);
    void cancel(const std::string &jobId, absl::Time giveUpAt, std::function<void(JobLookup)> done);
    /** Reads a job's header again, because another host has changed it. */
    void refresh(const std::string &jobId);

    /** Takes the complete list of job headers. */
    void setHeaders(const std::vector<ObjectRecord> &objects);
    void changeHeader(const ObjectChange &change);
    /** Starts, stops and stores what is due; called several times a second. */
    void tick();
    /** Takes no more work and leaves the running items to the other hosts. */
    void stop();
    [[nodiscard]] std::size_t runningItems() const;

private:
    struct Run {
        std::string jobId;
        std::size_t item = 0;
        std::string service;
        absl::Time started;
        int maxFailures = 1;
        std::unique_ptr<UpstreamAttempt> attempt;
    };
    struct Reader {
        std::size_t position = 0;
        std::function<void(JobLookup, const JobPage &)> done;
        LoopTimer timer;
    };
    struct Entry {
        JobRecord header;
        JobProgress progress;
        std::uint64_t revision = 0;
        std::unique_ptr<Job> job;
        bool itemsLoaded = false;
        /**
         * Whether no other run of a host can add results any more without this one's learning of it. A runner that has
         * read the job from the store stores an empty object first: a late write of the former runner then fails.
         */
        bool fenced = false;
        bool loading = false;
        bool appending = false;
        bool writingProgress = false;
        absl::Time retryAt = absl::InfinitePast();
        /** A host that took the job over shows no results of its own before this. */
        absl::Time appendFrom = absl::InfinitePast();
        absl::Time progressAt = absl::InfinitePast();
        absl::Time unstoredSince = absl::InfiniteFuture();
        absl::Time lastUse = absl::InfinitePast();
        std::vector<std::function<void(StoreResult)>> loaders;
        std::list<std::shared_ptr<Reader>> readers;
    };
    using LookupHandler = std::function<void(JobLookup, Entry *)>;

    Entry *adopt(const ObjectRecord &object);
    void lookUp(const std::string &jobId, LookupHandler done);
    [[nodiscard]] std::int64_t waitingTokens(const std::string &host, const std::string &pathPrefix) const;
    void writeItems(const SubmittedJob &submission, JobRecord header, absl::Time giveUpAt, std::function<void(SubmitResult)> done);
    void writeHeader(const SubmittedJob &submission, const JobRecord &header, bool unanswered, absl::Time giveUpAt, std::function<void(SubmitResult)> done);
    void load(Entry &entry, bool withItems, std::function<void(StoreResult)> done);
    void loadResults(const std::string &jobId);
    void loaded(const std::string &jobId, StoreResult result);
    void readLoaded(Entry &entry, std::size_t position, absl::Duration wait, std::function<void(JobLookup, const JobPage &)> done);
    void answerReaders(Entry &entry);
    void writeCancel(const std::string &jobId, std::uint64_t revision, JobProgress progress, absl::Time giveUpAt, std::function<void(JobLookup)> done);
    [[nodiscard]] static const std::string &runnerOf(const Entry &entry);
    [[nodiscard]] bool runsHere(const Entry &entry) const;
    void takeOver(Entry &entry, absl::Time now);
    void storeFailed(Entry &entry, StoreResult result);
    void tickEntry(Entry &entry, absl::Time now);
    [[nodiscard]] bool nearLimit(const Entry &entry) const;
    void appendWhenDue(Entry &entry, absl::Time now);
    void append(Entry &entry);
    void fence(Entry &entry);
    /** Creates the next object of a job's results; @p fencedAfter tells whether the job is fenced once it is there. */
    void createNext(Entry &entry, const std::vector<JobResult> &wanted, const char *event, std::function<bool(const Entry &, bool own)> fencedAfter);
    void writeProgress(Entry &entry);
    void startItems(absl::Time now);
    [[nodiscard]] std::int64_t startsThisRound(const std::vector<Entry *> &candidates, const RoutingConfig &config, absl::Time now);
    bool startItem(Entry &entry, const RoutingConfig &config, absl::Time now);
    void onItemEvent(const std::shared_ptr<Run> &run, const StreamEvent &event);
    void onItemEnded(const std::shared_ptr<Run> &run, const AttemptResult &result);
    void endRun(const std::shared_ptr<Run> &run, RunEnd end);
    void stopRuns(const std::string &jobId);
    void yieldToOnline(absl::Time now);
    void replaceSilent(absl::Time now);
    void forgetOld(absl::Time now);

    JobContext context;
    JobArchive archive;
    std::map<std::string, Entry> entries;
    std::list<std::shared_ptr<Run>> runs;
    absl::Time startedAt;
    absl::Time nextRound = absl::InfinitePast();
    std::map<std::string, absl::Time> yieldedAt;
    bool stopping = false;
};

} // namespace Bergamotramp
