#pragma once

#include <functional>
#include <string>

#include "LoadPlan.h"
#include "LoadRecord.h"
#include "UpstreamClient.h"

namespace Bergamotramp {

/** Returns the completion that a model generates for a prompt and a token limit; empty when the program does not know it. */
using ExpectedText = std::function<std::string(const std::string &prompt, std::int64_t maxTokens)>;

/** Sends single requests of a load plan and records their results. Thread-safe. */
class LoadRequestSender
{
public:
    /** @p plan must outlive the object. */
    LoadRequestSender(const LoadPlan &plan, absl::Time start, ExpectedText expectedText);

    /** Sends @p request to @p entry immediately. Times in the record are relative to the intended send time. */
    LoadRecord send(const PlannedRequest &request, const std::string &entry);
    /** The record of a request that was not sent. */
    [[nodiscard]] LoadRecord makeNotSentRecord(const PlannedRequest &request, const std::string &code) const;

private:
    struct ReceivedResponse;

    [[nodiscard]] LoadRecord makeRecord(const PlannedRequest &request) const;
    [[nodiscard]] UpstreamCall buildCall(const PlannedRequest &request) const;
    void recordResult(const PlannedRequest &request, const CallResult &result, const ReceivedResponse &received, LoadRecord &record) const;
    [[nodiscard]] std::string checkResponse(const PlannedRequest &request, const ReceivedResponse &received) const;

    const LoadPlan &plan;
    absl::Time start;
    ExpectedText expectedText;
    UpstreamClient client;
};

} // namespace Bergamotramp
