#include "BatchService.h"

#include <algorithm>
#include <atomic>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <glog/logging.h>

#include "BatchRunner.h"
#include "BatchStore.h"
#include "EventLog.h"
#include "JobInput.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t maxListedJobs = 1000;

JobStatus toStatus(const JobManifest &manifest)
{
    JobStatus status;
    status.id = manifest.job.id;
    status.organisation = manifest.job.organisation;
    status.service = manifest.service;
    status.state = jobStateName(manifest.state);
    status.total = manifest.items;
    status.completed = manifest.completed;
    status.failed = manifest.failed;
    status.created = manifest.created;
    status.due = manifest.due;
    return status;
}

/** Calls @p function, which uses the store, and converts its errors to a BatchError with the given run state. */
template <typename Function>
auto callStore(const std::string &runState, Function function)
{
    try {
        return function();
    } catch (const StoreError &error) {
        throw BatchError("store_unavailable", error.what(), runState);
    } catch (const BatchRecordError &error) {
        throw BatchError("store_unavailable", error.what(), runState);
    }
}

} // namespace

nlohmann::json JobStatus::toJson() const
{
    return {{"id", this->id},
            {"object", "batch"},
            {"service", this->service},
            {"state", this->state},
            {"total", this->total},
            {"completed", this->completed},
            {"failed", this->failed},
            {"created_at", absl::ToUnixSeconds(this->created)},
            {"due_at", absl::ToUnixSeconds(this->due)}};
}

BatchError::BatchError(std::string code, const std::string &message, std::string state)
    : std::runtime_error(message), errorCode(std::move(code)), errorState(std::move(state))
{
}

const std::string &BatchError::code() const
{
    return this->errorCode;
}

const std::string &BatchError::state() const
{
    return this->errorState;
}

class BatchService::Implementation
{
public:
    Implementation(const HostContext &context, RunItem runItem) : context(context), store(*context.store), runner(context, this->store, std::move(runItem))
    {
    }

    /** Status with item counts: from the progress of the segments while the job is active, else from the manifest. */
    JobStatus currentStatus(const JobManifest &manifest)
    {
        JobStatus status = toStatus(manifest);
        if (manifest.state == JobState::Running || manifest.state == JobState::Cancelling) {
            for (const auto &[number, stored] : this->store.readProgress(manifest.job)) {
                const SegmentProgress progress = SegmentProgress::fromJsonText(stored.value);
                status.completed += progress.count(SegmentProgress::completedItem);
                status.failed += progress.count(SegmentProgress::failedItem);
            }
        }
        return status;
    }

    JobManifest findManifest(const std::string &organisation, const std::string &id)
    {
        const auto stored = callStore("not_run", [&] { return this->store.readManifest({organisation, id}); });
        if (!stored) {
            throw BatchError("not_found", "there is no such job: " + id, "not_run");
        }
        return stored->manifest;
    }

    std::string nextUploadId()
    {
        return absl::StrCat(this->context.settings.name, "-", this->context.incarnation, "-", ++this->lastUpload);
    }

    const HostContext &context;
    BatchStore store;
    BatchRunner runner;
    std::atomic<std::uint64_t> lastUpload{0};
    std::atomic<bool> draining{false};
};

class BatchService::Submission::Implementation
{
public:
    Implementation(BatchService::Implementation &service, const JobHeader &header)
        : service(service)
        , job(JobId::of(header.organisation, header.key))
        , uploadId(service.nextUploadId())
        , input({service.context.settings.limits.jobItems, service.context.settings.limits.itemBytes})
    {
        this->manifest.job = this->job;
        this->manifest.idempotencyKey = header.key;
        this->manifest.service = header.service;
        this->manifest.uploadId = this->uploadId;
        this->manifest.due = header.due;
    }

    ~Implementation()
    {
        // Input that no manifest refers to is never read; removing it only saves space.
        if (!this->ownManifestStored && this->manifest.segments > 0 && !this->outcomeUnknown) {
            this->service.store.removeInput(this->job, this->uploadId, this->manifest.segments);
        }
    }
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    void append(std::string_view bytes)
    {
        this->convertInputErrors([&] { this->storeSegments(this->input.append(bytes)); });
    }

