#include "EntryDirectory.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include "CliError.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration responseTimeout = absl::Seconds(3);
constexpr absl::Duration refreshRetryPeriod = absl::Seconds(1);
constexpr std::int64_t defaultTimeToLiveMs = 15'000;
constexpr int statusOk = 200;

std::vector<std::string> parseEntries(const nlohmann::json &response)
{
    std::vector<std::string> entries;
    for (const nlohmann::json &entry : response.at("entries")) {
        entries.push_back(entry.at("address"));
    }
    return entries;
}

} // namespace

EntryDirectory::EntryDirectory(std::vector<std::string> seeds, absl::Duration connectTimeout) : seeds(std::move(seeds)), client(connectTimeout)
{
}

std::vector<std::string> EntryDirectory::addresses()
{
    if (this->tryBeginRefresh()) {
        this->refresh();
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->entries.empty()) {
        throw CliError(ExitCode::Unreachable, absl::StrCat("none of these entries responds to /v1/entries: ", absl::StrJoin(this->seeds, ", ")));
    }
    return this->entries;
}

// Only one thread refreshes an expired list; the others use it meanwhile. Until the first list is read, every caller tries.
bool EntryDirectory::tryBeginRefresh()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const bool expired = absl::Now() >= this->expiry;
    if (!expired || (this->refreshing && !this->entries.empty())) {
        return false;
    }
    this->refreshing = true;
    return true;
}

void EntryDirectory::refresh()
{
    std::vector<std::string> candidates;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        candidates = this->entries;
    }
    for (const std::string &seed : this->seeds) {
        if (std::find(candidates.begin(), candidates.end(), seed) == candidates.end()) {
            candidates.push_back(seed);
        }
    }
    const bool refreshed = std::any_of(candidates.begin(), candidates.end(), [this](const std::string &host) { return this->refreshFrom(host); });
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->refreshing = false;
    if (!refreshed) {
        this->expiry = absl::Now() + refreshRetryPeriod;
    }
}

bool EntryDirectory::refreshFrom(const std::string &host)
{
    UpstreamCall call;
    call.method = "GET";
    call.path = "/v1/entries";
    call.silenceTimeout = responseTimeout;
    CallCancellation cancellation;
    const CallResult result = this->client.call(host, call, cancellation);
    if (result.outcome != CallOutcome::Completed || result.status != statusOk) {
        return false;
    }
    try {
        const nlohmann::json response = nlohmann::json::parse(result.body);
        std::vector<std::string> listedEntries = parseEntries(response);
        const std::int64_t timeToLive = response.value("ttl_ms", defaultTimeToLiveMs);
        if (listedEntries.empty()) {
            return false;
        }
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->entries = std::move(listedEntries);
        this->expiry = absl::Now() + absl::Milliseconds(timeToLive);
        return true;
    } catch (const nlohmann::json::exception &) {
        return false;
    }
}

} // namespace Bergamotramp
