#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>

#include <absl/time/time.h>

#include "BatchSegment.h"
#include "BatchService.h"
#include "BatchStore.h"
#include "HostContext.h"
#include "WorkerPool.h"

namespace Bergamotramp {

/** Claims segments (groups of items) of active jobs, runs their items on this host and commits the results to the store. */
class BatchRunner
{
public:
    BatchRunner(const HostContext &context, BatchStore &store, BatchService::RunItem runItem);
    ~BatchRunner();
    BatchRunner(const BatchRunner &) = delete;
    BatchRunner &operator=(const BatchRunner &) = delete;

    /** Makes the runner look for work at once instead of at the next scan. */
    void wake();
    /** Closes all segments of a cancelled job against further commits and marks the job as cancelled. Throws StoreError. */
    JobManifest finishCancelled(const JobManifest &manifest);
    [[nodiscard]] nlohmann::json status() const;
    void drain();

private:
    using SegmentKey = std::pair<JobId, std::int64_t>;
    struct ActiveSegment;
    using SegmentPointer = std::shared_ptr<ActiveSegment>;

    void run();
    void scan();
    void processJob(const JobId &job);
    void checkClaimedJobs(const std::vector<JobId> &active);
    void cancelClaimedSegments(const JobId &job);
    void finishIfDone(const JobManifest &manifest, const std::map<std::int64_t, StoredObject> &progress);
    void claimSegments(const JobManifest &manifest, const std::map<std::int64_t, StoredObject> &progress);
    bool claim(const JobManifest &manifest, std::int64_t segment, const std::optional<StoredObject> &stored);
    [[nodiscard]] bool holderMayBeWorking(const SegmentKey &key, const std::optional<StoredObject> &stored, const std::vector<HostInfo> &live) const;
    [[nodiscard]] std::size_t waitingItems() const;
    void startItems();
    bool startOneItem();
    void runItem(const SegmentPointer &segment, std::size_t index, const std::shared_ptr<CallCancellation> &cancellation);
    void commitSegments(bool release);
    void commit(const SegmentPointer &segment, const SegmentCommit &commit);
    void applyCommitResult(const SegmentPointer &segment, const WriteResult &result);
    void readBack(const SegmentPointer &segment);
    void removeEndedSegments();
    [[nodiscard]] absl::Duration scanPeriod() const;
    [[nodiscard]] absl::Duration commitPeriod() const;
    [[nodiscard]] std::vector<SegmentPointer> segmentsByDueTime() const;
    void waitForRunningItems(absl::Duration limit);
    void cancelRunningItems();

    const HostContext &context;
    BatchStore &store;
    BatchService::RunItem runItemCallback;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<SegmentKey, SegmentPointer> segments;
    std::size_t running = 0;
    std::uint64_t finishedItems = 0;
    absl::Time nextScan = absl::InfinitePast();
    std::map<JobId, absl::Time> lastProcessed;
    std::mt19937_64 random;
    bool wakeRequested = false;
    bool claiming = true;
    bool stopping = false;
    WorkerPool workers;
    std::thread scanThread;
};

} // namespace Bergamotramp
