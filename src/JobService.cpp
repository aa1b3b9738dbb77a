#include "JobService.h"

#include <algorithm>
#include <set>

namespace Bergamotramp {

namespace {

constexpr std::size_t maxPageBytes = 600 * 1024;
// A host that starts knows no other hosts yet, and takes over their jobs no sooner than this.
constexpr absl::Duration takeoverDelay = absl::Seconds(3);
// The former runner learns of a takeover by its watch of the store within this time, and then no longer answers from memory.
constexpr absl::Duration takeoverNotice = absl::Milliseconds(2200);
constexpr absl::Duration storeRetryDelay = absl::Milliseconds(300);
// Objects that another writer spoiled may be put right by an operator.
constexpr absl::Duration unreadableRetryDelay = absl::Seconds(10);
// Only the limit on waiting tokens needs the progress of open jobs; far below the limit the end of a job is enough.
constexpr absl::Duration progressPeriod = absl::Seconds(1);
constexpr double progressShareOfLimit = 0.4;
// Results that end soon after one another take one call to the store.
constexpr absl::Duration appendDelay = absl::Seconds(1);
constexpr absl::Duration viewPollDelay = absl::Milliseconds(400);
// What the near hosts started or took away is known after their next announcement; it crosses the link between regions and
// waits for the receiver's next decision.
constexpr absl::Duration loadNoticeTime = absl::Milliseconds(120);
// Share of the time until a job is due after which its items also run far from their host.
constexpr double urgentShareOfDue = 0.5;
// An upstream sends an event every few tens of milliseconds.
constexpr absl::Duration itemSilenceLimit = absl::Milliseconds(900);
constexpr absl::Duration firstEventLimit = absl::Seconds(2);
// Callers may read a job for two minutes after its submission.
constexpr absl::Duration keepInMemory = absl::Seconds(150);
constexpr absl::Duration keepInStore = absl::Minutes(10);
constexpr int impossibleStatus = 422;

} // namespace

JobService::JobService(const JobContext &context) : context(context), archive(context.store), startedAt(context.attempts.loop.now())
{
}

JobService::~JobService() = default;

JobService::Entry *JobService::adopt(const ObjectRecord &object)
{
    Entry &entry = this->entries[object.name];
    if (object.revision < entry.revision) {
        return &entry;
    }
    try {
        entry.header = JobRecord::fromJson(object.name, object.content);
    } catch (const JobFormatError &error) {
        this->context.log.write("job_unreadable", {{"job", object.name}, {"error", error.what()}});
        this->entries.erase(object.name);
        return nullptr;
    }
    entry.revision = object.revision;
    const bool ranHere = this->runsHere(entry);
    const bool wasOpen = entry.progress.open();
    entry.progress = JobProgress::fromJson(object.status);
    if (ranHere && !this->runsHere(entry)) {
        entry.fenced = false;
    }
    if (wasOpen && entry.progress.cancelled) {
        this->context.log.write("job_cancelled", {{"job", object.name}, {"revision", object.revision}});
        this->stopRuns(object.name);
        this->answerReaders(entry);
    }
    return &entry;
}

void JobService::setHeaders(const std::vector<ObjectRecord> &objects)
{
    for (const ObjectRecord &object : objects) {
        this->adopt(object);
    }
}

void JobService::changeHeader(const ObjectChange &change)
{
    if (!change.removed) {
        this->adopt(change.object);
        return;
    }
    this->stopRuns(change.object.name);
    this->entries.erase(change.object.name);
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
            Entry *entry = this->adopt(*reply.object);
            done(entry == nullptr ? JobLookup::Unsure : JobLookup::Found, entry);
        } else {
            done(reply.result == StoreResult::Missing ? JobLookup::Missing : JobLookup::Unsure, nullptr);
        }
    });
}

