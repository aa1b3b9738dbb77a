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
#include "RetryLimiter.h"
#include "ServiceSpec.h"
#include "SlotService.h"
#include "StreamPace.h"
#include "UpstreamClient.h"
#include "WorkerPool.h"

namespace Bergamotramp {

class EventLog;
class Metrics;

/** One request to a model service, which may take several attempts. */
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

/** Services that an exchange uses; all of them outlive the exchange. */
struct ExchangeDependencies {
    SlotService *slots = nullptr;
    UpstreamClient *upstreams = nullptr;
    WorkerPool *workers = nullptr;
    EventLog *events = nullptr;
    RetryLimiter *retryLimiter = nullptr;
    Metrics *metrics = nullptr;
};

/** The error that the caller gets for a request whose slot was denied. */
CallerError denialError(const std::string &service, const SlotDenial &denial, bool mayHaveRun);

/** The slot result of a call that ended without a complete answer. Probes the upstream if the connection was lost. */
wire::SlotResult failedSlotResult(UpstreamClient &upstreams, const std::string &address, CallOutcome outcome);

/** An event that an attempt reports to its exchange. */
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
        /** The slot request was denied. */
        Denied,
    };

    std::size_t attempt = 0;
    Kind kind = Kind::Ended;
    /** Kind::Data: when the event arrived from the upstream, which may be earlier than next() processes it. */
    absl::Time at;
    std::string data;
    CallResult result;
    SlotDenial denial;
    std::string upstream;
    /** The upstream resumed an earlier attempt; the event continues the text of that attempt. */
    bool resumed = false;
    /** The attempt was cancelled because its slot was needed for online work. */
    bool preempted = false;
};

/**
 * Runs the attempts of a model request, with retries, hedging, preemption and resumption.
 * One thread calls next(); the attempts run on worker threads, with one slot and one connection each.
 */
class ModelExchange
{
public:
    ModelExchange(ModelRequest request, ExchangeDependencies dependencies);
    /** Cancels attempts that still run. */
    ~ModelExchange();
    ModelExchange(const ModelExchange &) = delete;
    ModelExchange &operator=(const ModelExchange &) = delete;

    /** Waits for the next event to forward to the caller; returns nothing once the answer is complete. Throws CallerError. */
    std::optional<std::string> next();
    /** The complete answer, once next() has returned nothing. */
    [[nodiscard]] const ModelAnswer &answer() const;
    /** Cancels the request from another thread; next() then throws. */
    void cancel();

private:
    struct Channel;
    struct Attempt;

    void startAttempt(bool hedge);
    [[nodiscard]] std::optional<AttemptEvent> waitForEvent();
    std::optional<std::string> handleEvent(const AttemptEvent &event);
    std::optional<std::string> handleData(const AttemptEvent &event);
    void selectAttempt(const AttemptEvent &event);
    void updateStreamPace(const AttemptEvent &event);
    void dropMismatchingAttempt(Attempt &attempt);
    void finishAttempt(const AttemptEvent &event);
    void handleFailedAttempt(const AttemptEvent &event);
    void handleDenial(const AttemptEvent &event);
    void restartPreempted(const AttemptEvent &event);
    void retryOrFail(const AttemptEvent &event, CallOutcome outcome);
    void hedgeIfDue();
    void hedgeSlowStreamIfDue();
    void startHedge(const char *reason);
    [[noreturn]] void failAtDeadline();
    [[nodiscard]] bool othersRunning(std::size_t attempt) const;
    [[nodiscard]] bool mayHedgeSlowStream() const;
    [[nodiscard]] absl::Duration nextWakeUp() const;
    void cancelOthers(std::size_t selectedIndex);
    void recordEvent(const char *name, const AttemptEvent &event) const;

    ModelRequest request;
    ExchangeDependencies dependencies;
    std::shared_ptr<Channel> channel;
    std::vector<std::shared_ptr<Attempt>> attempts;
    /** The preempted attempt that the next one may resume. */
    std::shared_ptr<Attempt> resumeFrom;
    /** The attempt whose stream is forwarded to the caller. */
    std::optional<std::size_t> selectedAttempt;
    AnswerMerge answerMerge;
    std::vector<std::string> excluded;
    absl::Time firstAttemptAt;
    absl::Time hedgeAt = absl::InfiniteFuture();
    /** Speed of the selected attempt's stream. */
    StreamPace streamPace;
    /** When the selected attempt's stream counts as slow unless a token arrives before. */
    absl::Time slowAt = absl::InfiniteFuture();
    bool slowStreamHedged = false;
    /** Attempts that count against the limit; preempted ones don't. */
    std::int64_t countedAttempts = 0;
    bool complete = false;
    /** An attempt of this exchange may have run on an upstream. */
    bool mayHaveRun = false;
};

} // namespace Bergamotramp
