#include "JobEntry.h"

namespace Bergamotramp {

const std::string &JobEntry::runner() const
{
    return this->progress.runner.empty() ? this->header.owner : this->progress.runner;
}

} // namespace Bergamotramp
