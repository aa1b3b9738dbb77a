#pragma once

#include <cstddef>
#include <string>

#include "ModelAnswer.h"

namespace Bergamotramp {

/**
 * Merges the event streams of several attempts at the same request into one answer. Each attempt has a position: the number
 * of bytes of the answer's text that it has sent, or that had been sent before it resumed.
 */
class AnswerMerge
{
public:
    enum class Outcome {
        /** The caller already has all of the event's text. */
        Duplicate,
        /** The event extends the text that the caller has. */
        NewText,
        /** The attempt's text differs from the text that the caller has. */
        Mismatch,
    };
    struct Result {
        Outcome outcome = Outcome::Duplicate;
        /** Outcome::NewText: the event to forward, without the text that the caller already has. */
        std::string event;
    };

    explicit AnswerMerge(ModelInterface kind);

    /** Merges an event of an attempt and advances the attempt's position. Throws nlohmann::json::exception when it can't be parsed. */
    Result addEvent(std::size_t &position, const std::string &event);
    /** Whether an attempt at this position has sent all the text that the caller has. */
    [[nodiscard]] bool caughtUp(std::size_t position) const;
    [[nodiscard]] const ModelAnswer &answer() const;

private:
    ModelInterface kind;
    ModelAnswer forwarded;
};

} // namespace Bergamotramp
