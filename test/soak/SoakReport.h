#pragma once

#include <cstdio>
#include <map>
#include <string>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Log and result of one soak: events with their times, counters, and the guarantees that were violated ("broken guarantee" in the output). */
class SoakReport
{
public:
    /** Writes the log to @p file; its times are seconds since @p start. Throws std::runtime_error if the file can't be opened. */
    SoakReport(const std::string &file, absl::Time start);
    ~SoakReport();
    SoakReport(const SoakReport &) = delete;
    SoakReport &operator=(const SoakReport &) = delete;

    void log(const std::string &text);
    /** Records the violation of a guarantee; @p detail names the request, host or job and what was observed. */
    void recordViolation(const std::string &guarantee, const std::string &detail);
    void increment(const std::string &counter);
    [[nodiscard]] int counterValue(const std::string &counter) const;
    [[nodiscard]] bool hasNoViolations() const;
    /** Prints the counters and, for each violated guarantee, the number of violations and the first one. */
    void print() const;

private:
    std::FILE *stream;
    absl::Time start;
    std::map<std::string, int> counters;
    std::map<std::string, std::string> firstViolations;
    std::map<std::string, int> violationCounts;
};

} // namespace Bergamotramp