std::int64_t JobService::waitingTokens(const std::string &host, const std::string &pathPrefix) const
{
    std::int64_t sum = 0;
    for (const auto &[id, entry] : this->entries) {
        if (entry.progress.open() && entry.header.host == host && entry.header.pathPrefix == pathPrefix) {
            const std::int64_t finished = entry.job ? entry.job->tokensFinished() : 0;
            sum += entry.header.tokens - std::max(finished, entry.progress.tokensFinished);
        }
    }
    return sum;
}

void JobService::submit(
    const SubmittedJob &submission, const Route &route, const std::string &host, absl::Time giveUpAt, std::function<void(SubmitResult)> done)
{
    if (this->entries.contains(submission.id)) {
        done(SubmitResult::Accepted);
        return;
    }
    const std::int64_t waiting = this->waitingTokens(host, route.pathPrefix);
    if (route.maxWaitingTokens > 0 && waiting + submission.tokens() > route.maxWaitingTokens) {
        // The job may have been accepted by another host a moment ago; then it is not refused.
        this->archive.readHeader(submission.id, [this, waiting, id = submission.id, done = std::move(done)](const ObjectReply &reply) {
            const bool accepted = reply.result == StoreResult::Done && this->adopt(*reply.object) != nullptr;
            this->context.log.write("job_limit", {{"job", id}, {"waitingTokens", waiting}, {"accepted", accepted}});
            if (accepted) {
                done(SubmitResult::Accepted);
            } else {
                done(reply.result == StoreResult::Missing ? SubmitResult::TooMuchWaiting : SubmitResult::Unknown);
            }
        });
        return;
    }
    const JobRecord header{.id = submission.id,
                           .host = host,
                           .pathPrefix = route.pathPrefix,
                           .owner = this->context.host,
                           .submitted = this->context.attempts.loop.now(),
                           .tokens = submission.tokens(),
                           .items = submission.items.size()};
    this->writeItems(submission, header, giveUpAt, std::move(done));
}

void JobService::writeItems(const SubmittedJob &submission, JobRecord header, absl::Time giveUpAt, std::function<void(SubmitResult)> done)
{
    this->archive.writeItems(submission, [this, submission, header, giveUpAt, done = std::move(done)](StoreResult result, std::size_t parts) mutable {
        if (result == StoreResult::Done) {
            header.inputParts = parts;
            this->writeHeader(submission, header, false, giveUpAt, std::move(done));
            return;
        }
        if (result == StoreResult::Unanswered && this->context.attempts.loop.now() < giveUpAt) {
            this->writeItems(submission, header, giveUpAt, std::move(done));
            return;
        }
        // Without a header the items are not a job, whether they are in the store or not.
        this->context.log.write("job_refused", {{"job", submission.id}, {"reason", "store_unavailable"}});
        done(SubmitResult::Unavailable);
    });
}

void JobService::writeHeader(
    const SubmittedJob &submission, const JobRecord &header, bool unanswered, absl::Time giveUpAt, std::function<void(SubmitResult)> done)
{
    this->archive.writeHeader(header, [this, submission, header, unanswered, giveUpAt, done = std::move(done)](const ObjectReply &reply) {
        if (reply.result == StoreResult::Done) {
            Entry &entry = this->entries[header.id];
            entry.header = header;
            entry.revision = std::max(entry.revision, reply.object ? reply.object->revision : 0);
            if (!entry.job) {
                entry.job = std::make_unique<Job>(header, submission.items);
                entry.itemsLoaded = true;
                entry.fenced = true;
            }
            this->context.log.write(
                "job_accepted",
                {{"job", header.id}, {"items", static_cast<std::uint64_t>(header.items)}, {"tokens", header.tokens}, {"revision", entry.revision}});
            done(SubmitResult::Accepted);
            this->tick();
            return;
        }
        if (reply.result == StoreResult::Conflict) {
            this->context.log.write("job_known", {{"job", header.id}});
            done(SubmitResult::Accepted);
            return;
        }
        const bool mayBeWritten = unanswered || reply.result == StoreResult::Unanswered;
        if (mayBeWritten && this->context.attempts.loop.now() < giveUpAt) {
            // The answer decides what the caller may be told, so the create is repeated until there is one.
            this->writeHeader(submission, header, true, giveUpAt, done);
            return;
        }
        this->context.log.write("job_refused", {{"job", header.id}, {"reason", mayBeWritten ? "store_unanswered" : "store_unavailable"}});
        done(mayBeWritten ? SubmitResult::Unknown : SubmitResult::Unavailable);
    });
}

