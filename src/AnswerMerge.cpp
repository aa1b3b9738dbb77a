#include "AnswerMerge.h"

#include <algorithm>

namespace Bergamotramp {

AnswerMerge::AnswerMerge(ModelInterface kind) : kind(kind), forwarded(kind)
{
}

AnswerMerge::Result AnswerMerge::addEvent(std::size_t &position, const std::string &event)
{
    const std::string text = ModelAnswer::textOf(this->kind, event);
    const std::string &sent = this->forwarded.text();
    if (this->caughtUp(position)) {
        position += text.size();
        this->forwarded.add(event);
        return {Outcome::NewText, event};
    }
    const std::size_t overlap = std::min(text.size(), sent.size() - position);
    if (sent.compare(position, overlap, text, 0, overlap) != 0) {
        return {Outcome::Mismatch, ""};
    }
    position += text.size();
    if (overlap == text.size()) {
        return {Outcome::Duplicate, ""};
    }
    const std::string remainder = ModelAnswer::withText(this->kind, event, text.substr(overlap));
    this->forwarded.add(remainder);
    return {Outcome::NewText, remainder};
}

bool AnswerMerge::caughtUp(std::size_t position) const
{
    return position >= this->forwarded.text().size();
}

const ModelAnswer &AnswerMerge::answer() const
{
    return this->forwarded;
}

} // namespace Bergamotramp
