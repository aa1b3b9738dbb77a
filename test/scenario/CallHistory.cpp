#include "CallHistory.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

namespace Bergamotramp {

namespace {

constexpr std::size_t maxShownText = 120;

std::string describe(const CallAnswer &answer)
{
    const std::string text = answer.text.size() <= maxShownText ? answer.text : answer.text.substr(0, maxShownText) + "...";
    return absl::StrCat("from ",
                        answer.host,
                        ": status ",
                        answer.status,
                        answer.whole ? " whole" : " not whole",
                        answer.state.empty() ? "" : " state ",
                        answer.state,
                        answer.error.empty() ? "" : " error ",
                        answer.error,
                        text.empty() ? "" : " text ",
                        text);
}

} // namespace

bool Call::completed() const
{
    return !this->answers.empty() && this->answers.back().whole && this->answers.back().status == 200;
}

absl::Duration Call::firstTokenAfter() const
{
    return this->answers.empty() ? absl::InfiniteDuration() : this->answers.back().firstToken - this->answers.front().sent;
}

std::string Call::state() const
{
    return this->answers.empty() ? "" : this->answers.back().state;
}

void CallHistory::note(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->add(text, true);
}

void CallHistory::begin(const Call &call)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->byId[call.id] = call;
    this->add(absl::StrCat("call ", call.id, " begins", call.key.empty() ? "" : ", key ", call.key), false);
}

void CallHistory::answered(const std::string &id, const CallAnswer &answer)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->byId[id].answers.push_back(answer);
    this->add(absl::StrCat("call ", id, " ", describe(answer)), false);
}

void CallHistory::end(const std::string &id)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->byId[id].ended = true;
    this->add(absl::StrCat("call ", id, " ends"), false);
}

std::vector<Call> CallHistory::calls() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<Call> result;
    for (const auto &[id, call] : this->byId) {
        result.push_back(call);
    }
    return result;
}

std::vector<Call> CallHistory::group(const std::string &label) const
{
    std::vector<Call> result = this->calls();
    std::erase_if(result, [&label](const Call &call) { return call.group != label; });
    return result;
}

std::vector<std::string> CallHistory::linesAbout(const std::string &word) const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::string> result;
    for (const Line &line : this->lines) {
        if (line.statement || (!word.empty() && absl::StrCat(line.text, " ").find(absl::StrCat(" ", word, " ")) != std::string::npos)) {
            result.push_back(absl::StrFormat("%9.3f s  %s", absl::ToDoubleSeconds(line.time - this->started), line.text));
        }
    }
    return result;
}

void CallHistory::add(const std::string &text, bool statement)
{
    const absl::Time now = absl::Now();
    this->started = this->lines.empty() ? now : this->started;
    this->lines.push_back({now, text, statement});
}

} // namespace Bergamotramp
