#include "BatchStore.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include "BatchSegment.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t pageSize = 500;
constexpr int maxAttempts = 5;
constexpr absl::Duration initialRetryDelay = absl::Milliseconds(50);

/** Waits after the failed attempt @p attempt, counted from 0; the delay doubles with each attempt. */
void waitBeforeRetry(int attempt)
{
    absl::SleepFor(initialRetryDelay * (1 << attempt));
}

} // namespace

BatchStore::BatchStore(StoreClient &client) : client(client)
{
}

std::optional<StoredManifest> BatchStore::readManifest(const JobId &job)
{
    const std::optional<StoredObject> stored = this->client.get(job.manifestKey());
    if (!stored) {
        return std::nullopt;
    }
    return StoredManifest{JobManifest::fromJsonText(stored->value), stored->version};
}

std::map<std::int64_t, StoredObject> BatchStore::readProgress(const JobId &job)
{
    const std::string prefix = job.progressPrefix();
    std::map<std::int64_t, StoredObject> progress;
    std::string after;
    while (true) {
        ListPage page = this->client.list(prefix, after, pageSize, true);
        for (StoredObject &object : page.objects) {
            std::int64_t segment = 0;
            after = object.key;
            if (absl::SimpleAtoi(object.key.substr(prefix.size()), &segment)) {
                progress.emplace(segment, std::move(object));
            }
        }
        if (page.complete || page.objects.empty()) {
            return progress;
        }
    }
}

std::optional<StoredObject> BatchStore::readSegmentProgress(const JobId &job, std::int64_t segment)
{
    return this->client.get(job.progressKey(segment));
}

std::vector<SegmentItem> BatchStore::readSegment(const JobManifest &manifest, std::int64_t segment)
{
    const std::optional<StoredObject> stored = this->client.get(manifest.job.inputKey(manifest.uploadId, segment));
    if (!stored) {
        throw StoreError(absl::StrCat("input segment ", segment, " of job ", manifest.job.id, " is missing"));
    }
    return parseSegment(stored->value);
}

std::string BatchStore::readOutput(const JobId &job, std::int64_t segment, const std::string &part)
{
    std::optional<StoredObject> stored = this->client.get(job.outputKey(segment, part));
    if (!stored) {
        throw StoreError(absl::StrCat("output part ", part, " of segment ", segment, " of job ", job.id, " is missing"));
    }
    return std::move(stored->value);
}

std::vector<JobId> BatchStore::activeJobs()
{
    std::vector<JobId> jobs;
    std::string after;
    while (true) {
        const ListPage page = this->client.list(std::string(activeJobsPrefix), after, pageSize, true);
        for (const StoredObject &object : page.objects) {
            after = object.key;
            const nlohmann::json entry = nlohmann::json::parse(object.value, nullptr, false);
            if (entry.is_object()) {
                jobs.push_back({entry.value("organisation", ""), entry.value("id", "")});
            }
        }
        if (page.complete || page.objects.empty()) {
            return jobs;
        }
    }
}

std::vector<std::string> BatchStore::jobIds(const std::string &organisation)
{
    const std::string prefix = JobId::indexPrefix(organisation);
    std::vector<std::string> ids;
    std::string after;
    while (true) {
        const ListPage page = this->client.list(prefix, after, pageSize, false);
        for (const StoredObject &object : page.objects) {
            after = object.key;
            ids.push_back(object.key.substr(prefix.size()));
        }
        if (page.complete || page.objects.empty()) {
            return ids;
        }
    }
}

void BatchStore::writeUnique(const std::string &key, const std::string &value)
{
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        // The object is only ever written with this content, so the write is repeated after a lost answer without reading it back.
        if (this->client.put(key, value, Precondition::none()).outcome == WriteOutcome::Applied) {
            return;
        }
        waitBeforeRetry(attempt);
    }
    throw StoreError(absl::StrCat("the store did not take ", key));
}

JobManifest BatchStore::createJob(const JobManifest &manifest)
{
    // A job is accepted once its manifest is stored, and must then be found through the index. The index entries are therefore written first.
    const std::string entry = nlohmann::json({{"organisation", manifest.job.organisation}, {"id", manifest.job.id}}).dump();
    this->writeUnique(manifest.job.indexKey(), entry);
    this->writeUnique(manifest.job.activeKey(), entry);
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const WriteResult result = this->client.put(manifest.job.manifestKey(), manifest.toJsonText(), Precondition::absent());
        if (result.outcome == WriteOutcome::Applied) {
            return manifest;
        }
        if (result.outcome != WriteOutcome::Unavailable) {
            const std::optional<StoredManifest> current = this->readManifest(manifest.job);
            if (current) {
                return current->manifest;
            }
        }
        waitBeforeRetry(attempt);
    }
    throw StoreError("the store did not answer for the manifest");
}

JobManifest BatchStore::changeState(const JobId &job, JobState from, JobState to, std::int64_t completed, std::int64_t failed)
{
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const std::optional<StoredManifest> current = this->readManifest(job);
        if (!current) {
            throw StoreError("the manifest of job " + job.id + " is missing");
        }
        if (current->manifest.state != from) {
            return current->manifest;
        }
        JobManifest changed = current->manifest;
        changed.state = to;
        changed.completed = completed;
        changed.failed = failed;
        if (this->client.put(job.manifestKey(), changed.toJsonText(), Precondition::at(current->version)).outcome == WriteOutcome::Applied) {
            return changed;
        }
        waitBeforeRetry(attempt);
    }
    throw StoreError("the store did not answer for the manifest");
}

void BatchStore::removeActive(const JobId &job)
{
    this->client.remove(job.activeKey(), Precondition::none());
}

void BatchStore::removeInput(const JobId &job, const std::string &upload, std::int64_t segments)
{
    for (std::int64_t segment = 0; segment < segments; ++segment) {
        this->client.remove(job.inputKey(upload, segment), Precondition::none());
    }
}

WriteResult BatchStore::putProgress(const JobId &job, std::int64_t segment, const SegmentProgress &progress, Precondition precondition)
{
    return this->client.put(job.progressKey(segment), progress.toJsonText(), precondition);
}

void BatchStore::closeSegment(const JobManifest &manifest, std::int64_t segment, std::optional<StoredObject> stored)
{
    // The 1 is the number of items in the record of a segment that was never claimed. It must not be 0, because an empty record counts as finished.
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const std::optional<SegmentClaim> claim = SegmentClaim::close(stored, 1);
        if (!claim || this->putProgress(manifest.job, segment, claim->progress, claim->precondition).outcome == WriteOutcome::Applied) {
            return;
        }
        waitBeforeRetry(attempt);
        stored = this->readSegmentProgress(manifest.job, segment);
    }
    throw StoreError(absl::StrCat("segment ", segment, " of job ", manifest.job.id, " can't be closed"));
}

} // namespace Bergamotramp