    JobStatus commit()
    {
        this->convertInputErrors([this] { this->storeSegments(this->input.finish()); });
        this->manifest.items = this->input.items();
        this->manifest.digest = this->input.digest();
        this->manifest.created = absl::Now();
        JobManifest storedManifest;
        try {
            storedManifest = callStore("unknown", [this] { return this->service.store.createJob(this->manifest); });
        } catch (const BatchError &) {
            this->outcomeUnknown = true;
            throw;
        }
        this->ownManifestStored = storedManifest.uploadId == this->uploadId;
        if (storedManifest.digest != this->manifest.digest || storedManifest.service != this->manifest.service) {
            throw BatchError("conflict", "the key belongs to a job with another body or service", "not_run");
        }
        this->service.context.events->record(
            "job-accepted",
            {{"job", this->job.id}, {"items", storedManifest.items}, {"segments", storedManifest.segments}, {"resent", !this->ownManifestStored}});
        this->service.runner.wake();
        return callStore("unknown", [&] { return this->service.currentStatus(storedManifest); });
    }

private:
    template <typename Function>
    void convertInputErrors(Function function)
    {
        try {
            function();
        } catch (const JobInputError &error) {
            throw BatchError(error.code(), error.what(), "not_run");
        }
    }

    void storeSegments(const std::vector<InputSegment> &completeSegments)
    {
        for (const InputSegment &segment : completeSegments) {
            const std::string key = this->job.inputKey(this->uploadId, this->manifest.segments);
            callStore("not_run", [&] { this->service.store.writeUnique(key, segment.text); });
            ++this->manifest.segments;
        }
    }

    BatchService::Implementation &service;
    JobId job;
    std::string uploadId;
    JobInput input;
    JobManifest manifest;
    bool ownManifestStored = false;
    bool outcomeUnknown = false;
};

BatchService::Submission::Submission(std::unique_ptr<Implementation> implementation) : implementation(std::move(implementation))
{
}

BatchService::Submission::~Submission() = default;

void BatchService::Submission::append(std::string_view bytes)
{
    this->implementation->append(bytes);
}

JobStatus BatchService::Submission::commit()
{
    return this->implementation->commit();
}

BatchService::BatchService(const HostContext &context, RunItem runItem) : implementation(std::make_unique<Implementation>(context, std::move(runItem)))
{
}

BatchService::~BatchService() = default;

std::unique_ptr<BatchService::Submission> BatchService::open(const JobHeader &header)
{
    if (this->implementation->draining) {
        throw BatchError("draining", "this host is stopping; use another one", "not_run");
    }
    return std::unique_ptr<Submission>(new Submission(std::make_unique<Submission::Implementation>(*this->implementation, header)));
}

JobStatus BatchService::status(const std::string &organisation, const std::string &id)
{
    const JobManifest manifest = this->implementation->findManifest(organisation, id);
    return callStore("not_run", [&] { return this->implementation->currentStatus(manifest); });
}

std::vector<JobStatus> BatchService::list(const std::string &organisation)
{
    return callStore("not_run", [&] {
        std::vector<JobStatus> jobs;
        for (const std::string &id : this->implementation->store.jobIds(organisation)) {
            const auto stored = this->implementation->store.readManifest({organisation, id});
            if (stored && jobs.size() < maxListedJobs) {
                jobs.push_back(toStatus(stored->manifest));
            }
        }
        std::sort(jobs.begin(), jobs.end(), [](const JobStatus &left, const JobStatus &right) { return left.created > right.created; });
        return jobs;
    });
}

JobStatus BatchService::cancel(const std::string &organisation, const std::string &id)
{
    this->implementation->findManifest(organisation, id);
    JobManifest manifest = callStore("unknown", [&] {
        return this->implementation->store.changeState({organisation, id}, JobState::Running, JobState::Cancelling, 0, 0);
    });
    this->implementation->context.events->record("job-cancelled", {{"job", id}, {"state", jobStateName(manifest.state)}});
    if (manifest.state == JobState::Cancelling) {
        // Any host whose scan processes the job now closes its segments; closing them here at once stops the work sooner.
        manifest = callStore("unknown", [&] { return this->implementation->runner.finishCancelled(manifest); });
    }
    return toStatus(manifest);
}

void BatchService::writeResults(const std::string &organisation, const std::string &id, const std::function<bool(std::string_view)> &sink)
{
    const JobManifest manifest = this->implementation->findManifest(organisation, id);
    callStore("not_run", [&] {
        for (const auto &[number, stored] : this->implementation->store.readProgress(manifest.job)) {
            for (const std::string &part : SegmentProgress::fromJsonText(stored.value).outputs) {
                if (!sink(this->implementation->store.readOutput(manifest.job, number, part))) {
                    return;
                }
            }
        }
    });
}

nlohmann::json BatchService::statusJson() const
{
    return this->implementation->runner.status();
}

void BatchService::drain()
{
    this->implementation->draining = true;
    this->implementation->runner.drain();
}

} // namespace Bergamotramp
