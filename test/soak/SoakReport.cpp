#include "SoakReport.h"

#include <iostream>
#include <stdexcept>

#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

namespace Bergamotramp {

SoakReport::SoakReport(const std::string &file, absl::Time start) : stream(std::fopen(file.c_str(), "w")), start(start)
{
    if (this->stream == nullptr) {
        throw std::runtime_error(file + ": cannot be opened for writing");
    }
}

SoakReport::~SoakReport()
{
    std::fclose(this->stream);
}

void SoakReport::log(const std::string &text)
{
    absl::FPrintF(this->stream, "%8.3f %s\n", absl::ToDoubleSeconds(absl::Now() - this->start), text);
    std::fflush(this->stream);
}

void SoakReport::recordViolation(const std::string &guarantee, const std::string &detail)
{
    this->log("BROKEN " + guarantee + ": " + detail);
    this->firstViolations.emplace(guarantee, absl::StrFormat("at %.3f s: %s", absl::ToDoubleSeconds(absl::Now() - this->start), detail));
    ++this->violationCounts[guarantee];
}

void SoakReport::increment(const std::string &counter)
{
    ++this->counters[counter];
}

int SoakReport::counterValue(const std::string &counter) const
{
    const auto found = this->counters.find(counter);
    return found == this->counters.end() ? 0 : found->second;
}

bool SoakReport::hasNoViolations() const
{
    return this->firstViolations.empty();
}

void SoakReport::print() const
{
    for (const auto &[counter, number] : this->counters) {
        std::cout << counter << ": " << number << '\n';
    }
    for (const auto &[guarantee, detail] : this->firstViolations) {
        std::cout << "broken guarantee: " << guarantee << " (" << this->violationCounts.at(guarantee) << " times), first " << detail << '\n';
    }
}

} // namespace Bergamotramp
