#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "AnswerMerge.h"
#include "AttemptPolicy.h"
#include "CallerError.h"
#include "ModelAnswer.h"
#include "RepeatLimiter.h"
#include "ServiceSpec.h"
#include "SlotService.h"
#include "StreamPace.h"
#include "UpstreamClient.h"
#include "WorkerPool.h"

namespace Bergamotramp {

class EventLog;
class Metrics;

/** One request to a model service, from the first attempt to the whole answer. */
struct ModelRequest {
    /** Prefix of the attempts' ids. */
    std::string id;
    ServiceSpec service;
    ModelInterface kind = ModelInterface::Completions;
    std::string path;
    /** The caller's body. */
    nlohmann::json body;
    std::string organisation;
    std::uint64_t fingerprint = 0;
    wire::WorkClass workClass = wire::WORK_CLASS_ONLINE;
    absl::Time deadline;
    /** When batch work is due. */
    absl::Time due;
    /** Whether an earlier attempt, by another host, may have run the request. */
    bool earlierMayHaveRun = false;
};

/** What an exchange uses; all of it outlives the exchange. */
struct ExchangeParts {
    SlotService *slots = nullptr;
    UpstreamClient *upstreams = nullptr;
    WorkerPool *workers = nullptr;
    EventLog *events = nullptr;
    RepeatLimiter *repeats = nullptr;
    Metrics *metrics = nullptr;
};

/** The caller's error for a request that got no slot. */
CallerError denialError(const std::string &service, const SlotDenial &denial, bool mayHaveRun);

/** What the slot's pool is told of a call that brought no answer; probes the upstream when the connection broke. */
wire::SlotResult failedSlotResult(UpstreamClient &upstreams, const std::string &address, CallOutcome outcome);

/** What an attempt tells the exchange. */
struct AttemptEvent {
    enum class Kind {
        /** The attempt got a slot. */
        Started,
        /** One event of the upstream's stream. */
        Data,
        /** The end marker arrived. */
        Done,
        /** The call ended without the end marker. */
        Ended,
        /** No slot could be had. */
        Denied,
    };

    std::size_t attempt = 0;
    Kind kind = Kind::Ended;
    /** Data: when it arrived, whenever it is pulled. */
    absl::Time at;
    std::string data;
    CallResult result;
    SlotDenial denial;
    std::string upstream;
    /** The event continues the text of the attempt that was resumed. */
    bool resumed = false;
    /** The attempt was cancelled because its slot was needed for online work. */
    bool preempted = false;
};

/**
 * Runs attempts of a model request: retries, hedging, preemption, resumption.
 * Events are pulled by one thread; attempts run on worker threads, one slot and one connection each.
 */
class ModelExchange
{
public:
    ModelExchange(ModelRequest request, ExchangeParts parts);
    /** Cancels attempts that still run. */
    ~ModelExchange();
    ModelExchange(const ModelExchange &) = delete;
    ModelExchange &operator=(const ModelExchange &) = delete;

    /** Waits for the next event to pass on; returns nothing once the answer is complete. Throws CallerError. */
    std::optional<std::string> next();
    /** The whole answer, once next() has returned nothing. */
    [[nodiscard]] const ModelAnswer &answer() const;
    /** Cancels the request from another thread; next() then throws. */
    void cancel();

private:
    struct Channel;
    struct Attempt;

    void startAttempt(bool hedge);
    [[nodiscard]] std::optional<AttemptEvent> waitForEvent();
    std::optional<std::string> takeEvent(const AttemptEvent &event);
    std::optional<std::string> takeData(const AttemptEvent &event);
    void becomeWinner(const AttemptEvent &event);
    void notePace(const AttemptEvent &event);
    void dropDifferent(Attempt &attempt);
    void finishWith(const AttemptEvent &event);
    void handleEnd(const AttemptEvent &event);
    void handleDenial(const AttemptEvent &event);
    void restartPreempted(const AttemptEvent &event);
    void decideAfter(const AttemptEvent &event, CallOutcome outcome);
    void maybeHedge();
    void maybeOvertake();
    void startHedge(const char *reason);
    [[noreturn]] void failAtDeadline();
    [[nodiscard]] bool othersRunning(std::size_t attempt) const;
    [[nodiscard]] bool mayOvertake() const;
    [[nodiscard]] absl::Duration nextWakeUp() const;
    void cancelOthers(std::size_t winner);
    void recordEvent(const char *name, const AttemptEvent &event) const;

    ModelRequest request;
    ExchangeParts parts;
    std::shared_ptr<Channel> channel;
    std::vector<std::shared_ptr<Attempt>> attempts;
    /** The preempted attempt that the next one may resume. */
    std::shared_ptr<Attempt> resumeFrom;
    std::optional<std::size_t> winner;
    AnswerMerge merge;
    std::vector<std::string> excluded;
    absl::Time firstAttemptAt;
    absl::Time hedgeAt = absl::InfiniteFuture();
    /** Speed of the winner's stream. */
    StreamPace pace;
    /** When the winner's stream counts as slow unless a token arrives. */
    absl::Time slowAt = absl::InfiniteFuture();
    bool overtakeTried = false;
    /** Attempts that count against the limit; preempted and denied ones don't. */
    std::int64_t counted = 0;
    bool complete = false;
    /** An attempt of this exchange may have run on an upstream. */
    bool mayHaveRun = false;
};

} // namespace Bergamotramp
