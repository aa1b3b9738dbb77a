#include "JobReads.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

namespace {

constexpr std::size_t maxPageBytes = 600 * 1024;
// An answer of the store that took longer, or that was read late because the host was paused, no longer shows that there are no results.
constexpr absl::Duration maxAgeOfNoResults = absl::Milliseconds(800);
constexpr absl::Duration resultPollDelay = absl::Milliseconds(400);

} // namespace

JobReads::JobReads(EventLoop &loop, JsonLog &log, Hooks hooks) : loop(loop), log(log), hooks(std::move(hooks))
{
}

void JobReads::read(const std::string &jobId, std::size_t position, absl::Duration wait, std::function<void(JobLookup, const JobPage &)> done)
{
    const absl::Time now = this->loop.now();
    this->serveRead(jobId, std::make_shared<ResultRead>(ResultRead{.position = position, .received = now, .waitUntil = now + wait, .done = std::move(done)}));
}

// A stored result never changes, so an answer with results is right whoever gives it. An answer without results is given only by a host
// that knows that no other host has shown more: from the store, or under the runner's lease.
void JobReads::serveRead(const std::string &jobId, const std::shared_ptr<ResultRead> &read)
{
    this->hooks.lookUp(jobId, [this, read](JobLookup result, JobEntry *entry) {
        if (entry == nullptr) {
            read->done(result, {});
            return;
        }
        entry->lastReadAt = this->loop.now();
        if (hasResultsFor(*entry, *read)) {
            this->sendPage(*entry, read->position, ReadSource::Memory, read->done);
        } else if (this->runsWithResults(*entry)) {
            this->serveReadAsRunner(*entry, read);
        } else {
            this->loadForRead(*entry, read);
        }
    });
}

void JobReads::serveReadAsRunner(JobEntry &entry, const std::shared_ptr<ResultRead> &read)
{
    // The answer to a call in progress tells whether there are more results.
    if (this->mayWait(entry, *read) || entry.appending) {
        this->holdRead(entry, read);
    } else if (this->knowsAllResults(entry)) {
        this->sendPage(entry, read->position, ReadSource::Memory, read->done);
    } else {
        this->loadForRead(entry, read);
    }
}

void JobReads::loadForRead(JobEntry &entry, const std::shared_ptr<ResultRead> &read)
{
    const absl::Time loadStartedAt = entry.loading ? entry.loadStartedAt : this->loop.now();
    this->hooks.loadResults(entry, [this, jobId = entry.header.id, read, loadStartedAt](StoreResult result) {
        JobEntry *const loaded = this->hooks.find(jobId);
        if (result != StoreResult::Done || loaded == nullptr) {
            read->done(JobLookup::Unknown, {});
        } else if (loadStartedAt < read->received && !hasResultsFor(*loaded, *read)) {
            // Results may have been stored and shown after this load looked for them and before the read arrived.
            this->serveRead(jobId, read);
        } else {
            this->serveLoadedRead(*loaded, read);
        }
    });
}

void JobReads::serveLoadedRead(JobEntry &entry, const std::shared_ptr<ResultRead> &read)
{
    if (hasResultsFor(entry, *read)) {
        this->sendPage(entry, read->position, ReadSource::Store, read->done);
    } else if (!this->mayWait(entry, *read)) {
        this->denyLoadedResults(entry, *read);
    } else if (this->runsWithResults(entry)) {
        this->holdRead(entry, read);
    } else {
        // Another host stores the results, so this host polls the store for them.
        const absl::Duration pause = std::min(read->waitUntil - this->loop.now(), resultPollDelay);
        read->timer = this->loop.after(pause, [this, jobId = entry.header.id, read] { this->serveRead(jobId, read); });
    }
}

void JobReads::denyLoadedResults(JobEntry &entry, const ResultRead &read)
{
    if (this->loop.nowIncludingSuspend() - entry.endSeenAt > maxAgeOfNoResults) {
        read.done(JobLookup::Unknown, {});
    } else {
        this->sendPage(entry, read.position, ReadSource::Store, read.done);
    }
}

void JobReads::holdRead(JobEntry &entry, const std::shared_ptr<ResultRead> &read)
{
    entry.pendingReads.push_back(read);
    const absl::Duration wait = read->waitUntil - this->loop.now();
    read->timer = this->loop.after(wait, [this, jobId = entry.header.id] {
        JobEntry *const waiting = this->hooks.find(jobId);
        if (waiting != nullptr && !waiting->appending) {
            this->resume(*waiting);
        }
    });
}

bool JobReads::hasResultsFor(const JobEntry &entry, const ResultRead &read)
{
    return entry.job && (entry.job->storedResultCount() > read.position || entry.job->allResultsStored());
}

bool JobReads::mayWait(const JobEntry &entry, const ResultRead &read) const
{
    return this->loop.now() < read.waitUntil && !entry.progress.cancelled;
}

bool JobReads::runsWithResults(const JobEntry &entry) const
{
    return entry.job && entry.itemsLoaded && entry.fenced && this->hooks.runsHere(entry);
}

bool JobReads::knowsAllResults(const JobEntry &entry) const
{
    const bool mayHaveStoredMore = entry.appending || entry.unansweredObject == entry.job->nextResultObject();
    return !mayHaveStoredMore && entry.lease.isValid(this->loop.nowIncludingSuspend());
}

void JobReads::resume(JobEntry &entry)
{
    std::vector<std::shared_ptr<ResultRead>> ready;
    for (const auto &read : entry.pendingReads) {
        if (hasResultsFor(entry, *read) || !this->mayWait(entry, *read) || !this->runsWithResults(entry)) {
            ready.push_back(read);
        }
    }
    for (const auto &read : ready) {
        entry.pendingReads.remove(read);
    }
    const std::string jobId = entry.header.id;
    for (const auto &read : ready) {
        this->serveRead(jobId, read);
    }
}

void JobReads::sendPage(JobEntry &entry, std::size_t position, ReadSource source, const std::function<void(JobLookup, const JobPage &)> &done)
{
    const JobPage page = entry.job->page(position, maxPageBytes);
    this->logRead(entry, position, page, source);
    done(JobLookup::Found, page);
}

void JobReads::logRead(JobEntry &entry, std::size_t position, const JobPage &page, ReadSource source)
{
    const ReadTrace trace{.source = source,
                          .empty = page.results.empty(),
                          .knownResults = entry.job->storedResultCount(),
                          .knownObjects = entry.job->nextResultObject(),
                          .revision = entry.revision,
                          .runsHere = this->hooks.runsHere(entry),
                          .fenced = entry.fenced};
    if (entry.loggedRead == trace) {
        return;
    }
    entry.loggedRead = trace;
    this->log.write("job_read",
                    {{"job", entry.header.id},
                     {"position", static_cast<std::uint64_t>(position)},
                     {"results", static_cast<std::uint64_t>(page.results.size())},
                     {"known", static_cast<std::uint64_t>(trace.knownResults)},
                     {"objects", trace.knownObjects},
                     {"source", source == ReadSource::Memory ? "memory" : "store"},
                     {"runsHere", trace.runsHere},
                     {"fenced", trace.fenced},
                     {"runner", entry.runner()},
                     {"revision", entry.revision}});
}

} // namespace Bergamotramp