void JobService::locate(const std::string &jobId, std::function<void(JobLookup, const std::string &)> done)
{
    this->lookUp(jobId, [this, done = std::move(done)](JobLookup result, Entry *entry) {
        done(result, entry == nullptr ? std::string() : this->context.runningHost(entry->header.id, runnerOf(*entry)));
    });
}

const std::string &JobService::runnerOf(const Entry &entry)
{
    return entry.progress.runner.empty() ? entry.header.owner : entry.progress.runner;
}

bool JobService::runsHere(const Entry &entry) const
{
    return !this->stopping && runnerOf(entry) == this->context.host;
}

void JobService::takeOver(Entry &entry, absl::Time now)
{
    const bool settled = now > this->startedAt + takeoverDelay;
    if (this->stopping || !settled || entry.writingProgress || now < entry.retryAt
        || this->context.runningHost(entry.header.id, runnerOf(entry)) != this->context.host) {
        return;
    }
    entry.writingProgress = true;
    JobProgress progress = entry.progress;
    progress.runner = this->context.host;
    this->context.log.write("job_takeover", {{"job", entry.header.id}, {"from", runnerOf(entry)}, {"revision", entry.revision}});
    this->archive.writeProgress(entry.header.id, entry.revision, progress, [this, jobId = entry.header.id](const ObjectReply &reply) {
        const auto found = this->entries.find(jobId);
        if (found == this->entries.end()) {
            return;
        }
        found->second.writingProgress = false;
        found->second.appendFrom = this->context.attempts.loop.now() + takeoverNotice;
        if (reply.object) {
            this->adopt(*reply.object);
        }
        if (reply.result != StoreResult::Done && reply.result != StoreResult::Conflict) {
            this->storeFailed(found->second, reply.result);
        }
    });
}

void JobService::storeFailed(Entry &entry, StoreResult result)
{
    entry.retryAt = this->context.attempts.loop.now() + (result == StoreResult::Unreadable ? unreadableRetryDelay : storeRetryDelay);
    if (result == StoreResult::Unreadable) {
        this->context.log.write("job_unreadable", {{"job", entry.header.id}});
    }
    if (result == StoreResult::Unanswered) {
        this->context.storeUnanswered();
    }
}

void JobService::load(Entry &entry, bool withItems, std::function<void(StoreResult)> done)
{
    const std::string jobId = entry.header.id;
    entry.loaders.push_back(std::move(done));
    if (entry.loading) {
        return;
    }
    entry.loading = true;
    if (entry.job && (entry.itemsLoaded || !withItems)) {
        this->loadResults(jobId);
        return;
    }
    if (!withItems) {
        entry.job = std::make_unique<Job>(entry.header, std::vector<BatchItem>());
        this->loadResults(jobId);
        return;
    }
    this->archive.readItems(entry.header, [this, jobId](StoreResult result, std::vector<BatchItem> items) {
        const auto found = this->entries.find(jobId);
        if (found == this->entries.end()) {
            return;
        }
        if (result != StoreResult::Done) {
            this->loaded(jobId, result);
            return;
        }
        found->second.job = std::make_unique<Job>(found->second.header, std::move(items));
        found->second.itemsLoaded = true;
        found->second.fenced = false;
        this->loadResults(jobId);
    });
}

