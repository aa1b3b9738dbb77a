#include "Metrics.h"

#include <algorithm>
#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "MemberUpdate.h"

namespace Bergamotramp {

namespace {

using Boundaries = prometheus::Histogram::BucketBoundaries;

// Bucket boundaries in seconds. The latency targets are 1.2 s for the first token and 39 ms between tokens, so both are boundaries.
const Boundaries requestSeconds{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300};
const Boundaries firstTokenSeconds{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.4, 5, 10};
const Boundaries betweenTokensSeconds{0.002, 0.005, 0.01, 0.02, 0.039, 0.08, 0.16, 0.5, 2};
const Boundaries slotWaitSeconds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1, 5};

std::string workClassName(wire::WorkClass workClass)
{
    return workClass == wire::WORK_CLASS_BATCH ? "batch" : "online";
}

std::string outcomeName(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Completed:
        return "completed";
    case RequestOutcome::Failed:
        return "failed";
    case RequestOutcome::Cancelled:
        return "cancelled";
    case RequestOutcome::NotRun:
        return "not_run";
    case RequestOutcome::Unknown:
        break;
    }
    return "unknown";
}

prometheus::Labels labelsOf(const std::string &service, wire::WorkClass workClass)
{
    return {{"service", service}, {"class", workClassName(workClass)}};
}

} // namespace

class Metrics::Families
{
public:
    using Counters = prometheus::Family<prometheus::Counter>;
    using Gauges = prometheus::Family<prometheus::Gauge>;
    using Histograms = prometheus::Family<prometheus::Histogram>;

    /** Raises a counter to a total that is counted elsewhere. */
    void raiseTo(prometheus::Counter &counter, std::uint64_t total)
    {
        // Without the lock, two concurrent scrapes would both add the difference.
        const std::lock_guard<std::mutex> lock(this->raiseMutex);
        counter.Increment(std::max(0.0, static_cast<double>(total) - counter.Value()));
    }

    prometheus::Registry registry;
    Counters &requests = this->counters("bergamotramp_requests_total", "Requests by how they ended.");
    Histograms &latency = this->histograms("bergamotramp_request_seconds", "Time from acceptance to the last byte.");
    Histograms &firstToken = this->histograms("bergamotramp_first_token_seconds", "Time from acceptance to the first token.");
    Histograms &betweenTokens = this->histograms("bergamotramp_between_tokens_seconds", "Time between the tokens of a stream.");
    Histograms &slotWait = this->histograms("bergamotramp_slot_wait_seconds", "Time from asking for a slot to its grant.");
    Counters &preemptions = this->counters("bergamotramp_preemptions_total", "Batch grants revoked for online requests.");
    Counters &retries = this->counters("bergamotramp_retries_total", "Repeated attempts after a failure.");
    Counters &hedges = this->counters("bergamotramp_hedges_total", "Second attempts started before the first one failed.");
    Gauges &slots = this->gauges("bergamotramp_slots", "Slots of the pools held here, total and in use.");
    Gauges &queue = this->gauges("bergamotramp_queue_length", "Requests that wait for a slot in the pools held here.");
    Gauges &members = this->gauges("bergamotramp_members", "Hosts by state, as this host sees them.");
    Gauges &generation = this->gauges("bergamotramp_config_generation", "Generation of the configuration in force.");
    Counters &controlBytes = this->counters("bergamotramp_control_bytes_total", "Bytes of messages between hosts.");
    Counters &controlMessages = this->counters("bergamotramp_control_messages_total", "Messages between hosts.");
    Counters &storeCalls = this->counters("bergamotramp_store_calls_total", "Calls to the store.");
    Counters &storeUnanswered = this->counters("bergamotramp_store_unanswered_total", "Writes to the store whose answer was lost.");

private:
    std::mutex raiseMutex;

    Counters &counters(const std::string &name, const std::string &help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(this->registry);
    }
    Gauges &gauges(const std::string &name, const std::string &help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(this->registry);
    }
    Histograms &histograms(const std::string &name, const std::string &help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(this->registry);
    }
};

Metrics::Metrics() : families(std::make_unique<Families>())
{
}

Metrics::~Metrics() = default;

void Metrics::requestEnded(const std::string &service, wire::WorkClass workClass, RequestOutcome outcome, absl::Duration latency)
{
    prometheus::Labels labels = labelsOf(service, workClass);
    this->families->latency.Add(labels, requestSeconds).Observe(absl::ToDoubleSeconds(latency));
    labels["ending"] = outcomeName(outcome);
    this->families->requests.Add(labels).Increment();
}

void Metrics::firstToken(const std::string &service, wire::WorkClass workClass, absl::Duration latency)
{
    this->families->firstToken.Add(labelsOf(service, workClass), firstTokenSeconds).Observe(absl::ToDoubleSeconds(latency));
}

void Metrics::betweenTokens(const std::string &service, wire::WorkClass workClass, absl::Duration latency)
{
    this->families->betweenTokens.Add(labelsOf(service, workClass), betweenTokensSeconds).Observe(absl::ToDoubleSeconds(latency));
}

void Metrics::slotWait(const std::string &service, wire::WorkClass workClass, absl::Duration wait)
{
    this->families->slotWait.Add(labelsOf(service, workClass), slotWaitSeconds).Observe(absl::ToDoubleSeconds(wait));
}

void Metrics::preempted(const std::string &service)
{
    this->families->preemptions.Add({{"service", service}}).Increment();
}

void Metrics::retried(const std::string &service)
{
    this->families->retries.Add({{"service", service}}).Increment();
}

void Metrics::hedged(const std::string &service)
{
    this->families->hedges.Add({{"service", service}}).Increment();
}

void Metrics::setSlots(const std::string &service, const SlotGauges &slots)
{
    this->families->slots.Add({{"service", service}, {"use", "total"}}).Set(static_cast<double>(slots.total));
    this->families->slots.Add({{"service", service}, {"use", "online"}}).Set(static_cast<double>(slots.online));
    this->families->slots.Add({{"service", service}, {"use", "batch"}}).Set(static_cast<double>(slots.batch));
}

void Metrics::setQueue(const std::string &service, wire::WorkClass workClass, std::int64_t length)
{
    this->families->queue.Add(labelsOf(service, workClass)).Set(static_cast<double>(length));
}

void Metrics::setMembers(wire::MemberState state, std::int64_t count)
{
    this->families->members.Add({{"state", memberStateName(state)}}).Set(static_cast<double>(count));
}

void Metrics::setGeneration(std::uint64_t generation)
{
    this->families->generation.Add({}).Set(static_cast<double>(generation));
}

void Metrics::setControlTotals(const ControlMessageTotals &totals)
{
    this->families->raiseTo(this->families->controlMessages.Add({{"direction", "sent"}}), totals.messagesSent);
    this->families->raiseTo(this->families->controlMessages.Add({{"direction", "received"}}), totals.messagesReceived);
    this->families->raiseTo(this->families->controlBytes.Add({{"direction", "sent"}}), totals.bytesSent);
    this->families->raiseTo(this->families->controlBytes.Add({{"direction", "received"}}), totals.bytesReceived);
}

void Metrics::setStoreTotals(const StoreTotals &totals)
{
    this->families->raiseTo(this->families->storeCalls.Add({{"kind", "read"}}), totals.reads);
    this->families->raiseTo(this->families->storeCalls.Add({{"kind", "write"}}), totals.writes);
    this->families->raiseTo(this->families->storeUnanswered.Add({}), totals.unanswered);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->families->registry.Collect());
}

} // namespace Bergamotramp
