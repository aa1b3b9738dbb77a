#include "Job.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

// The delay before the next run grows when an item is interrupted repeatedly, for example because it crashes its upstream.
constexpr absl::Duration minInterruptionDelay = absl::Milliseconds(30);
constexpr absl::Duration maxInterruptionDelay = absl::Seconds(4);
constexpr int interruptionsBeforeBackoff = 4;
constexpr absl::Duration failureDelay = absl::Milliseconds(250);

absl::Duration interruptionDelay(int interruptions)
{
    const int doublings = std::clamp(interruptions - interruptionsBeforeBackoff, 0, 8);
    return std::min(maxInterruptionDelay, minInterruptionDelay * (1 << doublings));
}

} // namespace

Job::Job(JobRecord header, std::vector<BatchItem> itemList) : jobHeader(std::move(header)), items(std::move(itemList)), states(items.size())
{
    for (std::size_t index = 0; index < this->items.size(); ++index) {
        this->indexById[this->items[index].id] = index;
    }
}

const JobRecord &Job::header() const
{
    return this->jobHeader;
}

const BatchItem &Job::item(std::size_t index) const
{
    return this->items[index];
}

const BatchItem *Job::findItem(std::string_view id) const
{
    const auto found = this->indexById.find(std::string(id));
    return found == this->indexById.end() ? nullptr : &this->items[found->second];
}

std::optional<std::size_t> Job::nextItem(absl::Time now, const ItemFilter &mayStart) const
{
    std::optional<std::size_t> newItem;
    for (std::size_t index = 0; index < this->states.size(); ++index) {
        const ItemState &state = this->states[index];
        if (state.running || state.hasResult || now < state.notBefore) {
            continue;
        }
        if (state.lastEvent && mayStart(index)) {
            return index;
        }
        // A new item that can't start must not hold up those after it.
        if (!state.lastEvent && !newItem && mayStart(index)) {
            newItem = index;
        }
    }
    return newItem;
}

void Job::markStarted(std::size_t index, const StreamOrigin &origin)
{
    ItemState &state = this->states[index];
    state.running = true;
    if (!state.lastEvent) {
        state.origin = origin;
    }
}

const StreamOrigin &Job::outputOrigin(std::size_t index) const
{
    return this->states[index].origin;
}

void Job::discardOutput(ItemState &state)
{
    state.lastEvent.reset();
    state.output = {};
    state.hasOutput = false;
    state.origin = {};
}

std::size_t Job::discardOutputs(const std::function<bool(const StreamOrigin &, int)> &cannotContinue)
{
    std::size_t discarded = 0;
    for (ItemState &state : this->states) {
        if (state.running || state.hasResult || !state.lastEvent || !cannotContinue(state.origin, state.interruptions)) {
            continue;
        }
        discardOutput(state);
        ++discarded;
    }
    return discarded;
}

std::optional<std::uint64_t> Job::lastEvent(std::size_t index) const
{
    return this->states[index].lastEvent;
}

bool Job::appendEvent(std::size_t index, std::optional<std::uint64_t> id, std::string_view data)
{
    ItemState &state = this->states[index];
    if (!id) {
        return false;
    }
    if (state.lastEvent && *id <= *state.lastEvent) {
        return true;
    }
    if (state.lastEvent && *id != *state.lastEvent + 1) {
        return false;
    }
    if (state.output.size() + data.size() >= maxOutputBytes) {
        discardOutput(state);
        return false;
    }
    state.lastEvent = id;
    state.interruptions = 0;
    if (state.hasOutput) {
        state.output.push_back('\n');
    }
    state.output.append(data);
    state.hasOutput = true;
    return true;
}

