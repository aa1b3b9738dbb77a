#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Counters, gauges and latency histograms of an entry host in the Prometheus text format. Metric names begin with bergamotramp_. */
class EntryMetrics
{
public:
    /** Bounds the number of time series when organisations come and go. */
    static constexpr std::size_t maxLabelledOrganisations = 400;

    EntryMetrics();
    ~EntryMetrics();
    EntryMetrics(const EntryMetrics &) = delete;
    EntryMetrics &operator=(const EntryMetrics &) = delete;

    /** Counts a response by route and status, and records the time since the request was read. */
    void recordResponse(const std::string &route, int status, absl::Duration latency);
    void recordFirstEvent(const std::string &route, absl::Duration latency);
    /** Counts a request to an upstream by service and outcome. */
    void recordAttempt(const std::string &service, const std::string &outcome);
    void recordBatchPreemption(const std::string &service);
    void recordItemRun(const std::string &service, const std::string &outcome);
    void recordStoreCall(const std::string &call, const std::string &result);
    /** Counts an upstream that has stated that it leaves, by what this host learned it from. */
    void recordLeavingUpstream(const std::string &source);
    /** Counts an answer, or its absence, to a query for the age of the view of the configuration. @p queried is "store" or "host". */
    void recordConfigQuery(const std::string &queried, const std::string &result);
    /** Counts a version of the configuration that was not put in force, by cause. */
    void recordRejectedConfig(const std::string &cause);
    /**
     * Counts a request that this host refused as not run, by code and organisation. Organisations beyond
     * maxLabelledOrganisations share one value.
     */
    void recordRefusal(const std::string &code, const std::string &organisation);
    /** Counts what became of a hedge: started, then won, cancelled or failed. */
    void recordHedge(const std::string &service, const std::string &event);
    void recordHedgeRefusal(const std::string &service, const std::string &cause);
    void setGauge(const std::string &name, double value);

    [[nodiscard]] std::string text() const;

private:
    class Families;

    std::unique_ptr<Families> families;
};

} // namespace Bergamotramp
