#include "CallHistory.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

namespace Bergamotramp {

namespace {

constexpr std::size_t maxDescribedTextLength = 120;

std::string describe(const CallAttempt &attempt)
{
    const std::string text = attempt.text.size() <= maxDescribedTextLength ? attempt.text : attempt.text.substr(0, maxDescribedTextLength) + "...";
    return absl::StrCat("from ",
                        attempt.host,
                        ": status ",
                        attempt.status,
                        attempt.complete ? " complete" : " incomplete",
                        attempt.executionState.empty() ? "" : " state ",
                        attempt.executionState,
                        attempt.error.empty() ? "" : " error ",
                        attempt.error,
                        text.empty() ? "" : " text ",
                        text);
}

} // namespace

bool Call::completed() const
{
    return !this->attempts.empty() && this->attempts.back().complete && this->attempts.back().status == 200;
}

absl::Duration Call::timeToFirstToken() const
{
    return this->attempts.empty() ? absl::InfiniteDuration() : this->attempts.back().firstToken - this->attempts.front().sent;
}

std::string Call::lastExecutionState() const
{
    return this->attempts.empty() ? "" : this->attempts.back().executionState;
}

void CallHistory::recordEvent(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->add(text, true);
}

void CallHistory::recordStart(const Call &call)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->callsById[call.id] = call;
    this->add(absl::StrCat("call ", call.id, " begins", call.key.empty() ? "" : ", key ", call.key), false);
}

void CallHistory::recordAttempt(const std::string &id, const CallAttempt &attempt)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->callsById[id].attempts.push_back(attempt);
    this->add(absl::StrCat("call ", id, " ", describe(attempt)), false);
}

void CallHistory::recordEnd(const std::string &id)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->callsById[id].ended = true;
    this->add(absl::StrCat("call ", id, " ends"), false);
}

std::vector<Call> CallHistory::calls() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<Call> result;
    for (const auto &[id, call] : this->callsById) {
        result.push_back(call);
    }
    return result;
}

std::vector<Call> CallHistory::callsInGroup(const std::string &label) const
{
    std::vector<Call> result = this->calls();
    std::erase_if(result, [&label](const Call &call) { return call.group != label; });
    return result;
}

std::vector<std::string> CallHistory::linesMentioning(const std::string &word) const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::string> result;
    for (const Line &line : this->lines) {
        if (line.alwaysReported || (!word.empty() && absl::StrCat(line.text, " ").find(absl::StrCat(" ", word, " ")) != std::string::npos)) {
            result.push_back(absl::StrFormat("%9.3f s  %s", absl::ToDoubleSeconds(line.time - this->startTime), line.text));
        }
    }
    return result;
}

void CallHistory::add(const std::string &text, bool alwaysReported)
{
    const absl::Time now = absl::Now();
    this->startTime = this->lines.empty() ? now : this->startTime;
    this->lines.push_back({now, text, alwaysReported});
}

} // namespace Bergamotramp
