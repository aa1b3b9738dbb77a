#pragma once

#include <functional>
#include <string>

#include "LoadPlan.h"
#include "LoadRecord.h"
#include "UpstreamClient.h"

namespace Bergamotramp {

/** Text that a model answers to a prompt and a token limit; empty when unknown. */
using ExpectedText = std::function<std::string(const std::string &prompt, std::int64_t maxTokens)>;

/** Sends single requests of a plan and records what became of them. Thread-safe. */
class LoadCall
{
public:
    /** @p plan outlives the object. */
    LoadCall(const LoadPlan &plan, absl::Time start, ExpectedText expectedText);

    /** Sends @p request to @p entry now; the times of the record count from the intended time. */
    LoadRecord run(const PlannedRequest &request, const std::string &entry);
    /** The record of a request that was not sent. */
    [[nodiscard]] LoadRecord notSent(const PlannedRequest &request, const std::string &code) const;

private:
    struct Progress;

    [[nodiscard]] LoadRecord begin(const PlannedRequest &request) const;
    [[nodiscard]] UpstreamCall callOf(const PlannedRequest &request) const;
    void judge(const PlannedRequest &request, const CallResult &result, const Progress &progress, LoadRecord &record) const;
    [[nodiscard]] std::string problemOfAnswer(const PlannedRequest &request, const Progress &progress) const;

    const LoadPlan &plan;
    absl::Time start;
    ExpectedText expectedText;
    UpstreamClient client;
};

} // namespace Bergamotramp