void JobService::loadResults(const std::string &jobId)
{
    const std::uint64_t number = this->entries.at(jobId).job->nextObject();
    this->archive.readResults(jobId, number, [this, jobId, number](StoreResult result, const std::vector<JobResult> &results) {
        const auto found = this->entries.find(jobId);
        if (found == this->entries.end()) {
            return;
        }
        if (result != StoreResult::Done) {
            this->loaded(jobId, result == StoreResult::Missing ? StoreResult::Done : result);
            return;
        }
        if (found->second.job->nextObject() == number) {
            found->second.job->stored(results);
        }
        this->loadResults(jobId);
    });
}

void JobService::loaded(const std::string &jobId, StoreResult result)
{
    Entry &entry = this->entries.at(jobId);
    entry.loading = false;
    if (result != StoreResult::Done) {
        this->storeFailed(entry, result);
    }
    this->context.log.write("job_loaded",
                            {{"job", jobId},
                             {"ok", result == StoreResult::Done},
                             {"results", static_cast<std::uint64_t>(entry.job ? entry.job->storedResults() : 0)},
                             {"objects", entry.job ? entry.job->nextObject() : 0}});
    const auto waiting = std::move(entry.loaders);
    entry.loaders.clear();
    for (const auto &done : waiting) {
        done(result);
    }
}

void JobService::read(const std::string &jobId, std::size_t position, absl::Duration wait, std::function<void(JobLookup, const JobPage &)> done)
{
    this->lookUp(jobId, [this, jobId, position, wait, done = std::move(done)](JobLookup result, Entry *entry) {
        if (entry == nullptr) {
            done(result, {});
            return;
        }
        entry->lastUse = this->context.attempts.loop.now();
        const bool known = entry->job && entry->itemsLoaded && entry->fenced && !entry->loading && this->runsHere(*entry);
        const bool hasMore = entry->job && entry->job->storedResults() > position;
        if (known || hasMore || (entry->job && entry->job->complete())) {
            this->readLoaded(*entry, position, wait, done);
            return;
        }
        this->load(*entry, false, [this, jobId, position, wait, done](StoreResult loadResult) {
            const auto found = this->entries.find(jobId);
            if (loadResult != StoreResult::Done || found == this->entries.end()) {
                done(JobLookup::Unsure, {});
                return;
            }
            this->readLoaded(found->second, position, wait, done);
        });
    });
}

void JobService::readLoaded(Entry &entry, std::size_t position, absl::Duration wait, std::function<void(JobLookup, const JobPage &)> done)
{
    if (entry.job->storedResults() > position || wait <= absl::ZeroDuration() || entry.job->complete() || entry.progress.cancelled) {
        done(JobLookup::Found, entry.job->page(position, maxPageBytes));
        return;
    }
    if (!this->runsHere(entry) || !entry.itemsLoaded) {
        // Another host writes the results; they are looked for in the store.
        const absl::Duration pause = std::min(wait, viewPollDelay);
        const auto reader = std::make_shared<Reader>();
        reader->timer = this->context.attempts.loop.after(
            pause, [this, reader, id = entry.header.id, position, left = wait - pause, done] { this->read(id, position, left, done); });
        return;
    }
    const auto reader = std::make_shared<Reader>();
    reader->position = position;
    reader->done = std::move(done);
    reader->timer = this->context.attempts.loop.after(wait, [this, id = entry.header.id, weak = std::weak_ptr<Reader>(reader)] {
        const auto found = this->entries.find(id);
        const auto due = weak.lock();
        if (due && found != this->entries.end() && found->second.job) {
            found->second.readers.remove(due);
            due->done(JobLookup::Found, found->second.job->page(due->position, maxPageBytes));
        }
    });
    entry.readers.push_back(reader);
}

void JobService::answerReaders(Entry &entry)
{
    if (!entry.job) {
        return;
    }
    std::vector<std::shared_ptr<Reader>> ready;
    for (const auto &reader : entry.readers) {
        if (entry.job->storedResults() > reader->position || entry.job->complete() || entry.progress.cancelled) {
            ready.push_back(reader);
        }
    }
    for (const auto &reader : ready) {
        entry.readers.remove(reader);
        reader->done(JobLookup::Found, entry.job->page(reader->position, maxPageBytes));
    }
}

