#include "JournalService.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>

#include <absl/strings/str_cat.h>

#include "EventLog.h"
#include "JournalBodies.h"
#include "JournalHolder.h"
#include "RendezvousHash.h"
#include "Transport.h"

namespace Bergamotramp {

namespace {

/** Longer than a request waits at the holder for the store, so that the holder's answer arrives in time. */
constexpr absl::Duration replyTimeout = absl::Milliseconds(2500);
/** Long enough for the shards of a lost holder to be taken over by other hosts. */
constexpr absl::Duration beginTimeout = absl::Seconds(8);
/**
 * How long a begin waits for the outcome of an attempt whose deadline has passed. A host that got no answer to its begin withdraws it within
 * two tries of the background threads once the holder answers again.
 */
constexpr absl::Duration outcomeTimeout = absl::Seconds(3);
/** An outcome is no longer waited for when less than this is left, so that the last answer still arrives in time. */
constexpr absl::Duration outcomeMargin = absl::Milliseconds(300);
constexpr absl::Duration readTimeout = absl::Seconds(4);
constexpr absl::Duration finishTimeout = absl::Seconds(4);
constexpr absl::Duration retryDelay = absl::Milliseconds(100);
constexpr absl::Duration backgroundRetryDelay = absl::Milliseconds(500);
/** How long one try of a background thread waits. A round trip between regions and an append take less than 100 ms. */
constexpr absl::Duration backgroundReplyTimeout = absl::Seconds(1);
/** Records are sent beside one another, because each one that can't be recorded while a holder doesn't answer would delay those behind it. */
constexpr std::size_t backgroundThreadCount = 8;
/** How long the background threads keep trying to record a result or to withdraw a call. */
constexpr absl::Duration backgroundRetryTime = absl::Hours(1);
constexpr absl::Duration drainTimeout = absl::Seconds(6);
constexpr std::size_t peerThreads = 4;
/**
 * Messages younger than this are never stale. The hybrid clock of a host whose own clock is behind advances only with the messages that it
 * receives, so the age of a message is inexact.
 */
constexpr absl::Duration minMessageLifetime = absl::Seconds(1);

bool isDefinitive(wire::JournalState state)
{
    return state != wire::JOURNAL_STATE_NOT_HOLDER && state != wire::JOURNAL_STATE_UNAVAILABLE;
}

// Callers take the answer that the outcome is unknown as final, although the attempt's host may still withdraw it or record its result.
bool isFinalAnswer(wire::JournalState begunState, absl::Time outcomeLimit)
{
    const bool mayStillChange = begunState == wire::JOURNAL_STATE_UNKNOWN && absl::Now() < outcomeLimit;
    return begunState != wire::JOURNAL_STATE_NOT_HOLDER && !mayStillChange;
}

void sleepFor(absl::Duration duration)
{
    std::this_thread::sleep_for(absl::ToChronoMicroseconds(duration));
}

} // namespace

class JournalService::Implementation
{
public:
    explicit Implementation(const HostContext &context)
        : context(context)
        , bodies(context.store)
        , holder(context, [this](std::uint32_t shard) { return this->holderOf(shard).name == this->context.settings.name; })
        , peerWorkers(peerThreads)
    {
        for (std::size_t count = 0; count < backgroundThreadCount; ++count) {
            this->backgroundThreads.emplace_back([this] { this->runBackground(); });
        }
    }

    ~Implementation()
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->stopping = true;
        }
        this->changed.notify_all();
        for (std::thread &thread : this->backgroundThreads) {
            thread.join();
        }
        this->peerWorkers.stop();
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    wire::JournalBegun begin(const std::string &key, std::uint64_t fingerprint, bool idempotent, absl::Duration timeLeft)
    {
        const absl::Time started = absl::Now();
        wire::JournalBegin message;
        message.set_shard(this->shardOf(key));
        message.set_key(key);
        message.set_fingerprint(fingerprint);
        message.set_idempotent(idempotent);
        message.set_request(this->nextCallId());
        wire::JournalBegun begun = this->beginUntil(message, started + timeLeft, started + std::min(timeLeft, beginTimeout));
        if (begun.state() == wire::JOURNAL_STATE_NEW && absl::Now() >= started + timeLeft) {
            begun.Clear();
            begun.set_state(wire::JOURNAL_STATE_UNAVAILABLE);
        }
        if (begun.state() == wire::JOURNAL_STATE_UNAVAILABLE && !begun.never_started() && !begun.not_recorded()) {
            this->recordBeginEvent("journal.begin-unanswered", message.key(), message.request(), begun.state());
            this->withdraw(message);
        }
        if (begun.state() == wire::JOURNAL_STATE_FINISHED && !this->bodies.load(key, *begun.mutable_result())) {
            begun.Clear();
            begun.set_state(wire::JOURNAL_STATE_UNAVAILABLE);
        }
        return begun;
    }

