#include "JournalledRequest.h"

#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

constexpr int statusConflict = 409;
constexpr int statusUnprocessable = 422;
constexpr int statusUnavailable = 503;

CompleteResponse toAnswer(const wire::RecordedResult &result)
{
    return {static_cast<int>(result.status()), result.content_type(), result.body()};
}

[[noreturn]] void throwForState(const wire::JournalBegun &begun)
{
    switch (begun.state()) {
    case wire::JOURNAL_STATE_IN_PROGRESS:
        throw CallerError({statusConflict, "request_in_progress", "an attempt under this key is in progress", RunState::Unknown, absl::Seconds(1)});
    case wire::JOURNAL_STATE_UNKNOWN:
        throw CallerError({statusConflict,
                           "outcome_unknown",
                           "an attempt under this key may have run the request and its outcome was lost; it is not run again",
                           RunState::Unknown});
    case wire::JOURNAL_STATE_CONFLICT:
        throw CallerError({statusUnprocessable, "key_conflict", "the key belongs to a request with another body; this one was not run", RunState::Unknown});
    default:
        break;
    }
    if (begun.never_started()) {
        throw CallerError({statusUnavailable, "journal_unavailable", "the request can't be recorded now", RunState::NotRun, absl::Seconds(2)});
    }
    throw CallerError({statusUnavailable,
                       "journal_unavailable",
                       "the request can't be recorded now; this attempt was not run, earlier ones under its key can't be checked",
                       RunState::Unknown,
                       absl::Seconds(2)});
}

} // namespace

JournalledRequest::JournalledRequest(JournalService &journal, const std::string &organisation, const std::string &service, const std::string &key)
    : journal(journal), key(key.empty() ? "" : scopedKey(organisation, service, key))
{
}

std::string JournalledRequest::scopedKey(const std::string &organisation, const std::string &service, const std::string &key)
{
    // The names of organisations and services contain no slash, so keys of different scopes can't collide.
    return absl::StrCat(organisation, "/", service, "/", key);
}

std::optional<CompleteResponse> JournalledRequest::begin(std::uint64_t fingerprint, bool isIdempotent, absl::Duration timeLeft)
{
    if (this->key.empty()) {
        return std::nullopt;
    }
    this->idempotent = isIdempotent;
    const wire::JournalBegun begun = this->journal.begin(this->key, fingerprint, isIdempotent, timeLeft);
    if (begun.state() == wire::JOURNAL_STATE_NEW) {
        this->attempt = begun.attempt();
        this->earlierAttempts = begun.earlier_attempts();
        return std::nullopt;
    }
    if (begun.state() == wire::JOURNAL_STATE_FINISHED) {
        return toAnswer(begun.result());
    }
    throwForState(begun);
}

CompleteResponse JournalledRequest::finish(const CompleteResponse &answer)
{
    if (this->key.empty()) {
        return answer;
    }
    wire::RecordedResult result;
    result.set_status(static_cast<std::uint32_t>(answer.status));
    result.set_content_type(answer.contentType);
    result.set_body(answer.body);
    const wire::JournalFinished finished = this->journal.finish(this->key, this->attempt, result, false);
    if (finished.state() == wire::JOURNAL_STATE_FINISHED) {
        return toAnswer(finished.result());
    }
    throw CallerError({statusUnavailable,
                       "result_not_recorded",
                       "the request was run but its result can't be recorded yet; ask again under the same key",
                       RunState::Run,
                       absl::Seconds(2)});
}

void JournalledRequest::abandon(RunState state)
{
    if (this->key.empty()) {
        return;
    }
    if (state == RunState::NotRun) {
        this->journal.finish(this->key, this->attempt, wire::RecordedResult(), true);
    } else if (this->idempotent) {
        this->journal.endAttempt(this->key, this->attempt);
    }
}

bool JournalledRequest::earlierAttemptMayHaveRun() const
{
    return this->earlierAttempts;
}

} // namespace Bergamotramp
