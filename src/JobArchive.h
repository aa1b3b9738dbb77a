#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "JobTypes.h"
#include "ObjectStore.h"

namespace Bergamotramp {

/**
 * Stores jobs as objects: a header, whose creation accepts the job, the items, and a chain of numbered result objects. A
 * result object is only ever created, under the next number. If two hosts run the same job, the create call of the second
 * one therefore conflicts, and the position of a stored result never changes.
 */
class JobArchive
{
public:
    static constexpr const char *headerKind = "jobs";
    /** Limit on the size of a written object, in bytes of its JSON text. */
    static constexpr std::size_t maxObjectBytes = 700 * 1024;

    explicit JobArchive(ObjectStore &store);

    /** Writes the items of a job, split into several objects if necessary. Skips objects that an earlier attempt has written. */
    void writeItems(const SubmittedJob &submission, std::function<void(StoreResult, std::size_t parts)> done);
    /** Creates the header, which accepts the job. Conflict means that the job was accepted before. */
    void writeHeader(const JobRecord &header, ObjectStore::ObjectHandler done);
    void readHeader(const std::string &jobId, ObjectStore::ObjectHandler done);
    void readItems(const JobRecord &header, std::function<void(StoreResult, std::vector<BatchItem>)> done);
    void readResults(const std::string &jobId, std::uint64_t number, std::function<void(StoreResult, ResultObject)> done);
    /** Who created the result object of a number. */
    enum class Creator {
        /** This call, so no object of a higher number existed. */
        ThisCall,
        /** An earlier call of the same writer, whose answer was lost. Other writers may have added objects since. */
        EarlierCall,
        OtherWriter,
    };
    /** Receives the creator and the content of the object of the given number. */
    using ResultsHandler = std::function<void(StoreResult, Creator creator, const ResultObject &content)>;
    /** Creates the result object of this number. The result is also Done when another writer has created it before. */
    void createResults(const std::string &jobId, std::uint64_t number, const std::string &writer, const ResultObject &content, ResultsHandler done);
    void writeProgress(const std::string &jobId, std::uint64_t revision, const JobProgress &progress, ObjectStore::ObjectHandler done);
    /** Removes all objects of a job. @p resultObjects is the number of its result objects. Missing objects and failed calls are ignored. */
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