void JobService::itemBody(const std::string &jobId, const std::string &itemId, std::function<void(JobLookup, const std::string &)> done)
{
    this->lookUp(jobId, [this, jobId, itemId, done = std::move(done)](JobLookup result, Entry *entry) {
        if (entry == nullptr) {
            done(result, {});
            return;
        }
        const auto answer = [this, jobId, itemId, done](StoreResult loadResult) {
            const auto found = this->entries.find(jobId);
            if (loadResult != StoreResult::Done || found == this->entries.end() || !found->second.itemsLoaded) {
                done(JobLookup::Unsure, {});
                return;
            }
            const BatchItem *item = found->second.job->findItem(itemId);
            done(item == nullptr ? JobLookup::Missing : JobLookup::Found, item == nullptr ? std::string() : item->body);
        };
        if (entry->itemsLoaded) {
            answer(StoreResult::Done);
        } else {
            this->load(*entry, true, answer);
        }
    });
}

void JobService::cancel(const std::string &jobId, absl::Time giveUpAt, std::function<void(JobLookup)> done)
{
    this->lookUp(jobId, [this, jobId, giveUpAt, done = std::move(done)](JobLookup result, Entry *entry) {
        if (entry == nullptr) {
            done(result);
        } else if (!entry->progress.open()) {
            done(JobLookup::Found);
        } else {
            this->writeCancel(jobId, entry->revision, entry->progress, giveUpAt, done);
        }
    });
}

void JobService::refresh(const std::string &jobId)
{
    this->archive.readHeader(jobId, [this, jobId](const ObjectReply &reply) {
        if (reply.result == StoreResult::Done) {
            this->adopt(*reply.object);
        } else {
            // The watch of the headers brings the change later.
            this->context.log.write("job_not_refreshed", {{"job", jobId}});
        }
    });
}

void JobService::writeCancel(const std::string &jobId, std::uint64_t revision, JobProgress progress, absl::Time giveUpAt, std::function<void(JobLookup)> done)
{
    progress.cancelled = true;
    this->archive.writeProgress(jobId, revision, progress, [this, jobId, revision, progress, giveUpAt, done = std::move(done)](const ObjectReply &reply) {
        if (reply.object) {
            this->adopt(*reply.object);
        }
        const auto found = this->entries.find(jobId);
        if (reply.result == StoreResult::Done || (found != this->entries.end() && !found->second.progress.open())) {
            this->context.log.write("job_end_stored", {{"job", jobId}, {"revision", revision}});
            this->stopRuns(jobId);
            done(JobLookup::Found);
            return;
        }
        if (reply.result == StoreResult::Missing) {
            done(JobLookup::Missing);
            return;
        }
        if (this->context.attempts.loop.now() >= giveUpAt) {
            done(JobLookup::Unsure);
            return;
        }
        const std::uint64_t next = reply.result == StoreResult::Conflict && reply.object ? reply.object->revision : revision;
        this->writeCancel(jobId, next, progress, giveUpAt, done);
    });
}

void JobService::tick()
{
    const absl::Time now = this->context.attempts.loop.now();
    this->replaceSilent(now);
    this->yieldToOnline(now);
    for (auto &[id, entry] : this->entries) {
        this->tickEntry(entry, now);
    }
    this->startItems(now);
    this->forgetOld(now);
}

void JobService::tickEntry(Entry &entry, absl::Time now)
{
    if (!entry.progress.open()) {
        return;
    }
    if (!this->runsHere(entry)) {
        this->stopRuns(entry.header.id);
        this->takeOver(entry, now);
        return;
    }
    if (!entry.itemsLoaded) {
        if (!entry.loading && now >= entry.retryAt) {
            this->load(entry, true, [](StoreResult) {});
        }
        return;
    }
    if (entry.loading) {
        return;
    }
    if (!entry.fenced) {
        if (!entry.appending && now >= entry.retryAt) {
            this->fence(entry);
        }
        return;
    }
    if (entry.job->hasUnstored() && !entry.appending && now >= std::max(entry.retryAt, entry.appendFrom)) {
        this->appendWhenDue(entry, now);
    }
    const bool finished = entry.job->complete();
    const bool progressed = entry.job->tokensFinished() > entry.progress.tokensFinished && now >= entry.progressAt + progressPeriod && this->nearLimit(entry);
    if (!entry.writingProgress && now >= entry.retryAt && (finished || progressed)) {
        this->writeProgress(entry);
    }
}

