#pragma once

#include <string>

#include "Organisation.h"

namespace Bergamotramp {

/** What a caller may do with a job. */
enum class JobAccess {
    Allowed,
    /** The job belongs to an organisation, and the caller has sent no key. */
    KeyRequired,
    /** The job belongs to another organisation, so for this caller it does not exist. */
    Hidden,
};

/** The access of @p caller to a job of @p jobOrganisation, which is empty for a job without an organisation. */
JobAccess jobAccess(const std::string &jobOrganisation, const CallerOrganisation &caller);

/** The organisation that the items of a job state. @p hasOrganisations tells whether the configuration in force has any. */
CallerOrganisation itemOrganisation(const std::string &jobOrganisation, bool hasOrganisations);

} // namespace Bergamotramp
