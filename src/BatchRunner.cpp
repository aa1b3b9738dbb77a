#include "BatchRunner.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <glog/logging.h>

#include "EventLog.h"
#include "RendezvousHash.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration tickPeriod = absl::Milliseconds(50);
constexpr absl::Duration minScanPeriod = absl::Seconds(1);
// Limits the scans of all hosts together to about fifty a second; each scan takes a few reads of the store.
constexpr absl::Duration scanPeriodPerHost = absl::Milliseconds(20);
constexpr std::size_t maxJobsPerScan = 4;
constexpr absl::Duration minCommitPeriod = absl::Seconds(1);
// Limit for the commits of all hosts together, out of the several hundred writes a second that the store takes.
constexpr double fleetCommitWritesPerSecond = 150;
constexpr double writesPerCommit = 2;
constexpr std::size_t maxUncommittedBytes = 512 * 1024;
constexpr absl::Duration drainTimeout = absl::Seconds(10);
constexpr std::int64_t defaultMaxAttempts = 4;

ItemOutcome::Kind kindOfFailure(const ItemResult &result)
{
    if (result.interrupted) {
        return ItemOutcome::Kind::Interrupted;
    }
    return result.retryable ? ItemOutcome::Kind::Retryable : ItemOutcome::Kind::Failed;
}

} // namespace

struct BatchRunner::ActiveSegment {
    JobManifest manifest;
    std::int64_t number = 0;
    BatchSegment segment;
    std::map<std::size_t, std::shared_ptr<CallCancellation>> cancellations;
    absl::Time lastCommit;
};

BatchRunner::BatchRunner(const HostContext &context, BatchStore &store, BatchService::RunItem runItem)
    : context(context)
    , store(store)
    , runItemCallback(std::move(runItem))
    , random(stableHash(context.settings.name) + context.incarnation)
    , workers(static_cast<std::size_t>(context.settings.batchConcurrency))
    , scanThread([this] { this->run(); })
{
}

BatchRunner::~BatchRunner()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->scanThread.join();
    this->cancelRunningItems();
    this->workers.stop();
}

void BatchRunner::wake()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->wakeRequested = true;
    this->nextScan = absl::InfinitePast();
    this->changed.notify_all();
}

void BatchRunner::run()
{
    while (true) {
        {
            std::unique_lock<std::mutex> lock(this->mutex);
            this->changed.wait_for(lock, absl::ToChronoMicroseconds(tickPeriod), [this] { return this->stopping || this->wakeRequested; });
            if (this->stopping) {
                return;
            }
            this->wakeRequested = false;
        }
        try {
            this->startItems();
            this->commitSegments(false);
            this->removeEndedSegments();
            this->scan();
        } catch (const std::exception &error) {
            // The store is down or slow; the next tick retries.
            LOG_EVERY_N(WARNING, 20) << "batch work is delayed and will be retried: " << error.what();
        }
    }
}

absl::Duration BatchRunner::scanPeriod() const
{
    return std::max(minScanPeriod, scanPeriodPerHost * static_cast<std::int64_t>(this->context.liveHosts().size()));
}

absl::Duration BatchRunner::commitPeriod() const
{
    const double hosts = static_cast<double>(this->context.liveHosts().size());
    const std::lock_guard<std::mutex> lock(this->mutex);
    const double fleetSegments = hosts * static_cast<double>(this->segments.size());
    return std::max(minCommitPeriod, absl::Seconds(fleetSegments * writesPerCommit / fleetCommitWritesPerSecond));
}

