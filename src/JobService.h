#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "BatchOrder.h"
#include "EntryMetrics.h"
#include "ItemPlacement.h"
#include "JobAccess.h"
#include "JobArchive.h"
#include "JobEntry.h"
#include "JobReads.h"
#include "JobWriter.h"
#include "JsonLog.h"
#include "RoutingConfig.h"
#include "UpstreamAttempt.h"
#include "UpstreamSelector.h"

namespace Bergamotramp {

/** Outcome of a submission. */
enum class SubmitResult {
    Accepted,
    /** Refused: the job would exceed the route's limit on waiting tokens. */
    WaitingTokenLimitReached,
    /** The store can not be used; the job has certainly not been accepted. */
    Unavailable,
    /** The store's answer was lost; the job may have been accepted. */
    Unknown,
    /** Refused: the id is that of a job that the caller has no access to. */
    Hidden,
};

/** For whom a job is submitted. */
struct JobSubmitter {
    /** The Host field of the caller's request, without the port. */
    std::string virtualHost;
    CallerOrganisation organisation{};

    bool operator==(const JobSubmitter &) const = default;
};

/** Where a job runs and whom it belongs to. */
struct JobLocation {
    std::string host{};
    /** Empty for a job without an organisation. */
    std::string organisation{};

    bool operator==(const JobLocation &) const = default;
};

/** Services of the entry host that JobService uses. */
struct JobContext {
    AttemptContext attempts;
    ObjectStore &store;
    const UpstreamSelector &choice;
    const UpstreamTable &upstreams;
    JsonLog &log;
    EntryMetrics &metrics;
    /** Name of this host. */
    std::string host;
    /** Identifies this process as a writer in the store: the host name with a suffix for this run of the process. */
    std::string writerId;
    /** The current configuration, or null before the first one. */
    std::function<std::shared_ptr<const RoutingConfig>()> config;
    /** Selects the host that runs a job: @p runner while it is live, otherwise one of the live hosts. */
    std::function<std::string(const std::string &jobId, const std::string &runner)> selectRunningHost;
    /** How many hosts come before this one as successors of a lost runner; nothing while @p runner is live. */
    std::function<std::optional<std::size_t>(const std::string &jobId, const std::string &runner)> takeoverRank;
    /** Reports that a call to the store got no answer, so the store may be down. */
    std::function<void()> reportUnansweredCall;
    /** Time until this host knows of the requests that near hosts have just started or ended. */
    std::function<absl::Duration()> loadAge;
};

/** Accepts jobs, runs the jobs assigned to this host and answers calls about all jobs. Returns results only once they are stored. */
class JobService
{
public:
    explicit JobService(const JobContext &context);
    ~JobService();
    JobService(const JobService &) = delete;
    JobService &operator=(const JobService &) = delete;

    /** Stores and accepts a job. Repeats store calls that get no answer until @p retryUntil. */
    void submit(
        const SubmittedJob &submission, const Route &route, const JobSubmitter &submitter, absl::Time retryUntil, std::function<void(SubmitResult)> done);
    /** Reports the host that runs a job and the organisation that it belongs to. */
    void locate(const std::string &jobId, std::function<void(JobLookup, const JobLocation &)> done);
    /** Reads the results from @p position on. If there is none yet, waits up to @p wait for the first one. */
    void read(const std::string &jobId, std::size_t position, absl::Duration wait, std::function<void(JobLookup, const JobPage &)> done);
    /** Reads the request body of one item. */
    void itemBody(const std::string &jobId, const std::string &itemId, std::function<void(JobLookup, const std::string &body)> done);
    /** Cancels a job. Repeats a failed store call until @p retryUntil. */
    void cancel(const std::string &jobId, absl::Time retryUntil, std::function<void(JobLookup)> done);
    /** The host that runs a job, live or not; std::nullopt if this host does not know the job. */
    [[nodiscard]] std::optional<std::string> runner(const std::string &jobId) const;
    /** The header of a job that this host knows to be closed, as it is stored. */
    [[nodiscard]] std::optional<ObjectRecord> closedHeader(const std::string &jobId) const;
    /** Store revision of the newest header that this host knows. */
    [[nodiscard]] std::uint64_t newestRevision() const;

