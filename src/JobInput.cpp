#include "JobInput.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include "LimitedJson.h"
#include "RendezvousHash.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t maxIdLength = 256;

bool isBlank(std::string_view line)
{
    return line.find_first_not_of(" \t\r") == std::string_view::npos;
}

} // namespace

JobInputError::JobInputError(std::string code, const std::string &message) : std::runtime_error(message), errorCode(std::move(code))
{
}

const std::string &JobInputError::code() const
{
    return this->errorCode;
}

JobInput::JobInput(JobInputLimits limits) : limits(limits)
{
}

std::vector<InputSegment> JobInput::append(std::string_view bytes)
{
    std::vector<InputSegment> completeSegments;
    std::size_t start = 0;
    for (std::size_t end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n', start)) {
        this->partialLine.append(bytes.substr(start, end - start));
        this->parseLine(this->partialLine, completeSegments);
        this->partialLine.clear();
        start = end + 1;
    }
    this->partialLine.append(bytes.substr(start));
    // Without this check the buffer would grow without limit for input that has no line break.
    if (this->partialLine.size() > static_cast<std::size_t>(this->limits.itemBytes)) {
        ++this->lineNumber;
        this->throwItemTooLarge();
    }
    return completeSegments;
}

std::vector<InputSegment> JobInput::finish()
{
    std::vector<InputSegment> completeSegments;
    this->parseLine(this->partialLine, completeSegments);
    this->partialLine.clear();
    if (this->itemCount == 0) {
        throw JobInputError("empty_job", "the job has no items");
    }
    if (this->currentSegment.items > 0) {
        this->closeSegment(completeSegments);
    }
    return completeSegments;
}

std::int64_t JobInput::items() const
{
    return this->itemCount;
}

std::string JobInput::digest() const
{
    return absl::StrFormat("%016x-%d", this->hash, this->itemCount);
}

void JobInput::throwItemTooLarge() const
{
    throw JobInputError("item_too_large", absl::StrCat("line ", this->lineNumber, ": an item may hold up to ", this->limits.itemBytes, " bytes"));
}

void JobInput::parseLine(std::string_view line, std::vector<InputSegment> &completeSegments)
{
    ++this->lineNumber;
    if (isBlank(line)) {
        return;
    }
    if (line.size() > static_cast<std::size_t>(this->limits.itemBytes)) {
        this->throwItemTooLarge();
    }
    const nlohmann::json json = parseShallowJsonOrDiscard(line);
    if (!json.is_object() || !json.contains("custom_id") || !json["custom_id"].is_string() || !json.contains("body")) {
        throw JobInputError("invalid_line", absl::StrCat("line ", this->lineNumber, ": must be a JSON object with custom_id (string) and body"));
    }
    const std::string id = json["custom_id"].get<std::string>();
    if (id.empty() || id.size() > maxIdLength) {
        throw JobInputError("invalid_line", absl::StrCat("line ", this->lineNumber, ": custom_id may hold 1 to ", maxIdLength, " characters"));
    }
    if (!this->idHashes.insert(stableHash(id)).second) {
        throw JobInputError("duplicate_id", absl::StrCat("line ", this->lineNumber, ": custom_id ", id, " stands twice"));
    }
    this->addItem(nlohmann::json({{"custom_id", id}, {"body", json["body"]}}).dump(), completeSegments);
}

void JobInput::addItem(const std::string &line, std::vector<InputSegment> &completeSegments)
{
    if (++this->itemCount > this->limits.items) {
        throw JobInputError("too_many_items", absl::StrCat("a job may hold up to ", this->limits.items, " items"));
    }
    const bool segmentFull = this->currentSegment.items >= this->segmentItems() || this->currentSegment.text.size() + line.size() + 1 > maxSegmentBytes;
    if (segmentFull && this->currentSegment.items > 0) {
        this->closeSegment(completeSegments);
    }
    this->currentSegment.text.append(line).push_back('\n');
    ++this->currentSegment.items;
    this->hash = stableHash(this->hash, line);
}

std::int64_t JobInput::segmentItems() const
{
    const std::int64_t doublings = std::min<std::int64_t>(this->segmentCount / segmentsPerSize, 10);
    return std::min(maxSegmentItems, firstSegmentItems << doublings);
}

void JobInput::closeSegment(std::vector<InputSegment> &completeSegments)
{
    completeSegments.push_back(std::move(this->currentSegment));
    this->currentSegment = {};
    ++this->segmentCount;
}

} // namespace Bergamotramp
