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
constexpr absl::Duration rebalancePeriod = absl::Milliseconds(500);
/** After losing a shard, how long to wait before taking it again without a request. Limits how often hosts that disagree on the live hosts alternate. */
constexpr absl::Duration takeoverDelay = absl::Seconds(2);
/** Limit for the appends of all shards of all hosts together; the store takes several hundred writes a second. */
constexpr int appendsPerSecond = 300;
/** Keys are kept no longer than this, even if memory would allow it. */
constexpr absl::Duration maxRetention = absl::Hours(24);
constexpr std::size_t maxCallThreads = 32;
/** Delay after each removal, because removals and appends share the store's write rate. */
constexpr absl::Duration removalDelay = absl::Milliseconds(20);

JournalShardSettings makeShardSettings(const HostContext &context, std::uint32_t shard)
{
    JournalShardSettings settings;
    settings.shard = shard;
    settings.host = context.settings.name;
    settings.incarnation = context.incarnation;
    settings.retention = {context.settings.journalRetention, std::max(context.settings.journalRetention, maxRetention)};
    settings.memoryBytes = static_cast<std::size_t>(context.settings.journalBytes);
    settings.appendInterval = absl::Seconds(1) * context.settings.journalShards / appendsPerSecond;
    return settings;
}

} // namespace

JournalHolder::Shard::Shard(const JournalShardSettings &settings) : stateMachine(settings)
{
}

JournalHolder::JournalHolder(const HostContext &context, RanksFirst ranksFirst)
    : context(context), ranksFirst(std::move(ranksFirst)), storeCalls(maxCallThreads), removals(1), rebalanceWorker(1)
{
    for (std::uint32_t number = 0; number < static_cast<std::uint32_t>(context.settings.journalShards); ++number) {
        this->shards.push_back(std::make_unique<Shard>(makeShardSettings(context, number)));
    }
    this->tickTimer = context.timers->every(tickPeriod, [this] { this->tick(); });
    this->rebalanceTimer = context.timers->every(rebalancePeriod, [this] {
        if (!this->rebalancing.exchange(true)) {
            this->rebalanceWorker.post([this] { this->rebalance(); });
        }
    });
}

JournalHolder::~JournalHolder()
{
    this->stopping = true;
    this->tickTimer.cancel();
    this->rebalanceTimer.cancel();
    this->rebalanceWorker.stop();
    this->storeCalls.stop();
    this->removals.stop();
}

void JournalHolder::begin(std::uint32_t shard, const JournalIntent &intent, AnswerCallback onAnswer)
{
    this->request(
        shard, std::move(onAnswer), [&intent](JournalShard &machine, std::uint64_t request, absl::Time now) { return machine.begin(request, intent, now); });
}

void JournalHolder::finish(std::uint32_t shard, const JournalCompletion &completion, AnswerCallback onAnswer)
{
    this->request(shard, std::move(onAnswer), [&completion](JournalShard &machine, std::uint64_t request, absl::Time now) {
        return machine.finish(request, completion, now);
    });
}

void JournalHolder::withdraw(std::uint32_t shard, const JournalWithdrawal &withdrawal, AnswerCallback onAnswer)
{
    this->request(shard, std::move(onAnswer), [&withdrawal](JournalShard &machine, std::uint64_t request, absl::Time now) {
        return machine.withdraw(request, withdrawal, now);
    });
}

void JournalHolder::read(std::uint32_t shard, const std::string &key, AnswerCallback onAnswer)
{
    this->request(shard, std::move(onAnswer), [&key](JournalShard &machine, std::uint64_t request, absl::Time now) { return machine.read(request, key, now); });
}

void JournalHolder::request(std::uint32_t number, AnswerCallback onAnswer, const ShardCall &call)
{
    const bool mayTakeOver = !this->releasing && this->ranksFirst(number);
    Shard &shard = *this->shards.at(number);
    std::vector<std::function<void()>> replies;
    {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        const absl::Time now = absl::Now();
        if (mayTakeOver && !this->releasing && !shard.stateMachine.active()) {
            this->perform(number, shard, shard.stateMachine.takeOver(now), replies);
        }
        const std::uint64_t request = ++shard.lastRequest;
        shard.requests.emplace(request, std::move(onAnswer));
        this->perform(number, shard, call(shard.stateMachine, request, now), replies);
        this->recordActivityChange(number, shard, now);
    }
    for (const std::function<void()> &reply : replies) {
        reply();
    }
}

// Runs on the timer thread and must not block, so a shard whose mutex is locked waits for the next tick.
void JournalHolder::tick()
{
    for (std::uint32_t number = 0; number < this->shards.size(); ++number) {
        Shard &shard = *this->shards[number];
        std::vector<std::function<void()>> replies;
        {
            const std::unique_lock<std::mutex> lock(shard.mutex, std::try_to_lock);
            if (!lock.owns_lock() || !shard.stateMachine.active()) {
                continue;
            }
            const absl::Time now = absl::Now();
            this->perform(number, shard, shard.stateMachine.tick(now), replies);
            this->recordActivityChange(number, shard, now);
        }
        for (const std::function<void()> &reply : replies) {
            reply();
        }
    }
}

void JournalHolder::rebalance()
{
    const std::size_t memory = this->memoryPerShard();
    for (std::uint32_t number = 0; number < this->shards.size() && !this->stopping; ++number) {
        this->rebalanceShard(number, this->ranksFirst(number), memory);
    }
    this->rebalancing = false;
}

// The memory limit applies to the host and is divided among the shards it holds.
std::size_t JournalHolder::memoryPerShard() const
{
    return static_cast<std::size_t>(this->context.settings.journalBytes) / std::max<std::size_t>(1, this->activeShards());
}