    /** Applies the headers of all stored jobs. */
    void setHeaders(const std::vector<ObjectRecord> &objects);
    /** Applies one change of a header. */
    void changeHeader(const ObjectChange &change);
    /** Starts and stops items and stores results that are due. The host calls it several times a second. */
    void tick();
    /** Starts no more items and interrupts the running ones, so that other hosts can continue them. */
    void stop();
    [[nodiscard]] std::size_t runningItems() const;

private:
    /** One running attempt at an item. */
    struct ItemRun {
        std::string jobId;
        std::size_t item = 0;
        std::string service;
        absl::Time started;
        int maxFailures = 1;
        /** Whether the run continues the output of an earlier one, so that its length tells little. */
        bool resumed = false;
        std::unique_ptr<UpstreamAttempt> attempt;
    };
    using LookupHandler = JobReads::LookUpHandler;

    /** Applies a stored header unless a newer one is known. Returns null when it is malformed. */
    JobEntry *applyHeader(const ObjectRecord &object);
    /** Forgets a job that was removed from the store or is malformed there, and answers the calls that wait for it. */
    void removeEntry(const std::string &jobId);
    /** The job while this load of its items and results is in progress, otherwise null: it may have been removed and added again. */
    [[nodiscard]] JobEntry *findLoading(const std::string &jobId, std::uint64_t loadNumber);
    /** Finds a job in memory, or else reads its header from the store. */
    void lookUp(const std::string &jobId, LookupHandler done);
    /** Tokens of unfinished items on a route of the jobs of one organisation, or of those without one if it is empty. */
    [[nodiscard]] std::int64_t waitingTokens(const std::string &host, const std::string &pathPrefix, const std::string &organisation) const;
    /** Answers the submission of a job that this host knows. */
    static SubmitResult answerRepeated(const JobEntry &entry, const CallerOrganisation &organisation);
    /** Answers a submission whose id another host has accepted before. */
    void answerRepeatedStored(const std::string &jobId, const CallerOrganisation &organisation, const std::function<void(SubmitResult)> &done);
    /** Refuses a submission for the limit on waiting tokens, unless another host has accepted the job. */
    void refuseUnlessStored(const std::string &jobId, const CallerOrganisation &organisation, std::int64_t waiting, std::function<void(SubmitResult)> done);
    void finishSubmission(const SubmittedJob &submission,
                          const CallerOrganisation &organisation,
                          const JobWriteResult &result,
                          const std::function<void(SubmitResult)> &done);
    void addAcceptedJob(const SubmittedJob &submission, const JobWriteResult &written);
    /** Reads the results that this host does not have yet; with @p withItems also the items. */
    void load(JobEntry &entry, bool withItems, std::function<void(StoreResult)> done);
    /** Reads the result objects one after another until the next number does not exist. */
    void loadResults(const std::string &jobId);
    void finishLoading(const std::string &jobId, StoreResult result);
    void writeCancel(const std::string &jobId, std::uint64_t revision, JobProgress progress, absl::Time retryUntil, std::function<void(JobLookup)> done);
    [[nodiscard]] bool runsHere(const JobEntry &entry) const;
    /**
     * Whether the runner is lost and the hosts that come before this one as its successors have had time to take the job over. Records when
     * the loss was noticed.
     */
    [[nodiscard]] bool takeoverIsDue(JobEntry &entry, absl::Time now) const;
    void takeOverWhenDue(JobEntry &entry, absl::Time now);
    void handleStoreFailure(JobEntry &entry, StoreResult result);
    void tickEntry(JobEntry &entry, absl::Time now);
    /** Takes over the open jobs whose runner is no longer live. */
    void takeOverJobs(absl::Time now);
    /** Whether the tokens waiting on the route come near its limit, so that other hosts need the progress of open jobs. */
    [[nodiscard]] bool nearTokenLimit(const JobEntry &entry) const;
    void appendResultsWhenDue(JobEntry &entry, absl::Time now);
    void appendResults(JobEntry &entry);
    /** Fences a job that runs here, or finds out first whether it does. */
    void fenceWhenPossible(JobEntry &entry, absl::Time now);
    void fence(JobEntry &entry);
    /** Reads the header again to see whether the job still runs here. */
    void checkRunner(JobEntry &entry);
    /** Called when a result object has turned up that this run of the host did not create. */
    static void doubtRunner(JobEntry &entry);
    using CreatedHandler = std::function<void(JobEntry &, JobArchive::Creator)>;
    /** Creates the next result object of a job. Calls @p onCreated once the object exists and is part of the known results. */
    void createNextResultObject(JobEntry &entry, const ResultObject &content, const char *logEvent, CreatedHandler onCreated);
    static void applyCreatedObject(
        JobEntry &entry, std::uint64_t number, absl::Time sent, JobArchive::Creator creator, const ResultObject &stored, const CreatedHandler &onCreated);
    void writeProgress(JobEntry &entry);
    void startItems(absl::Time now);
    [[nodiscard]] absl::Duration loadPropagationTime() const;
    /** The batch route of a job, or null if the configuration has none. */
    [[nodiscard]] static const Route *routeOf(const JobEntry &entry, const RoutingConfig &config);
    /** Gives the unfinished items of a job up whose retention is over or whose route is gone. Returns whether none is left to run. */
    bool giveUpIfExpired(JobEntry &entry, const RoutingConfig &config, absl::Time now);
    [[nodiscard]] static absl::Time dueTime(const JobEntry &entry, const RoutingConfig &config);
    /** What BatchOrder needs to know of a job. Items that no upstream of the route could run don't count as waiting. */
    [[nodiscard]] WaitingJob waitingJob(const JobEntry &entry, const RoutingConfig &config) const;
    [[nodiscard]] bool hasUpstream(const std::string &service) const;
    /** Number of items that this host may start now, by service. */
    using FreeSlots = std::map<std::string, std::int64_t>;
    [[nodiscard]] FreeSlots countFreeSlots(const std::vector<JobEntry *> &candidates, const RoutingConfig &config, absl::Time now) const;
    /** Lets items begin anew whose partial output no upstream can continue, because all of its software version have left. */
    void discardLostOutputs(JobEntry &entry, const Route &route);
    /** Starts one item of the job and takes its slot from @p freeSlots. Returns whether an item could be started. */
    bool startItem(JobEntry &entry, const RoutingConfig &config, FreeSlots &freeSlots, absl::Time now);
    /** Where items of the job can start at upstreams of services with @p freeSlots. */
    [[nodiscard]] ItemPlacement placementOf(const JobEntry &entry, const Route &route, const FreeSlots &freeSlots, absl::Time now) const;
    /** A run of an item at the upstream whose request has not been sent yet. */
    std::shared_ptr<ItemRun> createRun(const JobEntry &entry, std::size_t index, const UpstreamInfo &upstream, int maxFailures, absl::Time now);
    void onItemEvent(const std::shared_ptr<ItemRun> &run, const StreamEvent &event);
    void onItemEnded(const std::shared_ptr<ItemRun> &run, const AttemptResult &result);
    void endRun(const std::shared_ptr<ItemRun> &run, RunOutcome outcome);
    void stopRuns(const std::string &jobId);
    void preemptForOnline(absl::Time now);
    void interruptSilentRuns(absl::Time now);
    /** Removes the data of old closed jobs from memory, and from the store once its retention there is over. */
    void evictOldJobs(absl::Time now);

    JobContext context;
    JobArchive archive;
    JobWriter writer;
    JobReads reads;
    std::map<std::string, JobEntry> entries;
    /** The tokens of these count as waiting, because the store may hold the jobs before this host knows it. */
    std::map<std::string, JobRecord> accepting;
    std::list<std::shared_ptr<ItemRun>> runs;
    absl::Time startedAt;
    std::uint64_t newestHeaderRevision = 0;
    /** Number of loads that have begun. */
    std::uint64_t loads = 0;
    absl::Time nextStartRound = absl::InfinitePast();
    absl::Time nextTakeoverCheck = absl::InfinitePast();
    RunTimeEstimate itemRunTime;
    std::map<std::string, absl::Time> lastPreemptedAt;
    bool stopping = false;
};

} // namespace Bergamotramp