void BatchRunner::scan()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->claiming || absl::Now() < this->nextScan) {
            return;
        }
    }
    const absl::Duration period = this->scanPeriod();
    // Jitter keeps hosts that started together from reading the store at the same time.
    const double factor = std::uniform_real_distribution<double>(0.8, 1.2)(this->random);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->nextScan = absl::Now() + period * factor;
    }
    const std::vector<JobId> jobs = this->store.activeJobs();
    this->checkClaimedJobs(jobs);
    std::erase_if(this->lastProcessed, [&jobs](const auto &entry) { return std::find(jobs.begin(), jobs.end(), entry.first) == jobs.end(); });
    // Jobs that have not been processed for the longest time come first.
    std::vector<std::pair<absl::Time, JobId>> order;
    for (const JobId &job : jobs) {
        order.emplace_back(this->lastProcessed.try_emplace(job, absl::InfinitePast()).first->second, job);
    }
    std::sort(order.begin(), order.end());
    for (std::size_t index = 0; index < std::min(order.size(), maxJobsPerScan); ++index) {
        this->lastProcessed[order[index].second] = absl::Now();
        this->processJob(order[index].second);
    }
}

// Stops work on jobs that were cancelled on another host, which removes them from the list of active jobs. Without this check the holder
// of a segment would notice the cancellation only at its next commit, which a long-running item can delay without bound.
void BatchRunner::checkClaimedJobs(const std::vector<JobId> &active)
{
    std::vector<JobId> unlistedJobs;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const auto &[key, segment] : this->segments) {
            const bool listed = std::find(active.begin(), active.end(), key.first) != active.end();
            if (!listed && (unlistedJobs.empty() || unlistedJobs.back() != key.first)) {
                unlistedJobs.push_back(key.first);
            }
        }
    }
    for (const JobId &job : unlistedJobs) {
        const std::optional<StoredManifest> stored = this->store.readManifest(job);
        if (stored && (stored->manifest.state == JobState::Cancelling || stored->manifest.state == JobState::Cancelled)) {
            this->cancelClaimedSegments(job);
        }
    }
}

void BatchRunner::cancelClaimedSegments(const JobId &job)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const auto &[key, segment] : this->segments) {
            if (key.first == job) {
                segment->segment.markCancelled();
            }
        }
    }
    this->removeEndedSegments();
}

void BatchRunner::processJob(const JobId &job)
{
    const std::optional<StoredManifest> stored = this->store.readManifest(job);
    if (!stored) {
        return;
    }
    if (stored->manifest.state == JobState::Cancelling) {
        this->cancelClaimedSegments(job);
        this->finishCancelled(stored->manifest);
        return;
    }
    if (stored->manifest.state != JobState::Running) {
        this->store.removeActive(job);
        return;
    }
    const std::map<std::int64_t, StoredObject> progress = this->store.readProgress(job);
    this->finishIfDone(stored->manifest, progress);
    this->claimSegments(stored->manifest, progress);
}

void BatchRunner::finishIfDone(const JobManifest &manifest, const std::map<std::int64_t, StoredObject> &progress)
{
    if (static_cast<std::int64_t>(progress.size()) < manifest.segments) {
        return;
    }
    std::int64_t completed = 0;
    std::int64_t failed = 0;
    for (const auto &[number, stored] : progress) {
        const SegmentProgress record = SegmentProgress::fromJsonText(stored.value);
        if (!record.finished()) {
            return;
        }
        completed += record.count(SegmentProgress::completedItem);
        failed += record.count(SegmentProgress::failedItem);
    }
    const JobManifest storedManifest = this->store.changeState(manifest.job, JobState::Running, JobState::Completed, completed, failed);
    this->context.events->record("job-ended",
                                 {{"job", manifest.job.id}, {"state", jobStateName(storedManifest.state)}, {"completed", completed}, {"failed", failed}});
    this->store.removeActive(manifest.job);
}

