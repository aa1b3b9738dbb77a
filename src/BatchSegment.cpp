#include "BatchSegment.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

namespace {

constexpr absl::Duration retryBackoff = absl::Seconds(1);

nlohmann::json bodyOf(const std::string &text)
{
    nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    return body.is_discarded() ? nlohmann::json(text) : body;
}

std::string resultLine(const JobItem &item, bool failed, const std::string &text)
{
    nlohmann::json line = {{"custom_id", item.customId}, {"status", failed ? "failed" : "completed"}};
    if (failed) {
        line["error"] = text;
    } else {
        line["body"] = bodyOf(text);
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

Precondition preconditionFor(const std::optional<StoredObject> &stored)
{
    return stored ? Precondition::at(stored->version) : Precondition::absent();
}

SegmentProgress progressOf(const std::optional<StoredObject> &stored, std::int64_t items)
{
    if (stored) {
        return SegmentProgress::fromJsonText(stored->value);
    }
    SegmentProgress fresh;
    fresh.items.assign(static_cast<std::size_t>(items), SegmentProgress::openItem);
    return fresh;
}

} // namespace

std::optional<SegmentClaim> SegmentClaim::plan(
    const std::optional<StoredObject> &stored, std::int64_t items, const std::string &host, std::uint64_t incarnation, bool holderLives)
{
    SegmentClaim claim{progressOf(stored, items), preconditionFor(stored)};
    if (claim.progress.cancelled || claim.progress.finished() || (!claim.progress.holder.empty() && holderLives)) {
        return std::nullopt;
    }
    ++claim.progress.epoch;
    claim.progress.holder = host;
    claim.progress.holderIncarnation = incarnation;
    return claim;
}

std::optional<SegmentClaim> SegmentClaim::close(const std::optional<StoredObject> &stored, std::int64_t items)
{
    SegmentClaim claim{progressOf(stored, items), preconditionFor(stored)};
    if (claim.progress.cancelled || claim.progress.finished()) {
        return std::nullopt;
    }
    claim.progress.cancelled = true;
    claim.progress.holder.clear();
    return claim;
}

BatchSegment::BatchSegment(std::vector<JobItem> items, SegmentProgress claimed, std::uint64_t version, std::int64_t maxAttempts)
    : committed(std::move(claimed)), version(version), maxAttempts(maxAttempts)
{
    for (std::size_t index = 0; index < items.size(); ++index) {
        Entry entry{std::move(items[index])};
        const bool open = index >= this->committed.items.size() || this->committed.items[index] == SegmentProgress::openItem;
        entry.state = open ? ItemState::Waiting : ItemState::Committed;
        this->entries.push_back(std::move(entry));
    }
}

BatchSegment::State BatchSegment::state() const
{
    return this->current;
}

std::optional<std::size_t> BatchSegment::nextItem(absl::Time now)
{
    if (this->current != State::Working) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
        Entry &entry = this->entries[index];
        if (entry.state == ItemState::Waiting && entry.notBefore <= now) {
            entry.state = ItemState::Running;
            ++this->runningCount;
            return index;
        }
    }
    return std::nullopt;
}

const JobItem &BatchSegment::item(std::size_t index) const
{
    return this->entries[index].item;
}

std::size_t BatchSegment::running() const
{
    return this->runningCount;
}

std::size_t BatchSegment::waiting() const
{
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(), [](const Entry &entry) { return entry.state == ItemState::Waiting; }));
}

void BatchSegment::itemEnded(std::size_t index, const ItemEnd &end, absl::Time now)
{
    Entry &entry = this->entries[index];
    if (entry.state != ItemState::Running) {
        return;
    }
    --this->runningCount;
    switch (end.kind) {
    case ItemEnd::Kind::Completed:
        this->finishEntry(entry, false, end.text);
        break;
    case ItemEnd::Kind::Failed:
        this->finishEntry(entry, true, end.text);
        break;
    case ItemEnd::Kind::Returned:
        entry.state = ItemState::Waiting;
        return;
    case ItemEnd::Kind::Retryable:
        if (++entry.attempts >= this->maxAttempts) {
            this->finishEntry(entry, true, absl::StrCat("gave up after ", entry.attempts, " attempts: ", end.text));
            break;
        }
        entry.state = ItemState::Waiting;
        // Backing off keeps an item that always fails from taking slots of the others.
        entry.notBefore = now + retryBackoff * entry.attempts;
        return;
    }
    this->pendingItems.push_back(index);
}