bool JobService::nearLimit(const Entry &entry) const
{
    const auto config = this->context.config();
    const Route *route = config ? config->match(entry.header.host, entry.header.pathPrefix) : nullptr;
    if (route == nullptr || route->maxWaitingTokens == 0) {
        return false;
    }
    const auto waiting = static_cast<double>(this->waitingTokens(entry.header.host, entry.header.pathPrefix));
    return waiting > progressShareOfLimit * static_cast<double>(route->maxWaitingTokens);
}

void JobService::appendWhenDue(Entry &entry, absl::Time now)
{
    entry.unstoredSince = std::min(entry.unstoredSince, now);
    if (entry.job->allSettled() || now >= entry.unstoredSince + appendDelay) {
        entry.unstoredSince = absl::InfiniteFuture();
        this->append(entry);
    }
}

void JobService::fence(Entry &entry)
{
    this->createNext(entry, {}, "job_fenced", [this](const Entry &target, bool own) { return own && this->runsHere(target); });
}

void JobService::append(Entry &entry)
{
    // An object of another run of a host: that one may have taken the job over.
    this->createNext(
        entry, entry.job->unstored(JobArchive::maxObjectBytes / 2), "results_stored", [](const Entry &target, bool own) { return target.fenced && own; });
}

void JobService::createNext(Entry &entry, const std::vector<JobResult> &wanted, const char *event, std::function<bool(const Entry &, bool own)> fencedAfter)
{
    entry.appending = true;
    const std::string jobId = entry.header.id;
    const std::uint64_t number = entry.job->nextObject();
    this->archive.createResults(
        jobId,
        number,
        this->context.writer,
        wanted,
        [this, jobId, number, event, fencedAfter = std::move(fencedAfter)](StoreResult result, bool own, const std::vector<JobResult> &results) {
            const auto found = this->entries.find(jobId);
            if (found == this->entries.end()) {
                return;
            }
            Entry &target = found->second;
            target.appending = false;
            this->context.log.write(event,
                                    {{"job", jobId},
                                     {"object", number},
                                     {"ok", result == StoreResult::Done},
                                     {"own", own},
                                     {"results", static_cast<std::uint64_t>(results.size())}});
            if (result != StoreResult::Done) {
                this->storeFailed(target, result);
                return;
            }
            if (target.job && target.job->nextObject() == number) {
                target.job->stored(results);
                target.fenced = fencedAfter(target, own);
            }
            this->answerReaders(target);
            this->tickEntry(target, this->context.attempts.loop.now());
        });
}

void JobService::writeProgress(Entry &entry)
{
    entry.writingProgress = true;
    JobProgress progress = entry.progress;
    progress.finished = entry.job->complete();
    progress.tokensFinished = entry.job->tokensFinished();
    entry.progressAt = this->context.attempts.loop.now();
    this->archive.writeProgress(entry.header.id, entry.revision, progress, [this, jobId = entry.header.id](const ObjectReply &reply) {
        const auto found = this->entries.find(jobId);
        if (found == this->entries.end()) {
            return;
        }
        found->second.writingProgress = false;
        if (reply.object) {
            this->adopt(*reply.object);
        }
        if (reply.result != StoreResult::Done && reply.result != StoreResult::Conflict) {
            this->storeFailed(found->second, reply.result);
        }
    });
}

