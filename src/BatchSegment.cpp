#include "BatchSegment.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

namespace {

constexpr absl::Duration retryBackoff = absl::Seconds(1);
// Bounds the time that an interrupted item waits once upstreams serve again.
constexpr absl::Duration maxInterruptionBackoff = absl::Seconds(10);

nlohmann::json parseBody(const std::string &text)
{
    nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    return body.is_discarded() ? nlohmann::json(text) : body;
}

std::string resultLine(const SegmentItem &item, bool failed, const std::string &text)
{
    nlohmann::json line = {{"custom_id", item.customId}, {"status", failed ? "failed" : "completed"}};
    if (failed) {
        line["error"] = text;
    } else {
        line["body"] = parseBody(text);
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

Precondition preconditionFor(const std::optional<StoredObject> &stored)
{
    return stored ? Precondition::at(stored->version) : Precondition::absent();
}

SegmentProgress readProgress(const std::optional<StoredObject> &stored, std::int64_t items)
{
    if (stored) {
        return SegmentProgress::fromJsonText(stored->value);
    }
    SegmentProgress initial;
    initial.items.assign(static_cast<std::size_t>(items), SegmentProgress::openItem);
    return initial;
}

} // namespace

std::optional<SegmentClaim> SegmentClaim::plan(
    const std::optional<StoredObject> &stored, std::int64_t items, const std::string &host, std::uint64_t incarnation, bool holderAlive)
{
    SegmentClaim claim{readProgress(stored, items), preconditionFor(stored)};
    if (claim.progress.cancelled || claim.progress.finished() || (!claim.progress.holder.empty() && holderAlive)) {
        return std::nullopt;
    }
    ++claim.progress.epoch;
    claim.progress.holder = host;
    claim.progress.holderIncarnation = incarnation;
    return claim;
}

std::optional<SegmentClaim> SegmentClaim::close(const std::optional<StoredObject> &stored, std::int64_t items)
{
    SegmentClaim claim{readProgress(stored, items), preconditionFor(stored)};
    if (claim.progress.cancelled || claim.progress.finished()) {
        return std::nullopt;
    }
    claim.progress.cancelled = true;
    claim.progress.holder.clear();
    return claim;
}

BatchSegment::BatchSegment(std::vector<SegmentItem> items, SegmentProgress claimed, std::uint64_t version, std::int64_t maxAttempts)
    : committed(std::move(claimed)), version(version), maxAttempts(maxAttempts)
{
    for (std::size_t index = 0; index < items.size(); ++index) {
        Entry entry{std::move(items[index])};
        const bool isOpen = index >= this->committed.items.size() || this->committed.items[index] == SegmentProgress::openItem;
        entry.state = isOpen ? ItemState::Waiting : ItemState::Committed;
        this->entries.push_back(std::move(entry));
    }
}

BatchSegment::State BatchSegment::state() const
{
    return this->currentState;
}

std::optional<std::size_t> BatchSegment::nextItem(absl::Time now)
{
    if (this->currentState != State::Working) {
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

const SegmentItem &BatchSegment::item(std::size_t index) const
{
    return this->entries[index].item;
}

std::size_t BatchSegment::runningItems() const
{
    return this->runningCount;
}

std::size_t BatchSegment::waitingItems() const
{
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(), [](const Entry &entry) { return entry.state == ItemState::Waiting; }));
}

void BatchSegment::itemEnded(std::size_t index, const ItemOutcome &outcome, absl::Time now)
{
    Entry &entry = this->entries[index];
    if (entry.state != ItemState::Running) {
        return;
    }
    --this->runningCount;
    switch (outcome.kind) {
    case ItemOutcome::Kind::Completed:
        this->finishEntry(entry, false, outcome.text);
        break;
    case ItemOutcome::Kind::Failed:
        this->finishEntry(entry, true, outcome.text);
        break;
    case ItemOutcome::Kind::Requeued:
        entry.state = ItemState::Waiting;
        return;
    case ItemOutcome::Kind::Interrupted:
        // An item is owed however many crashes have cut off its runs, so these never end it as failed.
        entry.state = ItemState::Waiting;
        entry.notBefore = now + std::min(maxInterruptionBackoff, retryBackoff * ++entry.interruptions);
        return;
    case ItemOutcome::Kind::Retryable:
        if (++entry.attempts >= this->maxAttempts) {
            this->finishEntry(entry, true, absl::StrCat("gave up after ", entry.attempts, " attempts: ", outcome.text));
            break;
        }
        entry.state = ItemState::Waiting;
        // The growing delay keeps an item that always fails from taking capacity from the others.
        entry.notBefore = now + retryBackoff * entry.attempts;
        return;
    }
    this->uncommittedItems.push_back(index);
}

void BatchSegment::finishEntry(Entry &entry, bool failed, const std::string &text)
{
    entry.state = ItemState::Ended;
    entry.failed = failed;
    this->uncommittedOutput += resultLine(entry.item, failed, text);
}

std::size_t BatchSegment::uncommittedBytes() const
{
    return this->uncommittedOutput.size();
}

bool BatchSegment::allItemsEnded() const
{
    return std::all_of(
        this->entries.begin(), this->entries.end(), [](const Entry &entry) { return entry.state == ItemState::Ended || entry.state == ItemState::Committed; });
}

std::optional<SegmentCommit> BatchSegment::nextCommit(bool release)
{
    if (this->currentState != State::Working || this->commitInFlight || (this->uncommittedItems.empty() && !release)) {
        return std::nullopt;
    }
    SegmentCommit commit;
    commit.progress = this->committed;
    commit.expectedVersion = this->version;
    if (!this->uncommittedItems.empty()) {
        commit.part = absl::StrCat(this->committed.epoch, "-", ++this->partCount);
        commit.outputText = std::move(this->uncommittedOutput);
        this->uncommittedOutput.clear();
        commit.progress.outputs.push_back(commit.part);
    }
    for (const std::size_t index : this->uncommittedItems) {
        commit.progress.items[index] = this->entries[index].failed ? SegmentProgress::failedItem : SegmentProgress::completedItem;
    }
    if (release || commit.progress.finished()) {
        commit.progress.holder.clear();
    }
    this->inFlightItems = std::move(this->uncommittedItems);
    this->uncommittedItems.clear();
    this->commitInFlight = commit;
    return commit;
}

void BatchSegment::commitSettled(const WriteResult &result)
{
    if (!this->commitInFlight || this->currentState != State::Working) {
        return;
    }
    switch (result.outcome) {
    case WriteOutcome::Applied:
        this->applyCommit(result.version);
        return;
    case WriteOutcome::Unavailable:
        this->revertCommit();
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

void BatchSegment::applyReadBack(const std::optional<StoredObject> &stored)
{
    if (!this->readBackNeeded || !this->commitInFlight || this->currentState != State::Working) {
        return;
    }
    this->readBackNeeded = false;
    const SegmentProgress storedProgress = stored ? SegmentProgress::fromJsonText(stored->value) : SegmentProgress();
    if (storedProgress == this->commitInFlight->progress) {
        this->applyCommit(stored->version);
        return;
    }
    if (storedProgress.cancelled) {
        this->currentState = State::Cancelled;
        return;
    }
    if (stored && stored->version == this->version) {
        // The update has not been applied. Sending it again is safe even if the first one arrives late: the version condition holds for only one of them.
        this->revertCommit();
        return;
    }
    this->currentState = State::Lost;
}

void BatchSegment::markCancelled()
{
    if (this->currentState == State::Working) {
        this->currentState = State::Cancelled;
    }
}

void BatchSegment::applyCommit(std::uint64_t newVersion)
{
    this->committed = this->commitInFlight->progress;
    this->version = newVersion;
    for (const std::size_t index : this->inFlightItems) {
        this->entries[index].state = ItemState::Committed;
    }
    this->commitInFlight.reset();
    this->inFlightItems.clear();
    if (this->committed.finished()) {
        this->currentState = State::Finished;
    } else if (this->committed.holder.empty()) {
        this->currentState = State::Lost;
    }
}

// Puts the results of the commit back in front of those added since, so that the next commit contains both.
void BatchSegment::revertCommit()
{
    this->uncommittedOutput = this->commitInFlight->outputText + this->uncommittedOutput;
    this->uncommittedItems.insert(this->uncommittedItems.begin(), this->inFlightItems.begin(), this->inFlightItems.end());
    this->commitInFlight.reset();
    this->inFlightItems.clear();
}

} // namespace Bergamotramp