// Takes over a shard that this host ranks first for, before a request needs it, and releases one that another host ranks first for.
void JournalHolder::rebalanceShard(std::uint32_t number, bool ranksFirstHere, std::size_t memory)
{
    Shard &shard = *this->shards[number];
    std::vector<std::function<void()>> replies;
    {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        const absl::Time now = absl::Now();
        shard.stateMachine.setMemoryLimit(memory);
        const bool wanted = ranksFirstHere && !this->releasing;
        if (wanted && (shard.stateMachine.active() || now >= shard.nextTakeover)) {
            this->perform(number, shard, shard.stateMachine.takeOver(now), replies);
        } else if (!wanted && shard.stateMachine.active()) {
            this->perform(number, shard, shard.stateMachine.release(now), replies);
        }
        this->recordActivityChange(number, shard, now);
    }
    for (const std::function<void()> &reply : replies) {
        reply();
    }
}

void JournalHolder::recordActivityChange(std::uint32_t number, Shard &shard, absl::Time now)
{
    const bool active = shard.stateMachine.active();
    if (active == shard.wasActive) {
        return;
    }
    shard.wasActive = active;
    if (!active) {
        shard.nextTakeover = now + takeoverDelay;
    }
    if (this->context.events != nullptr) {
        this->context.events->record(active ? "journal.takeover" : "journal.released", {{"shard", number}, {"next", shard.stateMachine.nextNumber()}});
    }
}

void JournalHolder::perform(std::uint32_t number, Shard &shard, JournalActions actions, std::vector<std::function<void()>> &replies)
{
    for (JournalAction &action : actions) {
        if (auto *read = std::get_if<JournalReadObject>(&action)) {
            this->storeCalls.post([this, number, read = std::move(*read)] { this->readObject(number, read); });
        } else if (auto *write = std::get_if<JournalWriteObject>(&action)) {
            this->storeCalls.post([this, number, write = std::move(*write)] { this->writeObject(number, write); });
        } else if (auto *obsolete = std::get_if<JournalDeleteObjects>(&action)) {
            this->removals.post([this, deletions = std::move(*obsolete)] { this->removeObjects(deletions); });
        } else {
            auto &reply = std::get<JournalReply>(action);
            const auto found = shard.requests.find(reply.requestId);
            if (found == shard.requests.end()) {
                continue;
            }
            replies.emplace_back([onAnswer = std::move(found->second), answer = std::move(reply.answer)] { onAnswer(answer); });
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
    this->handleStoreResult(number, [&](JournalShard &machine, absl::Time now) { return machine.handleReadResult(action.ticket, result, now); });
}

void JournalHolder::writeObject(std::uint32_t number, const JournalWriteObject &action)
{
    WriteResult result;
    if (!this->stopping) {
        result = this->context.store->put(action.key, action.value, action.precondition);
    }
    this->handleStoreResult(number, [&](JournalShard &machine, absl::Time now) { return machine.handleWriteResult(action.ticket, result, now); });
}

void JournalHolder::handleStoreResult(std::uint32_t number, const std::function<JournalActions(JournalShard &, absl::Time)> &call)
{
    if (this->stopping) {
        return;
    }
    Shard &shard = *this->shards[number];
    std::vector<std::function<void()>> replies;
    {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        const absl::Time now = absl::Now();
        this->perform(number, shard, call(shard.stateMachine, now), replies);
        this->recordActivityChange(number, shard, now);
    }
    for (const std::function<void()> &reply : replies) {
        reply();
    }
}

// Failures are ignored: an object that is not removed only takes up space, since nothing refers to it.
void JournalHolder::removeObjects(const JournalDeleteObjects &obsolete)
{
    for (const std::string &key : obsolete.keysWithBodyObjects) {
        this->removeWithBodyObjects(key);
    }
    for (const std::string &key : obsolete.keys) {
        this->removeObject(key);
    }
}

void JournalHolder::removeWithBodyObjects(const std::string &key)
{
    std::vector<std::string> references;
    try {
        references = JournalBodies(this->context.store).bodyReferencesIn(key);
    } catch (const StoreError &) {
        return;
    }
    for (const std::string &reference : references) {
        for (const std::string &object : JournalBodies::pieceKeys(reference)) {
            this->removeObject(object);
        }
    }
    this->removeObject(key);
}

void JournalHolder::removeObject(const std::string &key)
{
    if (!this->stopping) {
        this->context.store->remove(key, Precondition::none());
        std::this_thread::sleep_for(absl::ToChronoMilliseconds(removalDelay));
    }
}

void JournalHolder::release()
{
    this->releasing = true;
    const std::size_t memory = this->memoryPerShard();
    for (std::uint32_t number = 0; number < this->shards.size(); ++number) {
        this->rebalanceShard(number, false, memory);
    }
}

std::size_t JournalHolder::activeShards() const
{
    std::size_t active = 0;
    for (const std::unique_ptr<Shard> &shard : this->shards) {
        const std::lock_guard<std::mutex> lock(shard->mutex);
        active += shard->stateMachine.active() ? 1 : 0;
    }
    return active;
}

nlohmann::json JournalHolder::status() const
{
    nlohmann::json held = nlohmann::json::array();
    for (std::uint32_t number = 0; number < this->shards.size(); ++number) {
        Shard &shard = *this->shards[number];
        const std::lock_guard<std::mutex> lock(shard.mutex);
        if (shard.stateMachine.active()) {
            held.push_back({{"shard", number},
                            {"loaded", shard.stateMachine.loaded()},
                            {"entries", shard.stateMachine.keyCount()},
                            {"bytes", shard.stateMachine.memoryUsed()},
                            {"queued", shard.stateMachine.queuedRecords()},
                            {"next", shard.stateMachine.nextNumber()}});
        }
    }
    return held;
}

} // namespace Bergamotramp