void JobService::startItems(absl::Time now)
{
    const auto config = this->context.config();
    if (!config || this->stopping) {
        return;
    }
    std::vector<Entry *> candidates;
    for (auto &[id, entry] : this->entries) {
        if (entry.progress.open() && entry.itemsLoaded && !entry.loading && this->runsHere(entry)) {
            candidates.push_back(&entry);
        }
    }
    std::ranges::sort(candidates, {}, [](const Entry *entry) { return entry->header.submitted; });
    std::int64_t left = this->startsThisRound(candidates, *config, now);
    for (Entry *entry : candidates) {
        while (left > 0 && this->startItem(*entry, *config, now)) {
            --left;
        }
    }
}

std::int64_t JobService::startsThisRound(const std::vector<Entry *> &candidates, const RoutingConfig &config, absl::Time now)
{
    std::int64_t waiting = 0;
    std::set<std::string> services;
    for (const Entry *entry : candidates) {
        waiting += static_cast<std::int64_t>(entry->job->waiting());
        if (const Route *route = config.match(entry->header.host, entry->header.pathPrefix)) {
            for (const RouteTarget &target : route->targets) {
                services.insert(target.service);
            }
        }
    }
    this->context.attempts.load.setOwnBatchWaiting(waiting);
    // Decisions that rest on the whole fleet's load are no more frequent than the announcements that show their effect.
    if (now < this->nextRound) {
        return 0;
    }
    this->nextRound = now + loadNoticeTime;
    return this->context.choice.batchToStart(services, now);
}