void BatchSegment::finishEntry(Entry &entry, bool failed, const std::string &text)
{
    entry.state = ItemState::Ended;
    entry.failed = failed;
    this->pendingOutput += resultLine(entry.item, failed, text);
}

std::size_t BatchSegment::uncommittedBytes() const
{
    return this->pendingOutput.size();
}

bool BatchSegment::allEnded() const
{
    return std::all_of(
        this->entries.begin(), this->entries.end(), [](const Entry &entry) { return entry.state == ItemState::Ended || entry.state == ItemState::Committed; });
}

std::optional<SegmentCommit> BatchSegment::nextCommit(bool release)
{
    if (this->current != State::Working || this->underWay || (this->pendingItems.empty() && !release)) {
        return std::nullopt;
    }
    SegmentCommit commit;
    commit.progress = this->committed;
    commit.expectedVersion = this->version;
    if (!this->pendingItems.empty()) {
        commit.part = absl::StrCat(this->committed.epoch, "-", ++this->parts);
        commit.outputText = std::move(this->pendingOutput);
        this->pendingOutput.clear();
        commit.progress.outputs.push_back(commit.part);
    }
    for (const std::size_t index : this->pendingItems) {
        commit.progress.items[index] = this->entries[index].failed ? SegmentProgress::failedItem : SegmentProgress::completedItem;
    }
    if (release || commit.progress.finished()) {
        commit.progress.holder.clear();
    }
    this->underWayItems = std::move(this->pendingItems);
    this->pendingItems.clear();
    this->underWay = commit;
    return commit;
}

void BatchSegment::commitSettled(const WriteResult &result)
{
    if (!this->underWay || this->current != State::Working) {
        return;
    }
    switch (result.outcome) {
    case WriteOutcome::Applied:
        this->applyCommit(result.version);
        return;
    case WriteOutcome::Unavailable:
        this->dropCommit();
        return;
    case WriteOutcome::Conflict:
    case WriteOutcome::Unanswered:
        this->readBackNeeded = true;
    }
}

bool BatchSegment::needsReadBack() const
{
    return this->readBackNeeded;
}

void BatchSegment::readBack(const std::optional<StoredObject> &stored)
{
    if (!this->readBackNeeded || !this->underWay || this->current != State::Working) {
        return;
    }
    this->readBackNeeded = false;
    const SegmentProgress standing = stored ? SegmentProgress::fromJsonText(stored->value) : SegmentProgress();
    if (standing == this->underWay->progress) {
        this->applyCommit(stored->version);
        return;
    }
    if (standing.cancelled) {
        this->current = State::Cancelled;
        return;
    }
    if (stored && stored->version == this->version) {
        // The update has not taken effect. Sending it again is safe even if the first one arrives late: only one of them meets the version.
        this->dropCommit();
        return;
    }
    this->current = State::Lost;
}

void BatchSegment::markCancelled()
{
    if (this->current == State::Working) {
        this->current = State::Cancelled;
    }
}

void BatchSegment::applyCommit(std::uint64_t newVersion)
{
    this->committed = this->underWay->progress;
    this->version = newVersion;
    for (const std::size_t index : this->underWayItems) {
        this->entries[index].state = ItemState::Committed;
    }
    this->underWay.reset();
    this->underWayItems.clear();
    if (this->committed.finished()) {
        this->current = State::Finished;
    } else if (this->committed.holder.empty()) {
        this->current = State::Lost;
    }
}

// The results go back in front of those that ended meanwhile and are part of the next commit.
void BatchSegment::dropCommit()
{
    this->pendingOutput = this->underWay->outputText + this->pendingOutput;
    this->pendingItems.insert(this->pendingItems.begin(), this->underWayItems.begin(), this->underWayItems.end());
    this->underWay.reset();
    this->underWayItems.clear();
}

} // namespace Bergamotramp
