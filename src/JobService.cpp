#include "JobService.h"

#include <algorithm>
#include <utility>

#include "TakeoverCandidates.h"

namespace Bergamotramp {

namespace {

// A host that has just started knows no other hosts yet, so it takes over no jobs within this time.
constexpr absl::Duration takeoverDelay = absl::Seconds(3);
// Every host checks all open jobs of the fleet, so it does not do so with each tick.
constexpr absl::Duration takeoverCheckPeriod = absl::Milliseconds(400);
constexpr absl::Duration storeRetryDelay = absl::Milliseconds(300);
// A host whose configuration is older than the job's route must not give the job up.
constexpr absl::Duration minRouteAbsence = absl::Seconds(10);
// A malformed object is read again after this time, because an operator may repair it.
constexpr absl::Duration malformedRetryDelay = absl::Seconds(10);
// The progress of an open job is stored only for the limit on waiting tokens. Far below the limit it is enough to store the
// end of the job.
constexpr absl::Duration progressPeriod = absl::Seconds(1);
constexpr double progressShareOfLimit = 0.4;
// Results that become ready within this time are stored in one call.
constexpr absl::Duration appendDelay = absl::Seconds(1);
// Least time until this host knows which batch requests other hosts have started or preempted at the same upstreams. It covers
// the transfer of their next announcement between regions and the wait for the next decision here.
constexpr absl::Duration minLoadPropagationTime = absl::Milliseconds(120);
// Share of the time until a job is due after which its items may also run in other data centres.
constexpr double urgentShareOfDueTime = 0.5;
// A healthy upstream sends an event every few tens of milliseconds.
constexpr absl::Duration itemSilenceLimit = absl::Milliseconds(900);
constexpr absl::Duration firstEventTimeout = absl::Seconds(2);
// Callers may read a job for two minutes after its submission, so it stays in memory for longer than that.
constexpr absl::Duration memoryRetention = absl::Seconds(150);
constexpr absl::Duration storeRetention = absl::Minutes(10);
// After this many runs without an event a partial output is discarded, if upstreams of another software version can begin it anew.
constexpr int maxInterruptionsOfOutput = 3;
constexpr int permanentFailureStatus = 422;

bool hasFreeSlot(const std::map<std::string, std::int64_t> &freeSlots)
{
    return std::ranges::any_of(freeSlots, [](const auto &each) { return each.second > 0; });
}

} // namespace

JobService::JobService(const JobContext &context)
    : context(context)
    , archive(context.store)
    , writer(context.attempts.loop, this->archive)
    , reads(context.attempts.loop,
            context.log,
            {.lookUp = [this](const std::string &jobId, LookupHandler done) { this->lookUp(jobId, std::move(done)); },
             .find =
                 [this](const std::string &jobId) {
                     const auto found = this->entries.find(jobId);
                     return found == this->entries.end() ? nullptr : &found->second;
                 },
             .loadResults = [this](JobEntry &entry, std::function<void(StoreResult)> done) { this->load(entry, false, std::move(done)); },
             .runsHere = [this](const JobEntry &entry) { return this->runsHere(entry); }})
    , startedAt(context.attempts.loop.now())
{
}

JobService::~JobService() = default;

JobEntry *JobService::applyHeader(const ObjectRecord &object)
{
    JobEntry &entry = this->entries[object.name];
    if (object.revision < entry.revision) {
        return &entry;
    }
    try {
        entry.header = JobRecord::fromJson(object.name, object.content);
    } catch (const JobFormatError &error) {
        this->context.log.write("job_unreadable", {{"job", object.name}, {"error", error.what()}});
        this->stopRuns(object.name);
        this->removeEntry(object.name);
        return nullptr;
    }
    entry.revision = object.revision;
    this->newestHeaderRevision = std::max(this->newestHeaderRevision, object.revision);
    const bool ranHere = this->runsHere(entry);
    const bool wasOpen = entry.progress.isOpen();
    const std::string formerRunner = entry.runner();
    entry.progress = JobProgress::fromJson(object.status);
    if (entry.runner() != formerRunner) {
        entry.runnerLostSince = absl::InfiniteFuture();
    }
    if (ranHere && !this->runsHere(entry)) {
        this->context.log.write("job_handed_over", {{"job", object.name}, {"to", entry.runner()}, {"revision", object.revision}});
        entry.fenced = false;
        entry.lease.revoke();
        this->stopRuns(object.name);
        this->reads.resume(entry);
    }
    if (wasOpen && entry.progress.cancelled) {
        this->context.log.write("job_cancelled", {{"job", object.name}, {"revision", object.revision}});
        this->stopRuns(object.name);
        this->reads.resume(entry);
    }
    return &entry;
}

void JobService::setHeaders(const std::vector<ObjectRecord> &objects)
{
    for (const ObjectRecord &object : objects) {
        this->applyHeader(object);
    }
}

void JobService::changeHeader(const ObjectChange &change)
{
    if (!change.removed) {
        this->applyHeader(change.object);
        return;
    }
    this->stopRuns(change.object.name);
    this->removeEntry(change.object.name);
}

void JobService::removeEntry(const std::string &jobId)
{
    const auto removed = this->entries.extract(jobId);
    if (removed.empty()) {
        return;
    }
    for (const auto &loaded : removed.mapped().loadCallbacks) {
        loaded(StoreResult::NotFound);
    }
    for (const auto &read : removed.mapped().pendingReads) {
        read->done(JobLookup::Unknown, {});
    }
}

JobEntry *JobService::findLoading(const std::string &jobId, std::uint64_t loadNumber)
{
    const auto found = this->entries.find(jobId);
    return found != this->entries.end() && found->second.loading && found->second.loadNumber == loadNumber ? &found->second : nullptr;
}

void JobService::lookUp(const std::string &jobId, LookupHandler done)
{
    const auto found = this->entries.find(jobId);
    if (found != this->entries.end()) {
        done(JobLookup::Found, &found->second);
        return;
    }
    this->archive.readHeader(jobId, [this, done = std::move(done)](const ObjectReply &reply) {
        if (reply.result == StoreResult::Done) {
            JobEntry *entry = this->applyHeader(*reply.object);
            done(entry == nullptr ? JobLookup::Unknown : JobLookup::Found, entry);
        } else {
            done(reply.result == StoreResult::NotFound ? JobLookup::NotFound : JobLookup::Unknown, nullptr);
        }
    });
}

std::int64_t JobService::waitingTokens(const std::string &host, const std::string &pathPrefix, const std::string &organisation) const
{
    const auto counts = [&host, &pathPrefix, &organisation](const auto &job) {
        return job.virtualHost == host && job.pathPrefix == pathPrefix && job.organisation == organisation;
    };
    std::int64_t sum = 0;
    for (const auto &[id, entry] : this->entries) {
        if (entry.progress.isOpen() && counts(entry.header)) {
            const std::int64_t finished = entry.job ? entry.job->tokensFinished() : 0;
            sum += entry.header.tokens - std::max(finished, entry.progress.tokensFinished);
        }
    }
    for (const auto &[id, job] : this->accepting) {
        if (!this->entries.contains(id) && counts(job)) {
            sum += job.tokens;
        }
    }
    return sum;
}

SubmitResult JobService::answerRepeated(const JobEntry &entry, const CallerOrganisation &organisation)
{
    return jobAccess(entry.header.organisation, organisation) == JobAccess::Allowed ? SubmitResult::Accepted : SubmitResult::Hidden;
}

void JobService::answerRepeatedStored(const std::string &jobId, const CallerOrganisation &organisation, const std::function<void(SubmitResult)> &done)
{
    this->context.log.write("job_known", {{"job", jobId}});
    if (!organisation) {
        done(SubmitResult::Accepted);
        return;
    }
    this->lookUp(jobId, [organisation, done](JobLookup, const JobEntry *entry) {
        done(entry == nullptr ? SubmitResult::Unknown : answerRepeated(*entry, organisation));
    });
}

void JobService::submit(
    const SubmittedJob &submission, const Route &route, const JobSubmitter &submitter, absl::Time retryUntil, std::function<void(SubmitResult)> done)
{
    if (const auto known = this->entries.find(submission.id); known != this->entries.end()) {
        done(answerRepeated(known->second, submitter.organisation));
        return;
    }
    const std::int64_t waiting = this->waitingTokens(submitter.virtualHost, route.pathPrefix, submitter.organisation.value_or(""));
    // A repeated submission of a job that is being accepted is not refused, because it would be told that the job never runs.
    const bool repeated = this->accepting.contains(submission.id);
    if (!repeated && route.maxWaitingTokens > 0 && waiting + submission.tokens() > route.maxWaitingTokens) {
        this->refuseUnlessStored(submission.id, submitter.organisation, waiting, std::move(done));
        return;
    }
    const JobRecord header{.id = submission.id,
                           .virtualHost = submitter.virtualHost,
                           .pathPrefix = route.pathPrefix,
                           .owner = this->context.host,
                           .submitted = this->context.attempts.loop.now(),
                           .tokens = submission.tokens(),
                           .items = submission.items.size(),
                           .organisation = submitter.organisation.value_or("")};
    this->accepting.try_emplace(submission.id, header);
    const auto job = std::make_shared<const SubmittedJob>(submission);
    this->writer.write(
        job, header, retryUntil, [this, job, repeated, organisation = submitter.organisation, done = std::move(done)](const JobWriteResult &result) {
            if (!repeated) {
                this->accepting.erase(job->id);
            }
            this->finishSubmission(*job, organisation, result, done);
        });
}

void JobService::finishSubmission(const SubmittedJob &submission,
                                  const CallerOrganisation &organisation,
                                  const JobWriteResult &result,
                                  const std::function<void(SubmitResult)> &done)
{
    switch (result.outcome) {
    case JobWriteResult::Outcome::Written:
        this->addAcceptedJob(submission, result);
        done(SubmitResult::Accepted);
        this->tick();
        break;
    case JobWriteResult::Outcome::Exists:
        this->answerRepeatedStored(submission.id, organisation, done);
        break;
    case JobWriteResult::Outcome::NotWritten:
        this->context.log.write("job_refused", {{"job", submission.id}, {"reason", "store_unavailable"}});
        done(SubmitResult::Unavailable);
        break;
    case JobWriteResult::Outcome::Unknown:
        this->context.log.write("job_refused", {{"job", submission.id}, {"reason", "store_unanswered"}});
        done(SubmitResult::Unknown);
        break;
    }
}

// Another host may have accepted the job a moment ago. The submission is then a repeated one and is not refused.
void JobService::refuseUnlessStored(const std::string &jobId,
                                    const CallerOrganisation &organisation,
                                    std::int64_t waiting,
                                    std::function<void(SubmitResult)> done)
{
    this->archive.readHeader(jobId, [this, waiting, jobId, organisation, done = std::move(done)](const ObjectReply &reply) {
        const JobEntry *accepted = reply.result == StoreResult::Done ? this->applyHeader(*reply.object) : nullptr;
        this->context.log.write("job_limit", {{"job", jobId}, {"waitingTokens", waiting}, {"accepted", accepted != nullptr}});
        if (accepted != nullptr) {
            done(answerRepeated(*accepted, organisation));
        } else {
            done(reply.result == StoreResult::NotFound ? SubmitResult::WaitingTokenLimitReached : SubmitResult::Unknown);
        }
    });
}

void JobService::addAcceptedJob(const SubmittedJob &submission, const JobWriteResult &written)
{
    const JobRecord &header = written.header;
    JobEntry &entry = this->entries[header.id];
    entry.header = header;
    entry.revision = std::max(entry.revision, written.revision);
    this->newestHeaderRevision = std::max(this->newestHeaderRevision, written.revision);
    if (!entry.job) {
        entry.job = std::make_unique<Job>(header, submission.items);
        entry.itemsLoaded = true;
        // Another host may have taken the job over while the answer was on its way.
        entry.fenced = this->runsHere(entry);
        entry.lease.renew(written.sent);
    }
    this->context.log.write("job_accepted",
                            {{"job", header.id},
                             {"items", static_cast<std::uint64_t>(header.items)},
                             {"tokens", header.tokens},
                             {"organisation", header.organisation},
                             {"revision", entry.revision}});
}

void JobService::locate(const std::string &jobId, std::function<void(JobLookup, const JobLocation &)> done)
{
    this->lookUp(jobId, [this, done = std::move(done)](JobLookup result, JobEntry *entry) {
        if (entry == nullptr) {
            done(result, {});
        } else {
            done(result, {.host = this->context.selectRunningHost(entry->header.id, entry->runner()), .organisation = entry->header.organisation});
        }
    });
}

bool JobService::runsHere(const JobEntry &entry) const
{
    return !this->stopping && entry.runner() == this->context.host;
}

bool JobService::takeoverIsDue(JobEntry &entry, absl::Time now) const
{
    const std::optional<std::size_t> rank = this->context.takeoverRank(entry.header.id, entry.runner());
    if (!rank) {
        entry.runnerLostSince = absl::InfiniteFuture();
        return false;
    }
    entry.runnerLostSince = std::min(entry.runnerLostSince, now);
    return now >= entry.runnerLostSince + takeoverWait(*rank);
}

void JobService::takeOverWhenDue(JobEntry &entry, absl::Time now)
{
    const bool otherHostsKnown = now > this->startedAt + takeoverDelay;
    if (this->stopping || !otherHostsKnown || !this->takeoverIsDue(entry, now) || entry.writingProgress || now < entry.retryAt) {
        return;
    }
    entry.writingProgress = true;
    JobProgress progress = entry.progress;
    progress.runner = this->context.host;
    this->context.log.write("job_takeover", {{"job", entry.header.id}, {"from", entry.runner()}, {"revision", entry.revision}});
    this->archive.writeProgress(entry.header.id, entry.revision, progress, [this, jobId = entry.header.id](const ObjectReply &reply) {
        const auto found = this->entries.find(jobId);
        if (found == this->entries.end()) {
            return;
        }
        found->second.writingProgress = false;
        if (reply.object) {
            this->applyHeader(*reply.object);
        }
        if (reply.result != StoreResult::Done && reply.result != StoreResult::Conflict) {
            this->handleStoreFailure(found->second, reply.result);
        }
    });
}

void JobService::handleStoreFailure(JobEntry &entry, StoreResult result)
{
    entry.retryAt = this->context.attempts.loop.now() + (result == StoreResult::Malformed ? malformedRetryDelay : storeRetryDelay);
    if (result == StoreResult::Malformed) {
        this->context.log.write("job_unreadable", {{"job", entry.header.id}});
    }
    if (result == StoreResult::Unanswered) {
        this->context.reportUnansweredCall();
    }
}

void JobService::load(JobEntry &entry, bool withItems, std::function<void(StoreResult)> done)
{
    const std::string jobId = entry.header.id;
    entry.loadCallbacks.push_back(std::move(done));
    if (entry.loading) {
        return;
    }
    entry.loading = true;
    entry.loadNumber = ++this->loads;
    entry.loadStartedAt = this->context.attempts.loop.now();
    if (entry.job && (entry.itemsLoaded || !withItems)) {
        this->loadResults(jobId);
        return;
    }
    if (!withItems) {
        entry.job = std::make_unique<Job>(entry.header, std::vector<BatchItem>());
        this->loadResults(jobId);
        return;
    }
    this->archive.readItems(entry.header, [this, jobId, loadNumber = entry.loadNumber](StoreResult result, std::vector<BatchItem> items) {
        JobEntry *const loaded = this->findLoading(jobId, loadNumber);
        if (loaded == nullptr) {
            return;
        }
        if (result != StoreResult::Done) {
            this->finishLoading(jobId, result);
            return;
        }
        if (!loaded->itemsLoaded) {
            loaded->job = std::make_unique<Job>(loaded->header, std::move(items));
            loaded->itemsLoaded = true;
            loaded->fenced = false;
        }
        this->loadResults(jobId);
    });
}

void JobService::loadResults(const std::string &jobId)
{
    const JobEntry &entry = this->entries.at(jobId);
    const std::uint64_t number = entry.job->nextResultObject();
    const absl::Time sent = this->context.attempts.loop.nowIncludingSuspend();
    this->archive.readResults(jobId, number, [this, jobId, number, sent, loadNumber = entry.loadNumber](StoreResult result, const ResultObject &content) {
        JobEntry *const loaded = this->findLoading(jobId, loadNumber);
        if (loaded == nullptr) {
            return;
        }
        if (result == StoreResult::NotFound) {
            loaded->lease.renew(sent);
            loaded->endSeenAt = sent;
            this->finishLoading(jobId, StoreResult::Done);
            return;
        }
        if (result != StoreResult::Done) {
            this->finishLoading(jobId, result);
            return;
        }
        if (loaded->job->nextResultObject() == number) {
            loaded->job->addStoredObject(content);
            doubtRunner(*loaded);
        }
        this->loadResults(jobId);
    });
}

void JobService::finishLoading(const std::string &jobId, StoreResult result)
{
    JobEntry &entry = this->entries.at(jobId);
    entry.loading = false;
    if (result != StoreResult::Done) {
        this->handleStoreFailure(entry, result);
    }
    this->context.log.write("job_loaded",
                            {{"job", jobId},
                             {"ok", result == StoreResult::Done},
                             {"results", static_cast<std::uint64_t>(entry.job ? entry.job->storedResultCount() : 0)},
                             {"objects", entry.job ? entry.job->nextResultObject() : 0}});
    const auto callbacks = std::move(entry.loadCallbacks);
    entry.loadCallbacks.clear();
    for (const auto &done : callbacks) {
        done(result);
    }
}

void JobService::read(const std::string &jobId, std::size_t position, absl::Duration wait, std::function<void(JobLookup, const JobPage &)> done)
{
    this->reads.read(jobId, position, wait, std::move(done));
}

void JobService::itemBody(const std::string &jobId, const std::string &itemId, std::function<void(JobLookup, const std::string &)> done)
{
    this->lookUp(jobId, [this, jobId, itemId, done = std::move(done)](JobLookup result, JobEntry *entry) {
        if (entry == nullptr) {
            done(result, {});
            return;
        }
        const auto answer = [this, jobId, itemId, done](StoreResult loadResult) {
            const auto found = this->entries.find(jobId);
            if (loadResult != StoreResult::Done || found == this->entries.end() || !found->second.itemsLoaded) {
                done(JobLookup::Unknown, {});
                return;
            }
            const BatchItem *item = found->second.job->findItem(itemId);
            done(item == nullptr ? JobLookup::NotFound : JobLookup::Found, item == nullptr ? std::string() : item->body);
        };
        if (entry->itemsLoaded) {
            answer(StoreResult::Done);
        } else {
            this->load(*entry, true, answer);
        }
    });
}

void JobService::cancel(const std::string &jobId, absl::Time retryUntil, std::function<void(JobLookup)> done)
{
    this->lookUp(jobId, [this, jobId, retryUntil, done = std::move(done)](JobLookup result, JobEntry *entry) {
        if (entry == nullptr) {
            done(result);
        } else if (!entry->progress.isOpen()) {
            done(JobLookup::Found);
        } else {
            this->writeCancel(jobId, entry->revision, entry->progress, retryUntil, done);
        }
    });
}

std::optional<std::string> JobService::runner(const std::string &jobId) const
{
    const auto found = this->entries.find(jobId);
    return found == this->entries.end() ? std::nullopt : std::optional(found->second.runner());
}

std::optional<ObjectRecord> JobService::closedHeader(const std::string &jobId) const
{
    const auto found = this->entries.find(jobId);
    if (found == this->entries.end() || found->second.progress.isOpen()) {
        return std::nullopt;
    }
    const JobEntry &entry = found->second;
    return ObjectRecord{.name = jobId, .revision = entry.revision, .content = entry.header.toJson(), .status = entry.progress.toJson()};
}

std::uint64_t JobService::newestRevision() const
{
    return this->newestHeaderRevision;
}

void JobService::writeCancel(const std::string &jobId, std::uint64_t revision, JobProgress progress, absl::Time retryUntil, std::function<void(JobLookup)> done)
{
    progress.cancelled = true;
    this->archive.writeProgress(jobId, revision, progress, [this, jobId, revision, progress, retryUntil, done = std::move(done)](const ObjectReply &reply) {
        if (reply.object) {
            this->applyHeader(*reply.object);
        }
        const auto found = this->entries.find(jobId);
        if (reply.result == StoreResult::Done || (found != this->entries.end() && !found->second.progress.isOpen())) {
            this->context.log.write("job_end_stored", {{"job", jobId}, {"revision", revision}});
            this->stopRuns(jobId);
            done(JobLookup::Found);
            return;
        }
        if (reply.result == StoreResult::NotFound) {
            done(JobLookup::NotFound);
            return;
        }
        if (this->context.attempts.loop.now() >= retryUntil) {
            done(JobLookup::Unknown);
            return;
        }
        if (reply.result == StoreResult::Conflict && reply.object && found != this->entries.end()) {
            // Another host has changed the progress, for example by taking the job over.
            this->writeCancel(jobId, reply.object->revision, found->second.progress, retryUntil, done);
        } else {
            this->writeCancel(jobId, revision, progress, retryUntil, done);
        }
    });
}

void JobService::tick()
{
    const absl::Time now = this->context.attempts.loop.now();
    this->interruptSilentRuns(now);
    this->preemptForOnline(now);
    for (auto &[id, entry] : this->entries) {
        this->tickEntry(entry, now);
    }
    this->takeOverJobs(now);
    this->startItems(now);
}

void JobService::takeOverJobs(absl::Time now)
{
    if (now < this->nextTakeoverCheck) {
        return;
    }
    this->nextTakeoverCheck = now + takeoverCheckPeriod;
    for (auto &[id, entry] : this->entries) {
        if (entry.progress.isOpen() && !this->runsHere(entry)) {
            this->stopRuns(id);
            this->takeOverWhenDue(entry, now);
        }
    }
    this->evictOldJobs(now);
}

void JobService::tickEntry(JobEntry &entry, absl::Time now)
{
    if (!entry.progress.isOpen()) {
        return;
    }
    if (!this->runsHere(entry)) {
        return;
    }
    if (!entry.itemsLoaded) {
        if (!entry.loading && now >= entry.retryAt) {
            this->load(entry, true, [](StoreResult) {});
        }
        return;
    }
    if (!entry.fenced) {
        this->fenceWhenPossible(entry, now);
        return;
    }
    if (entry.job->hasUnstoredState() && !entry.appending && now >= std::max(entry.retryAt, entry.appendNotBefore)) {
        this->appendResultsWhenDue(entry, now);
    }
    const bool finished = entry.job->allResultsStored();
    const bool progressed =
        entry.job->tokensFinished() > entry.progress.tokensFinished && now >= entry.progressWrittenAt + progressPeriod && this->nearTokenLimit(entry);
    if (!entry.writingProgress && now >= entry.retryAt && (finished || progressed)) {
        this->writeProgress(entry);
    }
}

void JobService::fenceWhenPossible(JobEntry &entry, absl::Time now)
{
    if (entry.loading || entry.appending || entry.checkingRunner || now < entry.retryAt) {
        return;
    }
    if (entry.runnerDoubtful) {
        this->checkRunner(entry);
    } else {
        this->fence(entry);
    }
}

void JobService::checkRunner(JobEntry &entry)
{
    entry.checkingRunner = true;
    this->archive.readHeader(entry.header.id, [this, jobId = entry.header.id](const ObjectReply &reply) {
        const auto found = this->entries.find(jobId);
        if (found == this->entries.end()) {
            return;
        }
        found->second.checkingRunner = false;
        if (reply.result == StoreResult::Done) {
            found->second.runnerDoubtful = false;
            this->applyHeader(*reply.object);
        } else {
            this->handleStoreFailure(found->second, reply.result);
        }
    });
}

void JobService::doubtRunner(JobEntry &entry)
{
    if (std::exchange(entry.fenced, false)) {
        entry.runnerDoubtful = true;
        entry.lease.revoke();
    }
}

bool JobService::nearTokenLimit(const JobEntry &entry) const
{
    const auto config = this->context.config();
    const Route *route = config ? config->match(entry.header.virtualHost, entry.header.pathPrefix) : nullptr;
    if (route == nullptr || route->maxWaitingTokens == 0) {
        return false;
    }
    const auto waiting = static_cast<double>(this->waitingTokens(entry.header.virtualHost, entry.header.pathPrefix, entry.header.organisation));
    return waiting > progressShareOfLimit * static_cast<double>(route->maxWaitingTokens);
}

void JobService::appendResultsWhenDue(JobEntry &entry, absl::Time now)
{
    entry.unstoredSince = std::min(entry.unstoredSince, now);
    const auto config = this->context.config();
    // A result that waited until after the due time would be late although its item has completed in time.
    const bool dueSoon = config && now < dueTime(entry, *config) && now + appendDelay > dueTime(entry, *config);
    if (entry.job->allItemsHaveResult() || dueSoon || now >= entry.unstoredSince + appendDelay) {
        entry.unstoredSince = absl::InfiniteFuture();
        this->appendResults(entry);
    }
}

void JobService::fence(JobEntry &entry)
{
    this->createNextResultObject(entry, {}, "job_fenced", [this](JobEntry &target, JobArchive::Creator creator) {
        if (creator != JobArchive::Creator::ThisCall || !this->runsHere(target)) {
            return;
        }
        target.fenced = true;
        // A host that has just started may not know yet that another one has taken the job over.
        target.appendNotBefore = this->context.attempts.loop.now() + ResultLease::successorDelay;
    });
}

void JobService::appendResults(JobEntry &entry)
{
    const ResultObject content = entry.job->unstoredState(JobArchive::maxObjectBytes / 2);
    this->createNextResultObject(entry, content, "results_stored", [](JobEntry &target, JobArchive::Creator creator) {
        if (creator == JobArchive::Creator::OtherWriter) {
            doubtRunner(target);
        }
    });
}

void JobService::createNextResultObject(JobEntry &entry, const ResultObject &content, const char *logEvent, CreatedHandler onCreated)
{
    entry.appending = true;
    const std::string jobId = entry.header.id;
    const std::uint64_t number = entry.job->nextResultObject();
    const absl::Time sent = this->context.attempts.loop.nowIncludingSuspend();
    this->archive.createResults(
        jobId,
        number,
        this->context.writerId,
        content,
        [this, jobId, number, sent, logEvent, onCreated = std::move(onCreated)](StoreResult result, JobArchive::Creator creator, const ResultObject &stored) {
            const auto found = this->entries.find(jobId);
            if (found == this->entries.end()) {
                return;
            }
            JobEntry &target = found->second;
            target.appending = false;
            this->context.log.write(logEvent,
                                    {{"job", jobId},
                                     {"object", number},
                                     {"ok", result == StoreResult::Done},
                                     {"own", creator != JobArchive::Creator::OtherWriter},
                                     {"results", static_cast<std::uint64_t>(stored.results.size())},
                                     {"failures", static_cast<std::uint64_t>(stored.failures.size())}});
            if (result == StoreResult::Done) {
                applyCreatedObject(target, number, sent, creator, stored, onCreated);
            } else {
                target.unansweredObject = result == StoreResult::Unanswered ? number : target.unansweredObject;
                this->handleStoreFailure(target, result);
            }
            this->reads.resume(target);
            this->tickEntry(target, this->context.attempts.loop.now());
        });
}

void JobService::applyCreatedObject(
    JobEntry &entry, std::uint64_t number, absl::Time sent, JobArchive::Creator creator, const ResultObject &stored, const CreatedHandler &onCreated)
{
    if (!entry.job || entry.job->nextResultObject() != number) {
        return;
    }
    entry.job->addStoredObject(stored);
    if (creator == JobArchive::Creator::ThisCall) {
        entry.lease.renew(sent);
    }
    onCreated(entry, creator);
}

void JobService::writeProgress(JobEntry &entry)
{
    entry.writingProgress = true;
    JobProgress progress = entry.progress;
    progress.finished = entry.job->allResultsStored();
    progress.tokensFinished = entry.job->tokensFinished();
    entry.progressWrittenAt = this->context.attempts.loop.now();
    this->archive.writeProgress(entry.header.id, entry.revision, progress, [this, jobId = entry.header.id](const ObjectReply &reply) {
        const auto found = this->entries.find(jobId);
        if (found == this->entries.end()) {
            return;
        }
        found->second.writingProgress = false;
        if (reply.object) {
            this->applyHeader(*reply.object);
        }
        if (reply.result != StoreResult::Done && reply.result != StoreResult::Conflict) {
            this->handleStoreFailure(found->second, reply.result);
        }
    });
}

void JobService::startItems(absl::Time now)
{
    const auto config = this->context.config();
    if (!config || this->stopping) {
        return;
    }
    std::vector<JobEntry *> candidates;
    std::vector<WaitingJob> waiting;
    for (auto &[id, entry] : this->entries) {
        const bool startsItems = entry.progress.isOpen() && entry.itemsLoaded && (entry.fenced || !entry.loading) && this->runsHere(entry);
        if (startsItems && !this->giveUpIfExpired(entry, *config, now)) {
            candidates.push_back(&entry);
            waiting.push_back(this->waitingJob(entry, *config));
        }
    }
    const absl::Duration runTime = this->itemRunTime.expected();
    this->context.attempts.load.setOwnBatchWaiting(BatchOrder::competingItems(waiting, runTime, now));
    // The next items start only when the announcements of the other hosts include what was started last, so that hosts which see the
    // same free slots do not fill them several times.
    if (now < this->nextStartRound) {
        return;
    }
    this->nextStartRound = now + this->loadPropagationTime();
    FreeSlots freeSlots = this->countFreeSlots(candidates, *config, now);
    for (const std::size_t index : BatchOrder::order(waiting, runTime, now)) {
        while (hasFreeSlot(freeSlots) && this->startItem(*candidates[index], *config, freeSlots, now)) {
        }
    }
}

absl::Duration JobService::loadPropagationTime() const
{
    return std::max(minLoadPropagationTime, this->context.loadAge());
}

const Route *JobService::routeOf(const JobEntry &entry, const RoutingConfig &config)
{
    const Route *route = config.match(entry.header.virtualHost, entry.header.pathPrefix);
    return route != nullptr && route->kind == RouteKind::Batch ? route : nullptr;
}

// Does not depend on free slots: a job without a route has no upstreams that could get any.
bool JobService::giveUpIfExpired(JobEntry &entry, const RoutingConfig &config, absl::Time now)
{
    if (entry.job->allItemsHaveResult()) {
        return true;
    }
    const Route *route = routeOf(entry, config);
    entry.routeMissingSince = route == nullptr ? std::min(entry.routeMissingSince, now) : absl::InfiniteFuture();
    const bool routeGone = now >= entry.routeMissingSince + minRouteAbsence;
    if (!routeGone && (route == nullptr || now <= entry.header.submitted + route->jobRetention)) {
        return false;
    }
    this->context.log.write("job_given_up", {{"job", entry.header.id}, {"reason", routeGone ? "no_route" : "retention"}});
    entry.job->failRemainingItems();
    return true;
}

absl::Time JobService::dueTime(const JobEntry &entry, const RoutingConfig &config)
{
    const Route *route = routeOf(entry, config);
    return route == nullptr ? entry.header.submitted : entry.header.submitted + route->jobDue;
}

WaitingJob JobService::waitingJob(const JobEntry &entry, const RoutingConfig &config) const
{
    const Route *route = routeOf(entry, config);
    const bool canRun =
        route != nullptr && std::ranges::any_of(route->targets, [this](const RouteTarget &target) { return this->hasUpstream(target.service); });
    return {.submitted = entry.header.submitted, .due = dueTime(entry, config), .waitingItems = canRun ? entry.job->waitingItems() : 0};
}

bool JobService::hasUpstream(const std::string &service) const
{
    return !this->context.upstreams.available(service).empty();
}

JobService::FreeSlots JobService::countFreeSlots(const std::vector<JobEntry *> &candidates, const RoutingConfig &config, absl::Time now) const
{
    FreeSlots freeSlots;
    for (const JobEntry *entry : candidates) {
        const Route *route = routeOf(*entry, config);
        if (route == nullptr) {
            continue;
        }
        for (const RouteTarget &target : route->targets) {
            if (!freeSlots.contains(target.service)) {
                freeSlots.emplace(target.service, this->context.choice.batchToStart(target.service, now));
            }
        }
    }
    return freeSlots;
}

void JobService::discardLostOutputs(JobEntry &entry, const Route &route)
{
    const auto isLost = [this, &route](const StreamOrigin &origin, int interruptions) {
        const auto sameService = [&origin](const RouteTarget &target) { return target.service == origin.service; };
        if (!origin.isKnown() || std::ranges::none_of(route.targets, sameService)) {
            return true;
        }
        const std::vector<const UpstreamInfo *> upstreams = this->context.upstreams.available(origin.service);
        const auto sameVersion = [&origin](const UpstreamInfo *upstream) { return upstream->softwareVersion == origin.softwareVersion; };
        const auto count = std::ranges::count_if(upstreams, sameVersion);
        // The upstreams of the version may all be failing; those of another one can't continue the output, but can write it anew.
        return count == 0 || (interruptions >= maxInterruptionsOfOutput && count < std::ssize(upstreams));
    };
    if (const std::size_t discarded = entry.job->discardOutputs(isLost); discarded > 0) {
        this->context.log.write("outputs_discarded", {{"job", entry.header.id}, {"items", static_cast<std::uint64_t>(discarded)}});
    }
}

std::shared_ptr<JobService::ItemRun> JobService::createRun(
    const JobEntry &entry, std::size_t index, const UpstreamInfo &upstream, int maxFailures, absl::Time now)
{
    const auto run = std::make_shared<ItemRun>();
    run->jobId = entry.header.id;
    run->item = index;
    run->service = upstream.service;
    run->started = now;
    run->maxFailures = maxFailures;
    run->resumed = entry.job->lastEvent(index).has_value();
    const auto weak = std::weak_ptr<ItemRun>(run);
    run->attempt = std::make_unique<UpstreamAttempt>(this->context.attempts,
                                                     upstream,
                                                     true,
                                                     true,
                                                     UpstreamAttempt::Hooks{.streamStarted = {},
                                                                            .event =
                                                                                [this, weak](const StreamEvent &event) {
                                                                                    if (const auto target = weak.lock()) {
                                                                                        this->onItemEvent(target, event);
                                                                                    }
                                                                                },
                                                                            .ended =
                                                                                [this, weak](const AttemptResult &result) {
                                                                                    if (const auto target = weak.lock()) {
                                                                                        this->onItemEnded(target, result);
                                                                                    }
                                                                                }});
    return run;
}

ItemPlacement JobService::placementOf(const JobEntry &entry, const Route &route, const FreeSlots &freeSlots, absl::Time now) const
{
    const bool urgent = now > entry.header.submitted + route.jobDue * urgentShareOfDueTime;
    const BatchScope scope = urgent ? BatchScope::All : BatchScope::Near;
    const auto freeUpstream = [this, &freeSlots, scope, now](const std::string &service,
                                                             const UpstreamSelector::VersionFilter &version) -> const UpstreamInfo * {
        const auto slots = freeSlots.find(service);
        const bool mayStart = slots != freeSlots.end() && slots->second > 0;
        return mayStart ? this->context.choice.chooseForBatch(service, scope, now, version) : nullptr;
    };
    return {route, urgent, {.any = [this](const std::string &service) { return this->hasUpstream(service); }, .free = freeUpstream}};
}

bool JobService::startItem(JobEntry &entry, const RoutingConfig &config, FreeSlots &freeSlots, absl::Time now)
{
    const Route *route = routeOf(entry, config);
    if (route == nullptr) {
        return false;
    }
    this->discardLostOutputs(entry, *route);
    ItemPlacement placement = this->placementOf(entry, *route, freeSlots, now);
    const auto upstreamFor = [&entry, &placement](std::size_t index) {
        const bool partial = entry.job->lastEvent(index).has_value();
        return partial ? placement.findForPartial(entry.job->outputOrigin(index)) : placement.findForNew(entry.job->item(index).id);
    };
    const auto index = entry.job->nextItem(now, [&upstreamFor](std::size_t candidate) { return upstreamFor(candidate) != nullptr; });
    if (!index) {
        return false;
    }
    const UpstreamInfo *upstream = upstreamFor(*index);
    --freeSlots.at(upstream->service);
    const auto run = this->createRun(entry, *index, *upstream, route->maxAttempts, now);
    entry.job->markStarted(*index, {.service = upstream->service, .softwareVersion = upstream->softwareVersion});
    this->runs.push_back(run);
    const BatchItem &item = entry.job->item(*index);
    this->context.log.write("item_started",
                            {{"job", entry.header.id},
                             {"item", item.id},
                             {"organisation", entry.header.organisation},
                             {"upstream", upstream->id},
                             {"version", upstream->softwareVersion},
                             {"after", entry.job->lastEvent(*index).value_or(0)}});
    const CallerOrganisation organisation = itemOrganisation(entry.header.organisation, config.organisations != nullptr);
    const AttemptParameters parameters{.timeLeft = absl::InfiniteDuration(), .resumeAfter = entry.job->lastEvent(*index), .organisation = organisation};
    const ServingProtocol &protocol = this->context.attempts.protocol;
    run->attempt->send(protocol.prepareAttempt(protocol.itemRequest(item, entry.header.virtualHost, organisation), *upstream, parameters), item.id, true);
    return true;
}

void JobService::onItemEvent(const std::shared_ptr<ItemRun> &run, const StreamEvent &event)
{
    const auto found = this->entries.find(run->jobId);
    if (found == this->entries.end() || !found->second.job || !found->second.job->appendEvent(run->item, event.id, event.data)) {
        this->endRun(run, RunOutcome::Interrupted);
    }
}

void JobService::onItemEnded(const std::shared_ptr<ItemRun> &run, const AttemptResult &result)
{
    RunOutcome outcome = RunOutcome::Interrupted;
    if (result.head.status == permanentFailureStatus && result.outcome == AttemptOutcome::Completed) {
        outcome = RunOutcome::FailedPermanently;
    } else if (result.outcome == AttemptOutcome::Failed || (result.outcome == AttemptOutcome::Completed && result.head.status / 100 != 2)) {
        outcome = RunOutcome::Failed;
    } else if (result.outcome == AttemptOutcome::Completed) {
        outcome = RunOutcome::Completed;
    }
    this->endRun(run, outcome);
}

void JobService::endRun(const std::shared_ptr<ItemRun> &run, RunOutcome outcome)
{
    const absl::Time now = this->context.attempts.loop.now();
    const std::string upstream = run->attempt->upstream().id;
    UpstreamAttempt::stopAndDestroyLater(this->context.attempts.loop, std::move(run->attempt));
    this->runs.remove(run);
    const auto found = this->entries.find(run->jobId);
    if (found == this->entries.end() || !found->second.job) {
        return;
    }
    if (outcome == RunOutcome::Completed && !run->resumed) {
        this->itemRunTime.record(now - run->started);
    }
    static constexpr const char *names[] = {"completed", "impossible", "failed", "interrupted"};
    const char *name = names[static_cast<int>(outcome)];
    this->context.metrics.recordItemRun(run->service, name);
    this->context.log.write(
        "item_ended",
        {{"job", run->jobId}, {"item", found->second.job->item(run->item).id}, {"upstream", upstream}, {"end", name}, {"ranMs", now - run->started}});
    found->second.job->finishRun(run->item, outcome, run->maxFailures, now);
}

void JobService::stopRuns(const std::string &jobId)
{
    const std::list<std::shared_ptr<ItemRun>> current = this->runs;
    for (const auto &run : current) {
        if (run->jobId == jobId) {
            this->endRun(run, RunOutcome::Interrupted);
        }
    }
}

void JobService::preemptForOnline(absl::Time now)
{
    std::map<std::string, std::int64_t> toPreempt;
    for (const auto &run : this->runs) {
        const UpstreamInfo &upstream = run->attempt->upstream();
        if (!toPreempt.contains(upstream.id)) {
            const bool loadIsCurrent = now >= this->lastPreemptedAt[upstream.id] + this->loadPropagationTime();
            toPreempt[upstream.id] = loadIsCurrent ? this->context.choice.batchToPreempt(upstream, now) : 0;
        }
    }
    // Interrupts the newest runs first: they have the least output for the next upstream to read again.
    const std::vector<std::shared_ptr<ItemRun>> newestFirst(this->runs.rbegin(), this->runs.rend());
    for (const auto &run : newestFirst) {
        std::int64_t &remaining = toPreempt[run->attempt->upstream().id];
        if (remaining > 0) {
            --remaining;
            this->lastPreemptedAt[run->attempt->upstream().id] = now;
            this->context.metrics.recordBatchPreemption(run->service);
            this->endRun(run, RunOutcome::Interrupted);
        }
    }
}

void JobService::interruptSilentRuns(absl::Time now)
{
    const std::list<std::shared_ptr<ItemRun>> current = this->runs;
    for (const auto &run : current) {
        const absl::Time progress = run->attempt->lastActivity();
        const bool begun = progress > run->started;
        const std::string upstream = run->attempt->upstream().id;
        if (now - progress > (begun ? itemSilenceLimit : firstEventTimeout)) {
            if (now - this->context.attempts.health.lastActivity(upstream) > itemSilenceLimit) {
                this->context.attempts.health.recordFailure(upstream, now);
            }
            this->endRun(run, RunOutcome::Interrupted);
        }
    }
}

void JobService::evictOldJobs(absl::Time now)
{
    for (auto &[id, entry] : this->entries) {
        const bool old = !entry.progress.isOpen() && now > entry.header.submitted + memoryRetention && now > entry.lastReadAt + memoryRetention;
        if (old && entry.job && !entry.loading && !entry.appending) {
            if (this->runsHere(entry) && now > entry.header.submitted + storeRetention) {
                this->archive.remove(entry.header, entry.job->nextResultObject());
            }
            entry.job.reset();
            entry.itemsLoaded = false;
            entry.fenced = false;
        }
    }
}

void JobService::stop()
{
    this->stopping = true;
    const std::list<std::shared_ptr<ItemRun>> current = this->runs;
    for (const auto &run : current) {
        this->endRun(run, RunOutcome::Interrupted);
    }
}

std::size_t JobService::runningItems() const
{
    return this->runs.size();
}

} // namespace Bergamotramp