    void endAttempt(const std::string &key, std::uint32_t attempt)
    {
        PendingRecord pending{key, attempt, {}, false, "", absl::Now() + backgroundRetryTime, true, 0};
        if (!isDefinitive(this->finishUntil(pending, absl::Now() + finishTimeout).state())) {
            this->retryInBackground(std::move(pending));
        }
    }

    wire::JournalFinished finish(const std::string &key, std::uint32_t attempt, const wire::RecordedResult &result, bool notRun)
    {
        PendingRecord pending{key, attempt, result, notRun, this->bodyKey(key), absl::Now() + backgroundRetryTime, false, 0};
        wire::JournalFinished finished = this->finishUntil(pending, absl::Now() + finishTimeout);
        if (!isDefinitive(finished.state())) {
            this->retryInBackground(std::move(pending));
        } else if (finished.state() == wire::JOURNAL_STATE_FINISHED && !this->bodies.load(key, *finished.mutable_result())) {
            finished.Clear();
            finished.set_state(wire::JOURNAL_STATE_UNAVAILABLE);
        }
        return finished;
    }

    wire::JournalRecord read(const std::string &key)
    {
        wire::Envelope message;
        message.mutable_journal_read()->set_shard(this->shardOf(key));
        message.mutable_journal_read()->set_key(key);
        const absl::Time limit = absl::Now() + readTimeout;
        wire::JournalRecord record;
        record.set_state(wire::JOURNAL_STATE_UNAVAILABLE);
        while (absl::Now() < limit) {
            const std::optional<wire::Envelope> answer = this->callHolder(message.journal_read().shard(), message, limit - absl::Now());
            if (answer.has_value() && answer->has_journal_record() && answer->journal_record().state() != wire::JOURNAL_STATE_NOT_HOLDER) {
                record = answer->journal_record();
                break;
            }
            sleepFor(retryDelay);
        }
        if (record.state() == wire::JOURNAL_STATE_FINISHED && !this->bodies.load(key, *record.mutable_result())) {
            record.Clear();
            record.set_state(wire::JOURNAL_STATE_UNAVAILABLE);
        }
        return record;
    }

    void handle(const wire::Envelope &envelope)
    {
        this->peerWorkers.post([this, envelope] {
            if (this->isStale(envelope)) {
                return;
            }
            this->serve(envelope, envelope.from().name(), [this, envelope](wire::Envelope answer) {
                const std::string address = this->addressOf(envelope.from().name());
                if (!address.empty()) {
                    this->context.transport->reply(address, envelope.correlation(), std::move(answer));
                }
            });
        });
    }

    nlohmann::json status() const
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return {{"shards", this->holder.status()}, {"unrecorded", this->unrecordedCount}};
    }

    void drain()
    {
        this->holder.release();
        const absl::Time limit = absl::Now() + drainTimeout;
        const auto hasPendingRecords = [this] {
            const std::lock_guard<std::mutex> lock(this->mutex);
            return this->unrecordedCount > 0;
        };
        while (absl::Now() < limit && (this->holder.activeShards() > 0 || hasPendingRecords())) {
            sleepFor(retryDelay);
        }
    }

