#include "Job.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

// Runs that are cut off again and again, for example because the item crashes its upstream, come less and less often.
constexpr absl::Duration firstInterruptionPause = absl::Milliseconds(30);
constexpr absl::Duration maxInterruptionPause = absl::Seconds(4);
constexpr int freeInterruptions = 4;
constexpr absl::Duration failurePause = absl::Milliseconds(250);

absl::Duration interruptionPause(int interruptions)
{
    const int doublings = std::clamp(interruptions - freeInterruptions, 0, 8);
    return std::min(maxInterruptionPause, firstInterruptionPause * (1 << doublings));
}

} // namespace

Job::Job(JobRecord header, std::vector<BatchItem> itemList) : jobHeader(std::move(header)), items(std::move(itemList)), states(items.size())
{
    for (std::size_t index = 0; index < this->items.size(); ++index) {
        this->indexes[this->items[index].id] = index;
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
    const auto found = this->indexes.find(std::string(id));
    return found == this->indexes.end() ? nullptr : &this->items[found->second];
}

std::optional<std::size_t> Job::nextItem(absl::Time now) const
{
    std::optional<std::size_t> fresh;
    for (std::size_t index = 0; index < this->states.size(); ++index) {
        const ItemState &state = this->states[index];
        if (state.running || state.settled || now < state.notBefore) {
            continue;
        }
        if (state.lastEvent) {
            return index;
        }
        if (!fresh) {
            fresh = index;
        }
    }
    return fresh;
}

void Job::started(std::size_t index)
{
    this->states[index].running = true;
}

std::optional<std::uint64_t> Job::lastEvent(std::size_t index) const
{
    return this->states[index].lastEvent;
}

bool Job::event(std::size_t index, std::optional<std::uint64_t> id, std::string_view data)
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
    state.lastEvent = id;
    state.interruptions = 0;
    if (state.hasOutput) {
        state.output.push_back('\n');
    }
    state.output.append(data);
    state.hasOutput = true;
    return true;
}

void Job::ended(std::size_t index, RunEnd end, int maxFailures, absl::Time now)
{
    ItemState &state = this->states[index];
    state.running = false;
    if (state.settled) {
        return;
    }
    switch (end) {
    case RunEnd::Completed:
        this->settle(index, true);
        break;
    case RunEnd::Impossible:
        this->settle(index, false);
        break;
    case RunEnd::Failed:
        ++state.failures;
        state.notBefore = now + failurePause;
        if (state.failures >= maxFailures) {
            this->settle(index, false);
        }
        break;
    case RunEnd::Interrupted:
        ++state.interruptions;
        state.notBefore = now + interruptionPause(state.interruptions);
        break;
    }
}

void Job::settle(std::size_t index, bool completed)
{
    ItemState &state = this->states[index];
    state.settled = true;
    this->unstoredList.push_back({.itemId = this->items[index].id, .completed = completed, .output = completed ? std::move(state.output) : std::string()});
    state.output.clear();
}

void Job::giveUpRest()
{
    for (std::size_t index = 0; index < this->states.size(); ++index) {
        if (!this->states[index].settled) {
            this->settle(index, false);
        }
    }
}

std::vector<JobResult> Job::unstored(std::size_t maxBytes) const
{
    std::vector<JobResult> results;
    std::size_t bytes = 0;
    for (const JobResult &result : this->unstoredList) {
        bytes += result.output.size();
        if (!results.empty() && bytes > maxBytes) {
            break;
        }
        results.push_back(result);
    }
    return results;
}

bool Job::hasUnstored() const
{
    return !this->unstoredList.empty();
}

void Job::stored(const std::vector<JobResult> &results)
{
    ++this->objects;
    for (const JobResult &result : results) {
        this->storedList.push_back(result);
        std::erase_if(this->unstoredList, [&result](const JobResult &waiting) { return waiting.itemId == result.itemId; });
        const auto found = this->indexes.find(result.itemId);
        if (found != this->indexes.end()) {
            this->states[found->second].settled = true;
            this->finishedTokens += this->items[found->second].tokens;
        }
    }
}

std::uint64_t Job::nextObject() const
{
    return this->objects;
}

JobPage Job::page(std::size_t position, std::size_t maxBytes) const
{
    JobPage page{.total = this->jobHeader.items, .results = {}, .next = position};
    std::size_t bytes = 0;
    for (std::size_t index = position; index < this->storedList.size(); ++index) {
        bytes += this->storedList[index].output.size();
        if (!page.results.empty() && bytes > maxBytes) {
            break;
        }
        page.results.push_back(this->storedList[index]);
    }
    page.next += page.results.size();
    return page;
}

std::size_t Job::storedResults() const
{
    return this->storedList.size();
}

std::int64_t Job::tokensFinished() const
{
    return this->finishedTokens;
}

bool Job::allSettled() const
{
    return std::ranges::all_of(this->states, [](const ItemState &state) { return state.settled; });
}

bool Job::complete() const
{
    return this->storedList.size() >= this->jobHeader.items;
}

std::size_t Job::waiting() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->states, [](const ItemState &state) { return !state.running && !state.settled; }));
}

} // namespace Bergamotramp
