#include "SoakReport.h"

#include <iostream>
#include <stdexcept>

#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

namespace Bergamotramp {

SoakReport::SoakReport(const std::string &file, absl::Time start) : stream(std::fopen(file.c_str(), "w")), start(start)
{
    if (this->stream == nullptr) {
        throw std::runtime_error(file + ": cannot be written");
    }
}

SoakReport::~SoakReport()
{
    std::fclose(this->stream);
}

void SoakReport::note(const std::string &text)
{
    absl::FPrintF(this->stream, "%8.3f %s\n", absl::ToDoubleSeconds(absl::Now() - this->start), text);
    std::fflush(this->stream);
}

void SoakReport::broken(const std::string &promise, const std::string &detail)
{
    this->note("BROKEN " + promise + ": " + detail);
    this->firstBroken.emplace(promise, absl::StrFormat("at %.3f s: %s", absl::ToDoubleSeconds(absl::Now() - this->start), detail));
    ++this->brokenCounts[promise];
}

void SoakReport::count(const std::string &what)
{
    ++this->counts[what];
}

int SoakReport::counted(const std::string &what) const
{
    const auto found = this->counts.find(what);
    return found == this->counts.end() ? 0 : found->second;
}

bool SoakReport::clean() const
{
    return this->firstBroken.empty();
}

void SoakReport::print() const
{
    for (const auto &[what, number] : this->counts) {
        std::cout << what << ": " << number << '\n';
    }
    for (const auto &[promise, detail] : this->firstBroken) {
        std::cout << "broken promise: " << promise << " (" << this->brokenCounts.at(promise) << " times), first " << detail << '\n';
    }
}

} // namespace Bergamotramp
