#pragma once

#include <cstddef>
#include <string>

#include "ModelAnswer.h"

namespace Bergamotramp {

/**
 * Puts one answer together from several attempts at the same request. Each attempt has a position: the characters of the
 * answer that it has sent, or that were sent before it resumed.
 */
class AnswerMerge
{
public:
    enum class Step {
        /** The caller has all of it already. */
        Repeats,
        Extends,
        /** The attempt gives another text than the one that the caller has. */
        Differs,
    };
    struct Piece {
        Step step = Step::Repeats;
        /** Step::Extends: the event to pass on, without the text that the caller has already. */
        std::string event;
    };

    explicit AnswerMerge(ModelInterface kind);

    /** Takes an event of an attempt and advances its position. Throws nlohmann::json::exception when the event can't be read. */
    Piece take(std::size_t &position, const std::string &event);
    /** Whether an attempt at this position has sent all that the caller has. */
    [[nodiscard]] bool caughtUp(std::size_t position) const;
    [[nodiscard]] const ModelAnswer &answer() const;

private:
    ModelInterface kind;
    ModelAnswer forwarded;
};

} // namespace Bergamotramp