bool JobService::startItem(Entry &entry, const RoutingConfig &config, absl::Time now)
{
    const Route *route = config.match(entry.header.host, entry.header.pathPrefix);
    if (route == nullptr || route->kind != RouteKind::Batch || now > entry.header.submitted + route->jobRetention) {
        this->context.log.write("job_given_up", {{"job", entry.header.id}, {"reason", route == nullptr ? "no_route" : "retention"}});
        entry.job->giveUpRest();
        return false;
    }
    const auto index = entry.job->nextItem(now);
    if (!index) {
        return false;
    }
    const std::string service = chooseTarget(*route, static_cast<double>(*index % 100) / 100.0);
    const bool urgent = now > entry.header.submitted + route->jobDue * urgentShareOfDue;
    const UpstreamInfo *upstream = this->context.choice.forBatch(service, urgent ? BatchReach::All : BatchReach::Near, now);
    if (upstream == nullptr) {
        return false;
    }
    const auto run = std::make_shared<Run>();
    run->jobId = entry.header.id;
    run->item = *index;
    run->service = service;
    run->started = now;
    run->maxFailures = route->maxAttempts;
    const auto weak = std::weak_ptr<Run>(run);
    run->attempt = std::make_unique<UpstreamAttempt>(this->context.attempts,
                                                     *upstream,
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
    entry.job->started(*index);
    this->runs.push_back(run);
    const BatchItem &item = entry.job->item(*index);
    this->context.log.write("item_started",
                            {{"job", entry.header.id}, {"item", item.id}, {"upstream", upstream->id}, {"after", entry.job->lastEvent(*index).value_or(0)}});
    const AttemptTerms terms{.timeLeft = absl::InfiniteDuration(), .resumeAfter = entry.job->lastEvent(*index)};
    run->attempt->send(
        this->context.attempts.protocol.prepareAttempt(this->context.attempts.protocol.itemRequest(item, entry.header.host), *upstream, terms), item.id, true);
    return true;
}

void JobService::onItemEvent(const std::shared_ptr<Run> &run, const StreamEvent &event)
{
    const auto found = this->entries.find(run->jobId);
    if (found == this->entries.end() || !found->second.job || !found->second.job->event(run->item, event.id, event.data)) {
        this->endRun(run, RunEnd::Interrupted);
    }
}

void JobService::onItemEnded(const std::shared_ptr<Run> &run, const AttemptResult &result)
{
    RunEnd end = RunEnd::Interrupted;
    if (result.head.status == impossibleStatus && result.end == AttemptEnd::Completed) {
        end = RunEnd::Impossible;
    } else if (result.end == AttemptEnd::Failed || (result.end == AttemptEnd::Completed && result.head.status / 100 != 2)) {
        end = RunEnd::Failed;
    } else if (result.end == AttemptEnd::Completed) {
        end = RunEnd::Completed;
    }
    this->endRun(run, end);
}

void JobService::endRun(const std::shared_ptr<Run> &run, RunEnd end)
{
    const absl::Time now = this->context.attempts.loop.now();
    const std::string upstream = run->attempt->upstream().id;
    UpstreamAttempt::retire(this->context.attempts.loop, std::move(run->attempt));
    this->runs.remove(run);
    const auto found = this->entries.find(run->jobId);
    if (found == this->entries.end() || !found->second.job) {
        return;
    }
    static constexpr const char *names[] = {"completed", "impossible", "failed", "interrupted"};
    const char *name = names[static_cast<int>(end)];
    this->context.metrics.itemEnded(run->service, name);
    this->context.log.write(
        "item_ended",
        {{"job", run->jobId}, {"item", found->second.job->item(run->item).id}, {"upstream", upstream}, {"end", name}, {"ranMs", now - run->started}});
    found->second.job->ended(run->item, end, run->maxFailures, now);
}

void JobService::stopRuns(const std::string &jobId)
{
    const std::list<std::shared_ptr<Run>> current = this->runs;
    for (const auto &run : current) {
        if (run->jobId == jobId) {
            this->endRun(run, RunEnd::Interrupted);
        }
    }
}

void JobService::yieldToOnline(absl::Time now)
{
    std::map<std::string, std::int64_t> wanted;
    for (const auto &run : this->runs) {
        const UpstreamInfo &upstream = run->attempt->upstream();
        if (!wanted.contains(upstream.id)) {
            const bool settled = now >= this->yieldedAt[upstream.id] + loadNoticeTime;
            wanted[upstream.id] = settled ? this->context.choice.batchToYield(upstream, now) : 0;
        }
    }
    // The newest runs hold the least that has to be read again.
    const std::vector<std::shared_ptr<Run>> newestFirst(this->runs.rbegin(), this->runs.rend());
    for (const auto &run : newestFirst) {
        std::int64_t &left = wanted[run->attempt->upstream().id];
        if (left > 0) {
            --left;
            this->yieldedAt[run->attempt->upstream().id] = now;
            this->context.metrics.batchYielded(run->service);
            this->endRun(run, RunEnd::Interrupted);
        }
    }
}

void JobService::replaceSilent(absl::Time now)
{
    const std::list<std::shared_ptr<Run>> current = this->runs;
    for (const auto &run : current) {
        const absl::Time progress = run->attempt->lastProgress();
        const bool begun = progress > run->started;
        const std::string upstream = run->attempt->upstream().id;
        if (now - progress > (begun ? itemSilenceLimit : firstEventLimit)) {
            if (now - this->context.attempts.health.lastHeard(upstream) > itemSilenceLimit) {
                this->context.attempts.health.failed(upstream, now);
            }
            this->endRun(run, RunEnd::Interrupted);
        }
    }
}

void JobService::forgetOld(absl::Time now)
{
    for (auto &[id, entry] : this->entries) {
        const bool old = !entry.progress.open() && now > entry.header.submitted + keepInMemory && now > entry.lastUse + keepInMemory;
        if (old && entry.job && !entry.loading && !entry.appending) {
            if (this->runsHere(entry) && now > entry.header.submitted + keepInStore) {
                this->archive.remove(entry.header, entry.job->nextObject());
            }
            entry.job.reset();
            entry.itemsLoaded = false;
        }
    }
}

void JobService::stop()
{
    this->stopping = true;
    const std::list<std::shared_ptr<Run>> current = this->runs;
    for (const auto &run : current) {
        this->endRun(run, RunEnd::Interrupted);
    }
}

std::size_t JobService::runningItems() const
{
    return this->runs.size();
}

} // namespace Bergamotramp
