#pragma once

#include <cstdio>
#include <map>
#include <string>

#include <absl/time/time.h>

namespace Bergamotramp {

/** The time line of one soak: what was done, and the promises that were found broken. */
class SoakReport
{
public:
    /** Lines go to @p file. Throws std::runtime_error. */
    SoakReport(const std::string &file, absl::Time start);
    ~SoakReport();
    SoakReport(const SoakReport &) = delete;
    SoakReport &operator=(const SoakReport &) = delete;

    void note(const std::string &text);
    /** Records a broken promise; @p detail names the request and what was seen. */
    void broken(const std::string &promise, const std::string &detail);
    void count(const std::string &what);
    [[nodiscard]] int counted(const std::string &what) const;
    [[nodiscard]] bool clean() const;
    /** Prints the counts and the broken promises. */
    void print() const;

private:
    std::FILE *stream;
    absl::Time start;
    std::map<std::string, int> counts;
    std::map<std::string, std::string> firstBroken;
    std::map<std::string, int> brokenCounts;
};

} // namespace Bergamotramp
