#include "EntryMetrics.h"

#include <set>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Bergamotramp {

namespace {

// Seconds. The latency objectives for the first event lie between 0.15 and 1.2 s.
const prometheus::Histogram::BucketBoundaries latencySeconds{0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.5, 5, 10};

} // namespace

class EntryMetrics::Families
{
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &responses =
        prometheus::BuildCounter().Name("bergamotramp_answers_total").Help("Answers to callers by route and status.").Register(registry);
    prometheus::Family<prometheus::Histogram> &latency =
        prometheus::BuildHistogram().Name("bergamotramp_answer_seconds").Help("Time from the request to the end of its answer.").Register(registry);
    prometheus::Family<prometheus::Histogram> &firstEvents =
        prometheus::BuildHistogram().Name("bergamotramp_first_event_seconds").Help("Time from the request to the first event.").Register(registry);
    prometheus::Family<prometheus::Counter> &attempts =
        prometheus::BuildCounter().Name("bergamotramp_attempts_total").Help("Requests sent to upstreams by service and end.").Register(registry);
    prometheus::Family<prometheus::Counter> &preemptions =
        prometheus::BuildCounter().Name("bergamotramp_batch_yields_total").Help("Batch requests taken away for online requests.").Register(registry);
    prometheus::Family<prometheus::Counter> &items =
        prometheus::BuildCounter().Name("bergamotramp_items_total").Help("Runs of batch items by service and end.").Register(registry);
    prometheus::Family<prometheus::Counter> &storeCalls =
        prometheus::BuildCounter().Name("bergamotramp_store_calls_total").Help("Calls to the store by kind of call and result.").Register(registry);
    prometheus::Family<prometheus::Counter> &leavingUpstreams = prometheus::BuildCounter()
                                                                    .Name("bergamotramp_upstreams_leaving_total")
                                                                    .Help("Upstreams that stated that they leave, by source of the statement.")
                                                                    .Register(registry);
    prometheus::Family<prometheus::Counter> &configQueries = prometheus::BuildCounter()
                                                                 .Name("bergamotramp_config_queries_total")
                                                                 .Help("Queries for the age of the view of the configuration, by whom they went to and result.")
                                                                 .Register(registry);
    prometheus::Family<prometheus::Counter> &rejectedConfigs = prometheus::BuildCounter()
                                                                   .Name("bergamotramp_configs_rejected_total")
                                                                   .Help("Versions of the configuration that were not put in force, by cause.")
                                                                   .Register(registry);
    prometheus::Family<prometheus::Counter> &refusals = prometheus::BuildCounter()
                                                            .Name("bergamotramp_refusals_total")
                                                            .Help("Requests that this host refused as not run, by code and organisation.")
                                                            .Register(registry);
    std::set<std::string> labelledOrganisations;
    prometheus::Family<prometheus::Counter> &hedges =
        prometheus::BuildCounter().Name("bergamotramp_hedges_total").Help("Second attempts beside a running one, by service and event.").Register(registry);
    prometheus::Family<prometheus::Counter> &hedgeRefusals =
        prometheus::BuildCounter().Name("bergamotramp_hedges_refused_total").Help("Slow requests that were not hedged, by cause.").Register(registry);
    prometheus::Family<prometheus::Gauge> &gauges = prometheus::BuildGauge().Name("bergamotramp_state").Help("State of this host by name.").Register(registry);
};

EntryMetrics::EntryMetrics() : families(std::make_unique<Families>())
{
}

EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::recordResponse(const std::string &route, int status, absl::Duration latency)
{
    this->families->responses.Add({{"route", route}, {"status", std::to_string(status)}}).Increment();
    this->families->latency.Add({{"route", route}}, latencySeconds).Observe(absl::ToDoubleSeconds(latency));
}

void EntryMetrics::recordFirstEvent(const std::string &route, absl::Duration latency)
{
    this->families->firstEvents.Add({{"route", route}}, latencySeconds).Observe(absl::ToDoubleSeconds(latency));
}

void EntryMetrics::recordAttempt(const std::string &service, const std::string &outcome)
{
    this->families->attempts.Add({{"service", service}, {"end", outcome}}).Increment();
}

void EntryMetrics::recordBatchPreemption(const std::string &service)
{
    this->families->preemptions.Add({{"service", service}}).Increment();
}

void EntryMetrics::recordItemRun(const std::string &service, const std::string &outcome)
{
    this->families->items.Add({{"service", service}, {"end", outcome}}).Increment();
}

void EntryMetrics::recordStoreCall(const std::string &call, const std::string &result)
{
    this->families->storeCalls.Add({{"call", call}, {"result", result}}).Increment();
}

void EntryMetrics::recordLeavingUpstream(const std::string &source)
{
    this->families->leavingUpstreams.Add({{"source", source}}).Increment();
}

void EntryMetrics::recordConfigQuery(const std::string &queried, const std::string &result)
{
    this->families->configQueries.Add({{"queried", queried}, {"result", result}}).Increment();
}

void EntryMetrics::recordRejectedConfig(const std::string &cause)
{
    this->families->rejectedConfigs.Add({{"cause", cause}}).Increment();
}

void EntryMetrics::recordRefusal(const std::string &code, const std::string &organisation)
{
    std::set<std::string> &labelled = this->families->labelledOrganisations;
    if (!organisation.empty() && labelled.size() < maxLabelledOrganisations) {
        labelled.insert(organisation);
    }
    const bool hasLabel = organisation.empty() || labelled.contains(organisation);
    this->families->refusals.Add({{"code", code}, {"organisation", hasLabel ? organisation : "other"}}).Increment();
}

void EntryMetrics::recordHedge(const std::string &service, const std::string &event)
{
    this->families->hedges.Add({{"service", service}, {"event", event}}).Increment();
}

void EntryMetrics::recordHedgeRefusal(const std::string &service, const std::string &cause)
{
    this->families->hedgeRefusals.Add({{"service", service}, {"cause", cause}}).Increment();
}

void EntryMetrics::setGauge(const std::string &name, double value)
{
    this->families->gauges.Add({{"name", name}}).Set(value);
}

std::string EntryMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->families->registry.Collect());
}

} // namespace Bergamotramp
