#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "JobTypes.h"
#include "ObjectStore.h"

namespace Bergamotramp {

/**
 * The jobs in the store: a header, which makes a job accepted, the items, and a chain of result objects. Each object of
 * the chain is only ever created at the next number, so that of two hosts that run one job the second notices the first,
 * and a position never changes.
 */
class JobArchive
{
public:
    static constexpr const char *headerKind = "jobs";
    /** Largest object that is written, in bytes of its JSON text. */
    static constexpr std::size_t maxObjectBytes = 700 * 1024;

    explicit JobArchive(ObjectStore &store);

    /** Writes the items of a job in as many objects as they need. Objects that exist are those of an earlier try. */
    void writeItems(const SubmittedJob &submission, std::function<void(StoreResult, std::size_t parts)> done);
    /** Makes the job accepted; Conflict means that it was already. */
    void writeHeader(const JobRecord &header, ObjectStore::ObjectHandler done);
    void readHeader(const std::string &jobId, ObjectStore::ObjectHandler done);
    void readItems(const JobRecord &header, std::function<void(StoreResult, std::vector<BatchItem>)> done);
    void readResults(const std::string &jobId, std::uint64_t number, std::function<void(StoreResult, std::vector<JobResult>)> done);
    /** @p own tells whether the object at this number is the writer's, @p results what it holds. */
    using ResultsHandler = std::function<void(StoreResult, bool own, const std::vector<JobResult> &results)>;
    /** Creates the object of this number; Done also when another writer has created it before. */
    void createResults(const std::string &jobId, std::uint64_t number, const std::string &writer, const std::vector<JobResult> &results, ResultsHandler done);
    void writeProgress(const std::string &jobId, std::uint64_t revision, const JobProgress &progress, ObjectStore::ObjectHandler done);
    /** Removes all objects of a job; those that are missing are skipped. */
    void remove(const JobRecord &header, std::uint64_t resultObjects);

private:
    void writePart(std::shared_ptr<std::vector<nlohmann::json>> parts,
                   const std::string &jobId,
                   std::size_t part,
                   std::function<void(StoreResult, std::size_t)> done);
    void readPart(const JobRecord &header,
                  std::size_t part,
                  std::shared_ptr<std::vector<BatchItem>> items,
                  std::function<void(StoreResult, std::vector<BatchItem>)> done);

    ObjectStore &store;
};

} // namespace Bergamotramp
