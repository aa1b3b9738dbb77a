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

/** Claims segments of active jobs and runs their items on this host. */
class BatchRunner
{
public:
    BatchRunner(const HostContext &context, BatchStore &store, BatchService::RunItem runItem);
    ~BatchRunner();
    BatchRunner(const BatchRunner &) = delete;
    BatchRunner &operator=(const BatchRunner &) = delete;

    /** Looks for work soon. */
    void wake();
    /** Closes the segments of a cancelled job and records its end. Throws StoreError. */
    JobManifest finishCancelled(const JobManifest &manifest);
    [[nodiscard]] nlohmann::json status() const;
    void drain();

private:
    using SegmentKey = std::pair<JobId, std::int64_t>;
    struct ActiveSegment;
    using SegmentPointer = std::shared_ptr<ActiveSegment>;

    void run();
    void scan();
    void lookAt(const JobId &job);
    void checkHeldJobs(const std::vector<JobId> &active);
    void cancelHeldSegments(const JobId &job);
    void finishIfDone(const JobManifest &manifest, const std::map<std::int64_t, StoredObject> &progress);
    void claimSegments(const JobManifest &manifest, const std::map<std::int64_t, StoredObject> &progress);
    bool claim(const JobManifest &manifest, std::int64_t segment, const std::optional<StoredObject> &stored);
    [[nodiscard]] bool holderLives(const SegmentKey &key, const std::optional<StoredObject> &stored, const std::vector<HostInfo> &live) const;
    [[nodiscard]] std::size_t waitingItems() const;
    void startItems();
    bool startOneItem();
    void runItem(const SegmentPointer &segment, std::size_t index, const std::shared_ptr<CallCancellation> &cancellation);
    void commitSegments(bool release);
    void commit(const SegmentPointer &segment, const SegmentCommit &commit);
    void settle(const SegmentPointer &segment, const WriteResult &result);
    void readBack(const SegmentPointer &segment);
    void dropEndedSegments();
    [[nodiscard]] absl::Duration scanPeriod() const;
    [[nodiscard]] absl::Duration commitPeriod() const;
    [[nodiscard]] std::vector<SegmentPointer> segmentsByDue() const;
    void waitForRunningItems(absl::Duration limit);
    void cancelRunningItems();

    const HostContext &context;
    BatchStore &store;
    BatchService::RunItem callback;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<SegmentKey, SegmentPointer> segments;
    std::size_t running = 0;
    std::uint64_t finishedItems = 0;
    absl::Time nextScan = absl::InfinitePast();
    std::map<JobId, absl::Time> nextLook;
    std::mt19937_64 random;
    bool woken = false;
    bool claiming = true;
    bool stopping = false;
    WorkerPool workers;
    std::thread thread;
};

} // namespace Bergamotramp
