#include "EntryMetrics.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

// Guards against a number of time series that grows with each organisation that was ever configured.
TEST(EntryMetricsTest, theNumberOfLabelledOrganisationsIsBounded)
{
    EntryMetrics metrics;
    for (std::size_t number = 0; number < EntryMetrics::maxLabelledOrganisations + 3; ++number) {
        metrics.recordRefusal("limit", absl::StrCat("org-", number));
    }
    EXPECT_TRUE(absl::StrContains(metrics.text(), "organisation=\"org-0\""));
    EXPECT_TRUE(absl::StrContains(metrics.text(), "organisation=\"other\"} 3"));
}

} // namespace

} // namespace Bergamotramp
