#include "JobArchive.h"

#include <absl/strings/str_format.h>

namespace Bergamotramp {

namespace {

constexpr const char *itemsKind = "job-items";
constexpr const char *resultsKind = "job-results";
// Allowance for the JSON text of an item apart from its fields and its base64 body: names, numbers and JSON syntax.
constexpr std::size_t itemOverheadBytes = 512;

std::string partName(const std::string &jobId, std::uint64_t number)
{
    return absl::StrFormat("%s.%05d", jobId, number);
}

std::size_t jsonBytes(const BatchItem &item)
{
    std::size_t bytes = itemOverheadBytes + item.body.size() * 4 / 3;
    for (const HttpField &field : item.fields.all()) {
        bytes += field.name.size() + field.value.size();
    }
    return bytes;
}

std::vector<nlohmann::json> splitItems(const std::vector<BatchItem> &items)
{
    std::vector<nlohmann::json> parts;
    std::vector<BatchItem> part;
    std::size_t bytes = 0;
    for (const BatchItem &item : items) {
        if (!part.empty() && bytes + jsonBytes(item) > JobArchive::maxObjectBytes) {
            parts.push_back(itemsToJson(part));
            part.clear();
            bytes = 0;
        }
        bytes += jsonBytes(item);
        part.push_back(item);
    }
    parts.push_back(itemsToJson(part));
    return parts;
}

bool writtenBy(const ObjectRecord &object, const std::string &writer)
{
    return object.content.is_object() && object.content.contains("writer") && object.content["writer"] == writer;
}

void deliverResults(const ObjectRecord &object, const std::function<void(StoreResult, ResultObject)> &done)
{
    ResultObject content;
    try {
        content = resultObjectFromJson(object.content);
    } catch (const JobFormatError &) {
        done(StoreResult::Malformed, {});
        return;
    }
    done(StoreResult::Done, std::move(content));
}

} // namespace

JobArchive::JobArchive(ObjectStore &store) : store(store)
{
}

void JobArchive::writeItems(const SubmittedJob &submission, std::function<void(StoreResult, std::size_t)> done)
{
    this->writePart(std::make_shared<std::vector<nlohmann::json>>(splitItems(submission.items)), submission.id, 0, std::move(done));
}

void JobArchive::writePart(std::shared_ptr<std::vector<nlohmann::json>> parts,
                           const std::string &jobId,
                           std::size_t part,
                           std::function<void(StoreResult, std::size_t)> done)
{
    if (part == parts->size()) {
        done(StoreResult::Done, parts->size());
        return;
    }
    this->store.create(itemsKind, partName(jobId, part), (*parts)[part], [this, parts, jobId, part, done = std::move(done)](const ObjectReply &reply) {
        if (reply.result == StoreResult::Done || reply.result == StoreResult::Conflict) {
            this->writePart(parts, jobId, part + 1, done);
        } else {
            done(reply.result, 0);
        }
    });
}

void JobArchive::writeHeader(const JobRecord &header, ObjectStore::ObjectHandler done)
{
    this->store.create(headerKind, header.id, header.toJson(), std::move(done));
}

void JobArchive::readHeader(const std::string &jobId, ObjectStore::ObjectHandler done)
{
    this->store.get(headerKind, jobId, std::move(done));
}

void JobArchive::readItems(const JobRecord &header, std::function<void(StoreResult, std::vector<BatchItem>)> done)
{
    this->readPart(header, 0, std::make_shared<std::vector<BatchItem>>(), std::move(done));
}

void JobArchive::readPart(const JobRecord &header,
                          std::size_t part,
                          std::shared_ptr<std::vector<BatchItem>> items,
                          std::function<void(StoreResult, std::vector<BatchItem>)> done)
{
    if (part == header.inputParts) {
        done(StoreResult::Done, std::move(*items));
        return;
    }
    this->store.get(itemsKind, partName(header.id, part), [this, header, part, items, done = std::move(done)](const ObjectReply &reply) {
        if (reply.result != StoreResult::Done) {
            done(reply.result, {});
            return;
        }
        try {
            std::vector<BatchItem> read = itemsFromJson(reply.object->content);
            std::move(read.begin(), read.end(), std::back_inserter(*items));
        } catch (const JobFormatError &) {
            done(StoreResult::Malformed, {});
            return;
        }
        this->readPart(header, part + 1, items, done);
    });
}

void JobArchive::readResults(const std::string &jobId, std::uint64_t number, std::function<void(StoreResult, ResultObject)> done)
{
    this->store.get(resultsKind, partName(jobId, number), [done = std::move(done)](const ObjectReply &reply) {
        if (reply.result == StoreResult::Done) {
            deliverResults(*reply.object, done);
        } else {
            done(reply.result, {});
        }
    });
}

void JobArchive::createResults(const std::string &jobId, std::uint64_t number, const std::string &writer, const ResultObject &content, ResultsHandler done)
{
    this->store.create(
        resultsKind,
        partName(jobId, number),
        resultObjectToJson(writer, content),
        [this, jobId, number, writer, content, done = std::move(done)](const ObjectReply &reply) {
            if (reply.result == StoreResult::Done) {
                done(StoreResult::Done, Creator::ThisCall, content);
            } else if (reply.result != StoreResult::Conflict) {
                done(reply.result, Creator::OtherWriter, {});
            } else if (reply.object && !reply.object->content.is_null()) {
                const Creator creator = writtenBy(*reply.object, writer) ? Creator::EarlierCall : Creator::OtherWriter;
                deliverResults(*reply.object, [done, creator](StoreResult result, const ResultObject &stored) { done(result, creator, stored); });
            } else {
                this->readResults(jobId, number, [done](StoreResult result, const ResultObject &stored) { done(result, Creator::OtherWriter, stored); });
            }
        });
}

void JobArchive::writeProgress(const std::string &jobId, std::uint64_t revision, const JobProgress &progress, ObjectStore::ObjectHandler done)
{
    this->store.putStatus(headerKind, jobId, revision, progress.toJson(), std::move(done));
}

void JobArchive::remove(const JobRecord &header, std::uint64_t resultObjects)
{
    const auto ignored = [](const ObjectReply &) {};
    // Removes the header first: without it no host reads the other objects any more.
    this->store.remove(headerKind, header.id, ignored);
    for (std::size_t part = 0; part < header.inputParts; ++part) {
        this->store.remove(itemsKind, partName(header.id, part), ignored);
    }
    for (std::uint64_t number = 0; number < resultObjects; ++number) {
        this->store.remove(resultsKind, partName(header.id, number), ignored);
    }
}

} // namespace Bergamotramp
