#include "JournalHolder.h"

#include <algorithm>
#include <thread>

#include <absl/strings/str_cat.h>

#include "EventLog.h"
#include "JournalBodies.h"
#include "StoreClient.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration tickPeriod = absl::Milliseconds(10);
constexpr absl::Duration reviewPeriod = absl::Milliseconds(500);
/** Wait after a lost shard before it is taken again without a request, so that hosts with differing views don't alternate quickly. */
constexpr absl::Duration takeoverPause = absl::Seconds(2);
/** Appends a second of all shards of the fleet; the store takes several hundred writes a second. */
constexpr int appendsPerSecond = 300;
/** Keys are kept no longer than this even where memory allows. */
constexpr absl::Duration longestRetention = absl::Hours(24);
constexpr std::size_t maxCallThreads = 32;
/** Between two removals, which compete with appends for the store's write rate. */
constexpr absl::Duration removalPause = absl::Milliseconds(20);

JournalShardSettings settingsOf(const HostContext &context, std::uint32_t shard)
{
    JournalShardSettings settings;
    settings.shard = shard;
    settings.host = context.settings.name;
    settings.incarnation = context.incarnation;
    settings.retention = {context.settings.journalRetention, std::max(context.settings.journalRetention, longestRetention)};
    settings.memoryBytes = static_cast<std::size_t>(context.settings.journalBytes);
    settings.appendInterval = absl::Seconds(1) * context.settings.journalShards / appendsPerSecond;
    return settings;
}

} // namespace

JournalHolder::Shard::Shard(const JournalShardSettings &settings) : machine(settings)
{
}

JournalHolder::JournalHolder(const HostContext &context, Preferred preferred)
    : context(context), preferred(std::move(preferred)), calls(maxCallThreads), removals(1), reviews(1)
{
    for (std::uint32_t number = 0; number < static_cast<std::uint32_t>(context.settings.journalShards); ++number) {
        this->shards.push_back(std::make_unique<Shard>(settingsOf(context, number)));
    }
    this->ticks = context.timers->every(tickPeriod, [this] { this->tick(); });
    this->reviewTicks = context.timers->every(reviewPeriod, [this] {
        if (!this->reviewing.exchange(true)) {
            this->reviews.post([this] { this->review(); });
        }
    });
}

JournalHolder::~JournalHolder()
{
    this->stopping = true;
    this->ticks.cancel();
    this->reviewTicks.cancel();
    this->reviews.stop();
    this->calls.stop();
    this->removals.stop();
}

void JournalHolder::begin(std::uint32_t shard, const JournalIntent &intent, Answered answered)
{
    this->request(
        shard, std::move(answered), [&intent](JournalShard &machine, std::uint64_t request, absl::Time now) { return machine.begin(request, intent, now); });
}

void JournalHolder::finish(std::uint32_t shard, const JournalCompletion &completion, Answered answered)
{
    this->request(shard, std::move(answered), [&completion](JournalShard &machine, std::uint64_t request, absl::Time now) {
        return machine.finish(request, completion, now);
    });
}

void JournalHolder::read(std::uint32_t shard, const std::string &key, Answered answered)
{
    this->request(shard, std::move(answered), [&key](JournalShard &machine, std::uint64_t request, absl::Time now) { return machine.read(request, key, now); });
}

void JournalHolder::request(std::uint32_t number, Answered answered, const Event &event)
{
    const bool mayTake = !this->releasing && this->preferred(number);
    Shard &shard = *this->shards.at(number);
    std::vector<std::function<void()>> replies;
    {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        const absl::Time now = absl::Now();
        if (mayTake && !this->releasing && !shard.machine.active()) {
            this->perform(number, shard, shard.machine.takeOver(now), replies);
        }
        const std::uint64_t request = ++shard.lastRequest;
        shard.requests.emplace(request, std::move(answered));
        this->perform(number, shard, event(shard.machine, request, now), replies);
        this->noteActivity(number, shard, now);
    }
    for (const std::function<void()> &reply : replies) {
        reply();
    }
}

// Runs on the timer thread: a shard that is busy is left for the next tick.
void JournalHolder::tick()
{
    for (std::uint32_t number = 0; number < this->shards.size(); ++number) {
        Shard &shard = *this->shards[number];
        std::vector<std::function<void()>> replies;
        {
            const std::unique_lock<std::mutex> lock(shard.mutex, std::try_to_lock);
            if (!lock.owns_lock() || !shard.machine.active()) {
                continue;
            }
            const absl::Time now = absl::Now();
            this->perform(number, shard, shard.machine.tick(now), replies);
            this->noteActivity(number, shard, now);
        }
        for (const std::function<void()> &reply : replies) {
            reply();
        }
    }
}

void JournalHolder::review()
{
    const std::size_t memory = this->memoryPerShard();
    for (std::uint32_t number = 0; number < this->shards.size() && !this->stopping; ++number) {
        this->reviewShard(number, this->preferred(number), memory);
    }
    this->reviewing = false;
}

// The limit is one of the host, so that a shard gets less when the host holds more of them.
std::size_t JournalHolder::memoryPerShard() const
{
    return static_cast<std::size_t>(this->context.settings.journalBytes) / std::max<std::size_t>(1, this->activeShards());
}

