#include "ScenarioScript.h"

#include <algorithm>
#include <sstream>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

/** Splits a line into words; @p quotesClosed becomes false when a double quote is not closed. */
std::vector<std::string> splitWords(const std::string &line, bool &quotesClosed)
{
    std::vector<std::string> words;
    std::string word;
    bool quoted = false;
    bool inWord = false;
    for (const char character : line) {
        if (character == '"') {
            quoted = !quoted;
            inWord = true;
        } else if (!quoted && character == '#') {
            break;
        } else if (!quoted && (character == ' ' || character == '\t')) {
            if (inWord) {
                words.push_back(std::exchange(word, ""));
            }
            inWord = false;
        } else {
            word += character;
            inWord = true;
        }
    }
    if (inWord) {
        words.push_back(word);
    }
    quotesClosed = !quoted;
    return words;
}

std::string textAfterVerb(const std::vector<std::string> &words)
{
    std::string text;
    for (std::size_t index = 1; index < words.size(); ++index) {
        absl::StrAppend(&text, index == 1 ? "" : " ", words[index]);
    }
    return text;
}

Statement parseStatement(const std::vector<std::string> &words, int line)
{
    Statement statement;
    statement.line = line;
    statement.verb = words[0];
    statement.text = textAfterVerb(words);
    for (std::size_t index = 1; index < words.size(); ++index) {
        const std::size_t equals = words[index].find('=');
        if (words[index] == "as" && index + 1 < words.size()) {
            statement.label = words[++index];
        } else if (equals != std::string::npos && equals > 0) {
            statement.options[words[index].substr(0, equals)] = words[index].substr(equals + 1);
        } else {
            statement.words.push_back(words[index]);
        }
    }
    return statement;
}

} // namespace

const std::string &Statement::word(std::size_t index) const
{
    if (index >= this->words.size()) {
        throw ScenarioError(absl::StrCat(this->verb, " needs at least ", index + 1, " words"));
    }
    return this->words[index];
}

std::string Statement::option(const std::string &key, const std::string &fallback) const
{
    const auto found = this->options.find(key);
    return found == this->options.end() ? fallback : found->second;
}

std::int64_t Statement::number(const std::string &key, std::int64_t fallback) const
{
    const auto found = this->options.find(key);
    std::int64_t value = fallback;
    if (found != this->options.end() && !absl::SimpleAtoi(found->second, &value)) {
        throw ScenarioError(absl::StrCat(key, " needs an integer"));
    }
    return value;
}

bool Statement::flag(const std::string &key) const
{
    return std::find(this->words.begin(), this->words.end(), key) != this->words.end() || this->option(key, "") == "yes";
}

std::vector<Statement> parseScenario(const std::string &file, std::string_view text)
{
    std::vector<Statement> statements;
    std::istringstream stream{std::string(text)};
    int number = 0;
    for (std::string line; std::getline(stream, line);) {
        ++number;
        bool quotesClosed = true;
        const std::vector<std::string> words = splitWords(line, quotesClosed);
        if (!quotesClosed) {
            throw ScenarioError(absl::StrCat(file, ":", number, ": a double quote is not closed"));
        }
        if (!words.empty()) {
            statements.push_back(parseStatement(words, number));
        }
    }
    return statements;
}

std::vector<std::string> splitList(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

} // namespace Bergamotramp