void Job::finishRun(std::size_t index, RunOutcome outcome, int maxFailures, absl::Time now)
{
    ItemState &state = this->states[index];
    state.running = false;
    if (state.hasResult) {
        return;
    }
    switch (outcome) {
    case RunOutcome::Completed:
        this->addResult(index, true);
        break;
    case RunOutcome::FailedPermanently:
        this->addResult(index, false);
        break;
    case RunOutcome::Failed:
        ++state.failures;
        state.notBefore = now + failureDelay;
        if (state.failures >= maxFailures) {
            this->addResult(index, false);
        }
        break;
    case RunOutcome::Interrupted:
        ++state.interruptions;
        state.notBefore = now + interruptionDelay(state.interruptions);
        break;
    }
}

void Job::addResult(std::size_t index, bool completed)
{
    ItemState &state = this->states[index];
    state.hasResult = true;
    this->unstoredList.push_back({.itemId = this->items[index].id, .completed = completed, .output = completed ? std::move(state.output) : std::string()});
    state.output.clear();
}

void Job::failRemainingItems()
{
    for (std::size_t index = 0; index < this->states.size(); ++index) {
        if (!this->states[index].hasResult) {
            this->addResult(index, false);
        }
    }
}

ResultObject Job::unstoredState(std::size_t maxBytes) const
{
    ResultObject object;
    std::size_t bytes = 0;
    for (const JobResult &result : this->unstoredList) {
        bytes += result.output.size();
        if (!object.results.empty() && bytes > maxBytes) {
            break;
        }
        object.results.push_back(result);
    }
    for (std::size_t index = 0; index < this->states.size(); ++index) {
        if (hasUnstoredFailures(this->states[index])) {
            object.failures.push_back({.itemId = this->items[index].id, .failures = this->states[index].failures});
        }
    }
    return object;
}

bool Job::hasUnstoredFailures(const ItemState &state)
{
    return !state.hasResult && state.failures > state.storedFailures;
}

bool Job::hasUnstoredState() const
{
    return !this->unstoredList.empty() || std::ranges::any_of(this->states, &Job::hasUnstoredFailures);
}

void Job::addStoredObject(const ResultObject &object)
{
    ++this->resultObjects;
    for (const JobResult &result : object.results) {
        this->storedList.push_back(result);
        std::erase_if(this->unstoredList, [&result](const JobResult &pendingResult) { return pendingResult.itemId == result.itemId; });
        const auto found = this->indexById.find(result.itemId);
        if (found != this->indexById.end()) {
            this->states[found->second].hasResult = true;
            this->finishedTokens += this->items[found->second].tokens;
        }
    }
    for (const ItemFailures &item : object.failures) {
        const auto found = this->indexById.find(item.itemId);
        if (found != this->indexById.end()) {
            ItemState &state = this->states[found->second];
            state.storedFailures = std::max(state.storedFailures, item.failures);
            state.failures = std::max(state.failures, item.failures);
        }
    }
}

std::uint64_t Job::nextResultObject() const
{
    return this->resultObjects;
}

JobPage Job::page(std::size_t position, std::size_t maxBytes) const
{
    JobPage page{.totalItems = this->jobHeader.items, .results = {}, .nextPosition = position};
    std::size_t bytes = 0;
    for (std::size_t index = position; index < this->storedList.size(); ++index) {
        bytes += this->storedList[index].output.size();
        if (!page.results.empty() && bytes > maxBytes) {
            break;
        }
        page.results.push_back(this->storedList[index]);
    }
    page.nextPosition += page.results.size();
    return page;
}

std::size_t Job::storedResultCount() const
{
    return this->storedList.size();
}

std::int64_t Job::tokensFinished() const
{
    return this->finishedTokens;
}

bool Job::allItemsHaveResult() const
{
    return std::ranges::all_of(this->states, [](const ItemState &state) { return state.hasResult; });
}

bool Job::allResultsStored() const
{
    return this->storedList.size() >= this->jobHeader.items;
}

std::size_t Job::waitingItems() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->states, [](const ItemState &state) { return !state.running && !state.hasResult; }));
}

} // namespace Bergamotramp