// Takes shards that this host ranks first for before requests need them, and gives up those that moved to another host.
void JournalHolder::reviewShard(std::uint32_t number, bool preferredHere, std::size_t memory)
{
    Shard &shard = *this->shards[number];
    std::vector<std::function<void()>> replies;
    {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        const absl::Time now = absl::Now();
        shard.machine.setMemory(memory);
        const bool wanted = preferredHere && !this->releasing;
        if (wanted && (shard.machine.active() || now >= shard.nextTakeover)) {
            this->perform(number, shard, shard.machine.takeOver(now), replies);
        } else if (!wanted && shard.machine.active()) {
            this->perform(number, shard, shard.machine.release(now), replies);
        }
        this->noteActivity(number, shard, now);
    }
    for (const std::function<void()> &reply : replies) {
        reply();
    }
}

void JournalHolder::noteActivity(std::uint32_t number, Shard &shard, absl::Time now)
{
    const bool active = shard.machine.active();
    if (active == shard.wasActive) {
        return;
    }
    shard.wasActive = active;
    if (!active) {
        shard.nextTakeover = now + takeoverPause;
    }
    if (this->context.events != nullptr) {
        this->context.events->record(active ? "journal.takeover" : "journal.released", {{"shard", number}, {"next", shard.machine.nextNumber()}});
    }
}

void JournalHolder::perform(std::uint32_t number, Shard &shard, JournalActions actions, std::vector<std::function<void()>> &replies)
{
    for (JournalAction &action : actions) {
        if (auto *read = std::get_if<JournalReadObject>(&action)) {
            this->calls.post([this, number, read = std::move(*read)] { this->readObject(number, read); });
        } else if (auto *write = std::get_if<JournalWriteObject>(&action)) {
            this->calls.post([this, number, write = std::move(*write)] { this->writeObject(number, write); });
        } else if (auto *obsolete = std::get_if<JournalDeleteObjects>(&action)) {
            this->removals.post([this, deletions = std::move(*obsolete)] { this->removeObjects(deletions); });
        } else {
            auto &reply = std::get<JournalReply>(action);
            const auto found = shard.requests.find(reply.request);
            if (found == shard.requests.end()) {
                continue;
            }
            replies.emplace_back([answered = std::move(found->second), answer = std::move(reply.answer)] { answered(answer); });
            shard.requests.erase(found);
        }
    }
}

void JournalHolder::readObject(std::uint32_t number, const JournalReadObject &action)
{
    JournalReadResult result;
    try {
        if (!this->stopping) {
            result.object = this->context.store->get(action.key);
            result.answered = true;
        }
    } catch (const StoreError &) {
        result.answered = false;
    }
    this->settled(number, [&](JournalShard &machine, absl::Time now) { return machine.objectRead(action.ticket, result, now); });
}

void JournalHolder::writeObject(std::uint32_t number, const JournalWriteObject &action)
{
    WriteResult result;
    if (!this->stopping) {
        result = this->context.store->put(action.key, action.value, action.precondition);
    }
    this->settled(number, [&](JournalShard &machine, absl::Time now) { return machine.writeSettled(action.ticket, result, now); });
}

void JournalHolder::settled(std::uint32_t number, const std::function<JournalActions(JournalShard &, absl::Time)> &event)
{
    if (this->stopping) {
        return;
    }
    Shard &shard = *this->shards[number];
    std::vector<std::function<void()>> replies;
    {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        const absl::Time now = absl::Now();
        this->perform(number, shard, event(shard.machine, now), replies);
        this->noteActivity(number, shard, now);
    }
    for (const std::function<void()> &reply : replies) {
        reply();
    }
}

// A removal that fails leaves an object that nothing refers to.
void JournalHolder::removeObjects(const JournalDeleteObjects &obsolete)
{
    for (const std::string &key : obsolete.withBodies) {
        this->removeWithBodies(key);
    }
    for (const std::string &key : obsolete.keys) {
        this->removeObject(key);
    }
}

void JournalHolder::removeWithBodies(const std::string &key)
{
    std::vector<std::string> references;
    try {
        references = JournalBodies(this->context.store).referencesIn(key);
    } catch (const StoreError &) {
        return;
    }
    for (const std::string &reference : references) {
        for (const std::string &object : JournalBodies::objectsOf(reference)) {
            this->removeObject(object);
        }
    }
    this->removeObject(key);
}

void JournalHolder::removeObject(const std::string &key)
{
    if (!this->stopping) {
        this->context.store->remove(key, Precondition::none());
        std::this_thread::sleep_for(absl::ToChronoMilliseconds(removalPause));
    }
}

void JournalHolder::release()
{
    this->releasing = true;
    const std::size_t memory = this->memoryPerShard();
    for (std::uint32_t number = 0; number < this->shards.size(); ++number) {
        this->reviewShard(number, false, memory);
    }
}

std::size_t JournalHolder::activeShards() const
{
    std::size_t active = 0;
    for (const std::unique_ptr<Shard> &shard : this->shards) {
        const std::lock_guard<std::mutex> lock(shard->mutex);
        active += shard->machine.active() ? 1 : 0;
    }
    return active;
}

nlohmann::json JournalHolder::status() const
{
    nlohmann::json held = nlohmann::json::array();
    for (std::uint32_t number = 0; number < this->shards.size(); ++number) {
        Shard &shard = *this->shards[number];
        const std::lock_guard<std::mutex> lock(shard.mutex);
        if (shard.machine.active()) {
            held.push_back({{"shard", number},
                            {"loaded", shard.machine.loaded()},
                            {"entries", shard.machine.entryCount()},
                            {"bytes", shard.machine.memoryUsed()},
                            {"queued", shard.machine.queuedRecords()},
                            {"next", shard.machine.nextNumber()}});
        }
    }
    return held;
}

} // namespace Bergamotramp
