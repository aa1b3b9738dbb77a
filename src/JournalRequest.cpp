#include "JournalRequest.h"

namespace Bergamotramp {

namespace {

template <typename Message>
Message makeMessage(const JournalDecision &decision, const wire::RecordedResult &result)
{
    Message message;
    message.set_state(decision.state);
    if (decision.state == wire::JOURNAL_STATE_FINISHED) {
        *message.mutable_result() = result;
    }
    return message;
}

} // namespace

const std::string &keyOf(const JournalEvent &event)
{
    if (const auto *intent = std::get_if<JournalIntent>(&event)) {
        return intent->key;
    }
    if (const auto *withdrawal = std::get_if<JournalWithdrawal>(&event)) {
        return withdrawal->key;
    }
    const auto *completion = std::get_if<JournalCompletion>(&event);
    return completion != nullptr ? completion->key : std::get<std::string>(event);
}

JournalAnswer makeAnswer(const JournalEvent &event, const JournalDecision &decision, const wire::RecordedResult &result)
{
    if (std::holds_alternative<JournalIntent>(event)) {
        auto begun = makeMessage<wire::JournalBegun>(decision, result);
        begun.set_attempt(decision.attempt);
        begun.set_earlier_attempts(decision.earlierAttempts);
        return begun;
    }
    if (std::holds_alternative<JournalCompletion>(event) || std::holds_alternative<JournalWithdrawal>(event)) {
        return makeMessage<wire::JournalFinished>(decision, result);
    }
    return makeMessage<wire::JournalRecord>(decision, result);
}

JournalAnswer makeRefusal(const JournalEvent &event, wire::JournalState state)
{
    return makeAnswer(event, {state, 0, std::nullopt}, {});
}

void replaceWithState(JournalAnswer &answer, wire::JournalState state)
{
    std::visit(
        [state](auto &message) {
            message.Clear();
            message.set_state(state);
        },
        answer);
}

bool grantsRun(const JournalAnswer &answer)
{
    const auto *begun = std::get_if<wire::JournalBegun>(&answer);
    return begun != nullptr && begun->state() == wire::JOURNAL_STATE_NEW;
}

} // namespace Bergamotramp
