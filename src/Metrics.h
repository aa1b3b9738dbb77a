#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <absl/time/time.h>

#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** How a request ended, as a metric label. */
enum class RequestEnding {
    Completed,
    Failed,
    Cancelled,
    /** Rejected as not run. */
    NotRun,
    /** Answered as unknown. */
    Unknown,
};

/** Slots of one pool. */
struct SlotGauges {
    std::int64_t total = 0;
    std::int64_t online = 0;
    std::int64_t batch = 0;

    bool operator==(const SlotGauges &) const = default;
};

/** Messages between hosts since the start. */
struct ControlTotals {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;

    bool operator==(const ControlTotals &) const = default;
};

/** Calls to the store since the start. */
struct StoreTotals {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t unanswered = 0;

    bool operator==(const StoreTotals &) const = default;
};

/**
 * Metrics of one host in the Prometheus text format; all names begin with bergamotramp_. Thread-safe.
 * Services are names from the catalogue, never texts from callers, so that the number of time series stays small.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** Counts a request and observes its latency from acceptance to its last byte. */
    void requestEnded(const std::string &service, wire::WorkClass workClass, RequestEnding ending, absl::Duration latency);
    void firstToken(const std::string &service, wire::WorkClass workClass, absl::Duration latency);
    void betweenTokens(const std::string &service, wire::WorkClass workClass, absl::Duration latency);
    /** Time from asking for a slot to its grant. */
    void slotWait(const std::string &service, wire::WorkClass workClass, absl::Duration wait);
    void preempted(const std::string &service);
    void retried(const std::string &service);
    void hedged(const std::string &service);

    void setSlots(const std::string &service, const SlotGauges &slots);
    void setQueue(const std::string &service, wire::WorkClass workClass, std::int64_t length);
    void setMembers(wire::MemberState state, std::int64_t count);
    void setGeneration(std::uint64_t generation);
    /** Totals that are less than before are ignored. */
    void setControl(const ControlTotals &totals);
    void setStore(const StoreTotals &totals);

    /** All metrics in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    class Families;

    std::unique_ptr<Families> families;
};

} // namespace Bergamotramp