JobManifest BatchRunner::finishCancelled(const JobManifest &manifest)
{
    std::map<std::int64_t, StoredObject> progress = this->store.readProgress(manifest.job);
    for (std::int64_t number = 0; number < manifest.segments; ++number) {
        const auto found = progress.find(number);
        this->store.closeSegment(manifest, number, found == progress.end() ? std::nullopt : std::optional<StoredObject>(found->second));
    }
    std::int64_t completed = 0;
    std::int64_t failed = 0;
    for (const auto &[number, stored] : this->store.readProgress(manifest.job)) {
        const SegmentProgress record = SegmentProgress::fromJsonText(stored.value);
        completed += record.count(SegmentProgress::completedItem);
        failed += record.count(SegmentProgress::failedItem);
    }
    const JobManifest storedManifest = this->store.changeState(manifest.job, JobState::Cancelling, JobState::Cancelled, completed, failed);
    this->context.events->record("job-ended",
                                 {{"job", manifest.job.id}, {"state", jobStateName(storedManifest.state)}, {"completed", completed}, {"failed", failed}});
    this->store.removeActive(manifest.job);
    return storedManifest;
}

bool BatchRunner::holderMayBeWorking(const SegmentKey &key, const std::optional<StoredObject> &stored, const std::vector<HostInfo> &live) const
{
    if (!stored) {
        return false;
    }
    const SegmentProgress record = SegmentProgress::fromJsonText(stored->value);
    if (record.holder == this->context.settings.name) {
        // This host may claim a segment again that it holds but isn't working on, for example because the answer to the claim was lost.
        const std::lock_guard<std::mutex> lock(this->mutex);
        return record.holderIncarnation == this->context.incarnation && this->segments.contains(key);
    }
    return std::any_of(
        live.begin(), live.end(), [&record](const HostInfo &host) { return host.name == record.holder && host.incarnation == record.holderIncarnation; });
}

std::size_t BatchRunner::waitingItems() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::size_t waiting = 0;
    for (const auto &[key, segment] : this->segments) {
        waiting += segment->segment.waitingItems();
    }
    return waiting;
}

void BatchRunner::claimSegments(const JobManifest &manifest, const std::map<std::int64_t, StoredObject> &progress)
{
    const std::vector<HostInfo> live = this->context.liveHosts();
    std::vector<std::string> names;
    for (const HostInfo &host : live) {
        names.push_back(host.name);
    }
    std::vector<std::int64_t> candidates;
    std::vector<std::int64_t> otherSegments;
    for (std::int64_t number = 0; number < manifest.segments; ++number) {
        const auto found = progress.find(number);
        const auto stored = found == progress.end() ? std::nullopt : std::optional<StoredObject>(found->second);
        const bool claimable = SegmentClaim::plan(stored, 1, "", 0, this->holderMayBeWorking({manifest.job, number}, stored, live)).has_value();
        if (claimable) {
            const bool ranksFirst = rendezvousPick(absl::StrCat(manifest.job.id, "/", number), names) == this->context.settings.name;
            (ranksFirst ? candidates : otherSegments).push_back(number);
        }
    }
    // Hosts try segments preferred by other hosts in random order, so that two hosts rarely claim the same one.
    std::shuffle(otherSegments.begin(), otherSegments.end(), this->random);
    candidates.insert(candidates.end(), otherSegments.begin(), otherSegments.end());
    for (const std::int64_t number : candidates) {
        if (this->waitingItems() >= static_cast<std::size_t>(this->context.settings.batchConcurrency)) {
            return;
        }
        const auto found = progress.find(number);
        this->claim(manifest, number, found == progress.end() ? std::nullopt : std::optional<StoredObject>(found->second));
        this->startItems();
    }
}

bool BatchRunner::claim(const JobManifest &manifest, std::int64_t segment, const std::optional<StoredObject> &stored)
{
    std::vector<SegmentItem> items = this->store.readSegment(manifest, segment);
    const std::optional<SegmentClaim> claim =
        SegmentClaim::plan(stored, static_cast<std::int64_t>(items.size()), this->context.settings.name, this->context.incarnation, false);
    if (!claim) {
        return false;
    }
    const WriteResult result = this->store.putProgress(manifest.job, segment, claim->progress, claim->precondition);
    if (result.outcome != WriteOutcome::Applied) {
        // If the claim was written but its answer was lost, the next scan finds the segment claimable.
        return false;
    }
    const std::shared_ptr<const Catalogue> catalogue = this->context.catalogue();
    const ServiceSpec *service = catalogue->find(manifest.service);
    const std::int64_t maxAttempts = service == nullptr ? defaultMaxAttempts : service->batch.maxAttempts;
    auto active = std::make_shared<ActiveSegment>(
        ActiveSegment{manifest, segment, BatchSegment(std::move(items), claim->progress, result.version, maxAttempts), {}, absl::Now()});
    this->context.events->record("segment-claimed", {{"job", manifest.job.id}, {"segment", segment}, {"epoch", claim->progress.epoch}});
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->segments[{manifest.job, segment}] = std::move(active);
    return true;
}

