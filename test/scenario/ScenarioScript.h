#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamotramp {

/** A scenario can't be read or a statement can't be run; the message names the file and the line. */
class ScenarioError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** One line of a scenario: "VERB WORD... KEY=VALUE... as LABEL". */
struct Statement {
    int line = 0;
    std::string verb;
    std::vector<std::string> words;
    std::map<std::string, std::string> options;
    std::string label;
    /** All that follows the verb. */
    std::string text;

    bool operator==(const Statement &) const = default;

    /** Throws ScenarioError. */
    [[nodiscard]] const std::string &word(std::size_t index) const;
    [[nodiscard]] std::string option(const std::string &key, const std::string &fallback) const;
    [[nodiscard]] std::int64_t number(const std::string &key, std::int64_t fallback) const;
    /** Whether a word or "KEY=yes" is given. */
    [[nodiscard]] bool flag(const std::string &key) const;
};

/** "#" starts a comment; double quotes keep spaces. Throws ScenarioError. */
std::vector<Statement> parseScenario(const std::string &file, std::string_view text);

/** Splits at each @p separator, without empty parts. */
std::vector<std::string> splitList(const std::string &text, char separator);

} // namespace Bergamotramp