private:
    /** A finish that could not be recorded yet, or the withdrawal of a call whose intent may have been recorded or still be. */
    struct PendingRecord {
        std::string key;
        std::uint32_t attempt = 0;
        wire::RecordedResult result;
        bool notRun = false;
        std::string bodyKey;
        absl::Time retryUntil;
        bool attemptEnded = false;
        /** 0 unless this is a withdrawal. */
        std::uint64_t withdrawnCall = 0;
        absl::Time nextTry = absl::InfinitePast();
    };
    using EnvelopeCallback = std::function<void(wire::Envelope)>;

    std::uint32_t shardOf(const std::string &key) const
    {
        return static_cast<std::uint32_t>(stableHash(key) % static_cast<std::uint64_t>(this->context.settings.journalShards));
    }

    std::uint64_t nextCallId()
    {
        return stableHash(absl::StrCat(this->context.settings.name, "/", this->context.incarnation, "/", ++this->lastCall)) | 1U; // 0 stands for no call.
    }

    std::string bodyKey(const std::string &key)
    {
        const std::string name = absl::StrCat(absl::Hex(stableHash(key), absl::kZeroPad16), "-", absl::Hex(this->nextCallId(), absl::kZeroPad16));
        return absl::StrCat("journal/", this->shardOf(key), "/results/", name);
    }

    HostInfo holderOf(std::uint32_t shard)
    {
        const std::vector<HostInfo> hosts = this->knownHosts();
        std::vector<std::string> names;
        for (const HostInfo &host : hosts) {
            names.push_back(host.name);
        }
        const std::string picked = rendezvousPick(absl::StrCat("journal/", shard), names);
        for (const HostInfo &host : hosts) {
            if (host.name == picked) {
                return host;
            }
        }
        return {};
    }

    std::vector<HostInfo> knownHosts()
    {
        std::vector<HostInfo> hosts = this->context.liveHosts();
        const std::lock_guard<std::mutex> lock(this->addressMutex);
        for (const HostInfo &host : hosts) {
            this->addresses[host.name] = host.peerAddress;
        }
        return hosts;
    }

    // Includes hosts that are no longer live: a leaving host still finishes its requests and needs the answers.
    std::string addressOf(const std::string &name)
    {
        this->knownHosts();
        const std::lock_guard<std::mutex> lock(this->addressMutex);
        const auto found = this->addresses.find(name);
        return found == this->addresses.end() ? "" : found->second;
    }

    wire::JournalBegun beginUntil(wire::JournalBegin message, absl::Time requestDeadline, absl::Time limit)
    {
        wire::JournalBegun begun;
        begun.set_state(wire::JOURNAL_STATE_UNAVAILABLE);
        const absl::Time outcomeLimit = std::min(absl::Now() + outcomeTimeout, limit - outcomeMargin);
        do {
            wire::Envelope envelope;
            message.set_time_left_us(absl::ToInt64Microseconds(requestDeadline - absl::Now()));
            *envelope.mutable_journal_begin() = message;
            const std::optional<wire::Envelope> answer = this->callHolder(message.shard(), envelope, limit - absl::Now());
            if (answer.has_value() && answer->has_journal_begun() && isFinalAnswer(answer->journal_begun().state(), outcomeLimit)) {
                return answer->journal_begun();
            }
            sleepFor(retryDelay);
        } while (absl::Now() < limit && !this->stopping);
        return begun;
    }

    wire::JournalFinished finishUntil(PendingRecord &pending, absl::Time limit)
    {
        wire::JournalFinished finished;
        finished.set_state(wire::JOURNAL_STATE_UNAVAILABLE);
        do {
            if (pending.notRun || pending.attemptEnded || !JournalBodies::needsObject(pending.result) || this->bodies.store(pending.bodyKey, pending.result)) {
                wire::Envelope envelope;
                wire::JournalFinish &message = *envelope.mutable_journal_finish();
                message.set_shard(this->shardOf(pending.key));
                message.set_key(pending.key);
                message.set_attempt(pending.attempt);
                *message.mutable_result() = pending.result;
                message.set_not_run(pending.notRun);
                message.set_attempt_ended(pending.attemptEnded);
                message.set_withdrawn_call(pending.withdrawnCall);
                const std::optional<wire::Envelope> answer = this->callHolder(message.shard(), envelope, limit - absl::Now());
                if (answer.has_value() && answer->has_journal_finished() && isDefinitive(answer->journal_finished().state())) {
                    this->removeUnusedBody(pending, answer->journal_finished());
                    return answer->journal_finished();
                }
            }
            sleepFor(retryDelay);
        } while (absl::Now() < limit && !this->stopping);
        return finished;
    }

    // A begin with one of these events was granted nothing in time, so that this host has sent nothing to an upstream for it.
    void recordBeginEvent(std::string_view event, const std::string &key, std::uint64_t call, wire::JournalState state)
    {
        if (this->context.events != nullptr) {
            this->context.events->record(event, {{"key", key}, {"call", call}, {"state", wire::JournalState_Name(state)}});
        }
    }

    // The intent may be recorded now or later although its request won't run, because its caller receives that answer. The call is never used again.
    void withdraw(const wire::JournalBegin &begin)
    {
        this->retryInBackground({begin.key(), 0, {}, true, "", absl::Now() + backgroundRetryTime, false, begin.request()});
    }

    void removeUnusedBody(const PendingRecord &pending, const wire::JournalFinished &finished)
    {
        const std::string &ownReference = pending.result.body_object();
        wire::RecordedResult recorded = finished.result();
        // If the recorded result can't be read, it may refer to this body, which is then kept.
        if (!ownReference.empty() && this->bodies.resolve(pending.key, recorded) && recorded.body_object() != ownReference) {
            this->bodies.remove(ownReference);
        }
    }

    /** Sends a request to the shard's holder, or serves it here if that is this host; returns nothing when no answer came in time. */
    std::optional<wire::Envelope> callHolder(std::uint32_t shard, const wire::Envelope &request, absl::Duration wait)
    {
        const absl::Duration timeout = std::max(absl::Milliseconds(1), std::min(wait, replyTimeout));
        const HostInfo target = this->holderOf(shard);
        if (target.name.empty()) {
            return std::nullopt;
        }
        if (target.name != this->context.settings.name) {
            return this->context.transport->request(target.peerAddress, request, timeout);
        }
        const auto promise = std::make_shared<std::promise<wire::Envelope>>();
        std::future<wire::Envelope> answer = promise->get_future();
        this->serve(request, target.name, [promise](wire::Envelope envelope) { promise->set_value(std::move(envelope)); });
        if (answer.wait_for(absl::ToChronoMicroseconds(timeout)) != std::future_status::ready) {
            return std::nullopt;
        }
        return answer.get();
    }

    // Messages wait in the sender's queue while a connection is down. By the time an old begin arrives, its sender has given up, and recording
    // its intent would block the caller's next attempts under the key until the intent expires. Dropping it is as safe as losing the message.
    bool isStale(const wire::Envelope &envelope) const
    {
        if (!envelope.has_journal_begin() || envelope.hybrid_time() == 0 || this->context.events == nullptr) {
            return false;
        }
        const std::int64_t sent = HybridTime::unpack(envelope.hybrid_time()).wallMicroseconds;
        const std::int64_t now = HybridTime::unpack(this->context.events->nextTimestamp()).wallMicroseconds;
        const absl::Duration timeLeft = absl::Microseconds(envelope.journal_begin().time_left_us());
        return absl::Microseconds(now - sent) > std::clamp(timeLeft, minMessageLifetime, replyTimeout);
    }

    void serve(const wire::Envelope &request, const std::string &from, const EnvelopeCallback &sendAnswer)
    {
        const auto onAnswer = [sendAnswer](const JournalAnswer &answer) { sendAnswer(toEnvelope(answer)); };
        const auto shards = static_cast<std::uint32_t>(this->context.settings.journalShards);
        if (request.has_journal_begin() && request.journal_begin().shard() < shards) {
            const wire::JournalBegin &begin = request.journal_begin();
            const JournalIntent intent{begin.key(), begin.fingerprint(), begin.idempotent(), from, begin.request(), absl::Microseconds(begin.time_left_us())};
            this->holder.begin(begin.shard(), intent, onAnswer);
        } else if (request.has_journal_finish() && request.journal_finish().shard() < shards) {
            const wire::JournalFinish &finish = request.journal_finish();
            if (finish.withdrawn_call() != 0) {
                this->holder.withdraw(finish.shard(), {finish.key(), from, finish.withdrawn_call()}, onAnswer);
                return;
            }
            this->holder.finish(finish.shard(), {finish.key(), finish.attempt(), finish.result(), finish.not_run(), finish.attempt_ended()}, onAnswer);
        } else if (request.has_journal_read() && request.journal_read().shard() < shards) {
            this->holder.read(request.journal_read().shard(), request.journal_read().key(), onAnswer);
        }
    }

    static wire::Envelope toEnvelope(const JournalAnswer &answer)
    {
        wire::Envelope envelope;
        if (const auto *begun = std::get_if<wire::JournalBegun>(&answer)) {
            *envelope.mutable_journal_begun() = *begun;
        } else if (const auto *finished = std::get_if<wire::JournalFinished>(&answer)) {
            *envelope.mutable_journal_finished() = *finished;
        } else {
            *envelope.mutable_journal_record() = std::get<wire::JournalRecord>(answer);
        }
        return envelope;
    }

    void retryInBackground(PendingRecord pending)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->pendingRecords.push_front(std::move(pending));
        ++this->unrecordedCount;
        this->changed.notify_one();
    }

    void runBackground()
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        while (!this->stopping) {
            if (this->pendingRecords.empty()) {
                this->changed.wait(lock);
                continue;
            }
            // New records come first and all others are queued again with the same delay, so that the first one is the next one due.
            const absl::Duration delay = this->pendingRecords.front().nextTry - absl::Now();
            if (delay > absl::ZeroDuration()) {
                this->changed.wait_for(lock, absl::ToChronoMicroseconds(delay));
                continue;
            }
            PendingRecord pending = std::move(this->pendingRecords.front());
            this->pendingRecords.pop_front();
            lock.unlock();
            const bool done = this->recordPending(pending) || absl::Now() >= pending.retryUntil;
            lock.lock();
            if (done) {
                --this->unrecordedCount;
                continue;
            }
            pending.nextTry = absl::Now() + backgroundRetryDelay;
            this->pendingRecords.push_back(std::move(pending));
        }
    }

    bool recordPending(PendingRecord &pending)
    {
        const wire::JournalState state = this->finishUntil(pending, absl::Now() + backgroundReplyTimeout).state();
        if (pending.withdrawnCall != 0) {
            this->recordBeginEvent("journal.begin-withdrawn", pending.key, pending.withdrawnCall, state);
        }
        return isDefinitive(state);
    }

    const HostContext context;
    JournalBodies bodies;
    std::atomic<std::uint64_t> lastCall{0};
    std::mutex addressMutex;
    std::map<std::string, std::string> addresses;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::deque<PendingRecord> pendingRecords;
    /** Pending records, including those that a thread is sending. */
    std::size_t unrecordedCount = 0;
    std::atomic<bool> stopping{false};
    JournalHolder holder;
    WorkerPool peerWorkers;
    std::vector<std::thread> backgroundThreads;
};

JournalService::JournalService(const HostContext &context) : implementation(std::make_unique<Implementation>(context))
{
}

JournalService::~JournalService() = default;

wire::JournalBegun JournalService::begin(const std::string &key, std::uint64_t fingerprint, bool idempotent, absl::Duration timeLeft)
{
    return this->implementation->begin(key, fingerprint, idempotent, timeLeft);
}

wire::JournalFinished JournalService::finish(const std::string &key, std::uint32_t attempt, const wire::RecordedResult &result, bool notRun)
{
    return this->implementation->finish(key, attempt, result, notRun);
}

void JournalService::endAttempt(const std::string &key, std::uint32_t attempt)
{
    this->implementation->endAttempt(key, attempt);
}

wire::JournalRecord JournalService::read(const std::string &key)
{
    return this->implementation->read(key);
}

void JournalService::handle(const wire::Envelope &envelope)
{
    this->implementation->handle(envelope);
}

nlohmann::json JournalService::status() const
{
    return this->implementation->status();
}

void JournalService::drain()
{
    this->implementation->drain();
}

} // namespace Bergamotramp