std::vector<BatchRunner::SegmentPointer> BatchRunner::segmentsByDueTime() const
{
    std::vector<SegmentPointer> order;
    for (const auto &[key, segment] : this->segments) {
        order.push_back(segment);
    }
    std::stable_sort(
        order.begin(), order.end(), [](const SegmentPointer &left, const SegmentPointer &right) { return left->manifest.due < right->manifest.due; });
    return order;
}

void BatchRunner::startItems()
{
    while (this->startOneItem()) {
    }
}

bool BatchRunner::startOneItem()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->claiming || this->running >= static_cast<std::size_t>(this->context.settings.batchConcurrency)) {
        return false;
    }
    for (const SegmentPointer &segment : this->segmentsByDueTime()) {
        const std::optional<std::size_t> index = segment->segment.nextItem(absl::Now());
        if (index) {
            ++this->running;
            const auto cancellation = std::make_shared<CallCancellation>();
            segment->cancellations[*index] = cancellation;
            this->workers.post([this, segment, index = *index, cancellation] { this->runItem(segment, index, cancellation); });
            return true;
        }
    }
    return false;
}

void BatchRunner::runItem(const SegmentPointer &segment, std::size_t index, const std::shared_ptr<CallCancellation> &cancellation)
{
    const JobManifest &manifest = segment->manifest;
    const JobHeader header{manifest.job.organisation, manifest.service, manifest.idempotencyKey, manifest.due};
    SegmentItem item;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        item = segment->segment.item(index);
    }
    ItemOutcome itemOutcome{ItemOutcome::Kind::Requeued, ""};
    if (!cancellation->cancelled()) {
        const ItemResult result = this->runItemCallback(header, item.customId, item.body, *cancellation);
        if (result.completed) {
            itemOutcome = {ItemOutcome::Kind::Completed, result.body};
        } else if (!cancellation->cancelled()) {
            itemOutcome = {kindOfFailure(result), result.error};
        }
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    segment->segment.itemEnded(index, itemOutcome, absl::Now());
    segment->cancellations.erase(index);
    --this->running;
    this->finishedItems += itemOutcome.kind == ItemOutcome::Kind::Completed || itemOutcome.kind == ItemOutcome::Kind::Failed ? 1 : 0;
    this->wakeRequested = true;
    this->changed.notify_all();
}

void BatchRunner::commitSegments(bool release)
{
    const absl::Duration period = this->commitPeriod();
    std::vector<std::pair<SegmentPointer, SegmentCommit>> commits;
    std::vector<SegmentPointer> awaitingReadBack;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const auto &[key, segment] : this->segments) {
            if (segment->segment.needsReadBack()) {
                awaitingReadBack.push_back(segment);
                continue;
            }
            const bool due = release || segment->segment.allItemsEnded() || segment->segment.uncommittedBytes() >= maxUncommittedBytes
                             || absl::Now() - segment->lastCommit >= period;
            const std::optional<SegmentCommit> commit = due ? segment->segment.nextCommit(release) : std::nullopt;
            if (commit) {
                commits.emplace_back(segment, *commit);
            }
        }
    }
    // A planned commit without a result blocks its segment for good, so the remaining calls are made even after one has failed.
    std::optional<StoreError> failure;
    const auto tryCall = [&failure](const std::function<void()> &call) {
        try {
            call();
        } catch (const std::exception &error) {
            failure = StoreError(error.what());
        }
    };
    for (const SegmentPointer &segment : awaitingReadBack) {
        tryCall([this, &segment] { this->readBack(segment); });
    }
    for (const auto &[segment, commit] : commits) {
        tryCall([this, &segment = segment, &commit = commit] { this->commit(segment, commit); });
    }
    if (failure) {
        throw StoreError(*failure);
    }
}

