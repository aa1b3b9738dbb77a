#include <absl/strings/str_cat.h>

#include "SiteFleet.h"

namespace Bergamotramp {

namespace {

constexpr int jobCount = 16;
constexpr int itemsInJob = 2;

/** A fleet with hosts in three data centres, large enough for hosts that prefer a successor near the host that was lost. */
class TakeoverTest : public SiteFleet
{
protected:
    TakeoverTest()
    {
        this->writeConfig(1);
        // The jobs are not finished when their host is lost.
        this->addUpstream("model", 10, absl::Milliseconds(100));
        this->addUpstream("model", 10, absl::Milliseconds(100));
        this->startHostsOf("a", 6);
        this->startHostsOf("b", 5);
        this->startHostsOf("c", 2);
        this->waitUntilHostsKnowEachOther();
    }

    void startHostsOf(const std::string &dataCentre, int count)
    {
        for (int number = 1; number <= count; ++number) {
            this->startHost(absl::StrCat(dataCentre, "-", number), "", dataCentre);
        }
    }
};

// Guards against jobs that no host runs after the loss of their host, because a host that has never known it and the others disagree on
// its successor.
TEST_F(TakeoverTest, jobsOfAReplacedHostAreTakenOver)
{
    RunningHost &replaced = *this->hosts.back();
    for (int job = 0; job < jobCount; ++job) {
        ASSERT_EQ(this->submit(replaced, absl::StrCat("job", job), itemsInJob), 202);
    }
    this->crashHost(replaced);
    this->hosts.pop_back();
    this->startHost("c-3", "", "c");
    for (int job = 0; job < jobCount; ++job) {
        ASSERT_EQ(this->readWholeJob(*this->hosts[0], absl::StrCat("job", job), itemsInJob).size(), static_cast<std::size_t>(itemsInJob)) << "job" << job;
    }
}

} // namespace

} // namespace Bergamotramp
