#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <absl/time/time.h>

#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** How a request ended; the value of the metric label "ending". */
enum class RequestOutcome {
    Completed,
    Failed,
    Cancelled,
    /** The caller was told that the request was not run. */
    NotRun,
    /** The caller was told that the outcome is unknown. */
    Unknown,
};

/** Slots of one pool: all, and those in use by online and by batch requests. */
struct SlotGauges {
    std::int64_t total = 0;
    std::int64_t online = 0;
    std::int64_t batch = 0;

    bool operator==(const SlotGauges &) const = default;
};

/** Messages between hosts since the process started. */
struct ControlMessageTotals {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;

    bool operator==(const ControlMessageTotals &) const = default;
};

/** Calls to the store since the process started. */
struct StoreTotals {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t unanswered = 0;

    bool operator==(const StoreTotals &) const = default;
};

/**
 * Metrics of one host in the Prometheus text format; all names begin with bergamotramp_. Thread-safe.
 * Service labels have to be names from the catalogue, never text from callers, which would create unlimited time series.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** Counts a finished request and records its latency from acceptance to the last byte. */
    void requestEnded(const std::string &service, wire::WorkClass workClass, RequestOutcome outcome, absl::Duration latency);
    void firstToken(const std::string &service, wire::WorkClass workClass, absl::Duration latency);
    void betweenTokens(const std::string &service, wire::WorkClass workClass, absl::Duration latency);
    /** Records the time from the request for a slot to its grant. */
    void slotWait(const std::string &service, wire::WorkClass workClass, absl::Duration wait);
    void preempted(const std::string &service);
    void retried(const std::string &service);
    void hedged(const std::string &service);

    void setSlots(const std::string &service, const SlotGauges &slots);
    void setQueue(const std::string &service, wire::WorkClass workClass, std::int64_t length);
    void setMembers(wire::MemberState state, std::int64_t count);
    void setGeneration(std::uint64_t generation);
    /** Raises the counters to the totals; a total lower than its counter is ignored. */
    void setControlTotals(const ControlMessageTotals &totals);
    void setStoreTotals(const StoreTotals &totals);

    /** All metrics in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    class Families;

    std::unique_ptr<Families> families;
};

} // namespace Bergamotramp
