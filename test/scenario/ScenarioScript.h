#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamotramp {

/** A scenario cannot be read, or one of its statements fails. The message, or the report that contains it, names the file and the line. */
class ScenarioError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** One statement of a scenario, which takes one line: "VERB WORD... KEY=VALUE... as LABEL". */
struct Statement {
    int line = 0;
    std::string verb;
    std::vector<std::string> words;
    std::map<std::string, std::string> options;
    std::string label;
    /** The words after the verb, joined by single spaces. */
    std::string text;

    bool operator==(const Statement &) const = default;

    /** Throws ScenarioError when the statement has no word at @p index. */
    [[nodiscard]] const std::string &word(std::size_t index) const;
    [[nodiscard]] std::string option(const std::string &key, const std::string &fallback) const;
    [[nodiscard]] std::int64_t number(const std::string &key, std::int64_t fallback) const;
    /** Whether the statement has the word @p key or the option "KEY=yes". */
    [[nodiscard]] bool flag(const std::string &key) const;
};

/** Parses a scenario. "#" starts a comment; double quotes keep spaces in a word. Throws ScenarioError for an unclosed quote. */
std::vector<Statement> parseScenario(const std::string &file, std::string_view text);

/** Splits @p text at each @p separator and leaves out empty parts. */
std::vector<std::string> splitList(const std::string &text, char separator);

} // namespace Bergamotramp