void BatchRunner::commit(const SegmentPointer &segment, const SegmentCommit &commit)
{
    const JobId &job = segment->manifest.job;
    try {
        if (!commit.part.empty()) {
            this->store.writeUnique(job.outputKey(segment->number, commit.part), commit.outputText);
        }
    } catch (const StoreError &) {
        this->applyCommitResult(segment, {WriteOutcome::Unavailable, 0});
        throw;
    }
    this->applyCommitResult(segment, this->store.putProgress(job, segment->number, commit.progress, Precondition::at(commit.expectedVersion)));
    this->readBack(segment);
}

void BatchRunner::applyCommitResult(const SegmentPointer &segment, const WriteResult &result)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    segment->segment.commitSettled(result);
    segment->lastCommit = absl::Now();
}

void BatchRunner::readBack(const SegmentPointer &segment)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!segment->segment.needsReadBack()) {
            return;
        }
    }
    const std::optional<StoredObject> stored = this->store.readSegmentProgress(segment->manifest.job, segment->number);
    const std::lock_guard<std::mutex> lock(this->mutex);
    segment->segment.applyReadBack(stored);
}

void BatchRunner::removeEndedSegments()
{
    std::vector<std::shared_ptr<CallCancellation>> cancelled;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (auto entry = this->segments.begin(); entry != this->segments.end();) {
            ActiveSegment &active = *entry->second;
            if (active.segment.state() == BatchSegment::State::Working) {
                ++entry;
                continue;
            }
            const char *state = active.segment.state() == BatchSegment::State::Finished    ? "finished"
                                : active.segment.state() == BatchSegment::State::Cancelled ? "cancelled"
                                                                                           : "lost";
            this->context.events->record("segment-ended", {{"job", active.manifest.job.id}, {"segment", active.number}, {"state", state}});
            for (const auto &[index, cancellation] : active.cancellations) {
                cancelled.push_back(cancellation);
            }
            entry = this->segments.erase(entry);
            // Scans at once for more work, or to complete the job.
            this->nextScan = absl::InfinitePast();
        }
    }
    for (const std::shared_ptr<CallCancellation> &cancellation : cancelled) {
        cancellation->cancel();
    }
}

void BatchRunner::waitForRunningItems(absl::Duration limit)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_for(lock, absl::ToChronoMicroseconds(limit), [this] { return this->running == 0; });
}

void BatchRunner::cancelRunningItems()
{
    std::vector<std::shared_ptr<CallCancellation>> cancelled;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const auto &[key, segment] : this->segments) {
            for (const auto &[index, cancellation] : segment->cancellations) {
                cancelled.push_back(cancellation);
            }
        }
    }
    for (const std::shared_ptr<CallCancellation> &cancellation : cancelled) {
        cancellation->cancel();
    }
}

void BatchRunner::drain()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->claiming = false;
        this->stopping = true;
    }
    this->changed.notify_all();
    this->waitForRunningItems(drainTimeout);
    this->cancelRunningItems();
    this->waitForRunningItems(drainTimeout);
    try {
        // The first call commits finished items, the second releases the claims.
        this->commitSegments(false);
        this->commitSegments(true);
    } catch (const StoreError &error) {
        LOG(WARNING) << "cannot release batch segments; other hosts take them over once this host has left: " << error.what();
    }
}

nlohmann::json BatchRunner::status() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[key, segment] : this->segments) {
        list.push_back(
            {{"job", key.first.id}, {"segment", key.second}, {"running", segment->segment.runningItems()}, {"waiting", segment->segment.waitingItems()}});
    }
    return {{"segments", list}, {"running_items", this->running}, {"finished_items", this->finishedItems}};
}

} // namespace Bergamotramp
