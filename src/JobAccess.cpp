#include "JobAccess.h"

namespace Bergamotramp {

JobAccess jobAccess(const std::string &jobOrganisation, const CallerOrganisation &caller)
{
    if (!caller || jobOrganisation.empty() || *caller == jobOrganisation) {
        return JobAccess::Allowed;
    }
    return caller->empty() ? JobAccess::KeyRequired : JobAccess::Hidden;
}

CallerOrganisation itemOrganisation(const std::string &jobOrganisation, bool hasOrganisations)
{
    // The items of a job keep its organisation even if a later configuration has none.
    return jobOrganisation.empty() && !hasOrganisations ? std::nullopt : CallerOrganisation(jobOrganisation);
}

} // namespace Bergamotramp
