#include "PromptPartQuarantine.h"

#include <algorithm>
#include <array>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
constexpr int hostCount = 3;
constexpr int parts = 3;
// Fewer than the crashes that are kept for a part, which are the newest ones only.
constexpr int upstreamStarts = 10;
constexpr int periodMs = 5000;

/** One report, which a host makes and the others may receive in any order and several times. */
struct Step {
    int host = 0;
    int part = 0;
    int upstreamStart = 0;
    int lostMs = 0;
    int ranMs = 0;
    /** Whether the report tells of an answer instead of a crash. */
    bool answer = false;
};

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << "{host " << step.host << ", part " << step.part << ", start " << step.upstreamStart << ", at " << step.lostMs << ", ran " << step.ranMs
                  << (step.answer ? ", answer}" : "}");
}

rc::Gen<std::vector<Step>> steps()
{
    return rc::gen::container<std::vector<Step>>(
        rc::gen::build<Step>(rc::gen::set(&Step::host, rc::gen::inRange(0, hostCount)),
                             rc::gen::set(&Step::part, rc::gen::inRange(1, parts + 1)),
                             rc::gen::set(&Step::upstreamStart, rc::gen::inRange(0, upstreamStarts)),
                             rc::gen::set(&Step::lostMs, rc::gen::inRange(0, periodMs)),
                             rc::gen::set(&Step::ranMs, rc::gen::inRange(0, periodMs / 10)),
                             rc::gen::set(&Step::answer, rc::gen::map(rc::gen::inRange(0, 8), [](int kind) { return kind == 0; }))));
}

PartReport reportOf(const Step &step)
{
    const absl::Time at = start + absl::Milliseconds(step.lostMs);
    PartReport report;
    report.part = static_cast<std::uint64_t>(step.part);
    report.requestedAt = at;
    if (step.answer) {
        report.clearedAt = at;
    } else {
        report.crashes.push_back({.lost = at, .sent = at - absl::Milliseconds(step.ranMs), .upstreamStart = static_cast<std::uint64_t>(step.upstreamStart)});
    }
    return report;
}

/** The most crashes of which each one's request was sent after the one before, found by trying all. */
std::size_t longestChain(const std::vector<PartCrash> &crashes, absl::Time clearedAt, absl::Time previous)
{
    std::size_t longest = 0;
    for (const PartCrash &crash : crashes) {
        if (crash.lost > clearedAt && crash.lost > previous && crash.sent >= previous + PromptPartQuarantine::minCrashDistance) {
            longest = std::max(longest, 1 + longestChain(crashes, clearedAt, crash.lost));
        }
    }
    return longest;
}

// Guards against hosts that count different numbers of crashes from the same announcements, because they arrived in another order or
// more than once, and against crashes at different hosts that do not add up.
TEST(PromptPartQuarantinePropertyTest, orderAndRepetitionOfReportsDoNotMatter)
{
    EXPECT_TRUE(rc::check([] {
        const std::vector<Step> made = *steps();
        const absl::Time end = start + absl::Milliseconds(periodMs);
        std::array<PromptPartQuarantine, hostCount> hosts;
        for (const Step &step : made) {
            hosts.at(static_cast<std::size_t>(step.host)).merge(reportOf(step), end);
        }
        for (PromptPartQuarantine &host : hosts) {
            std::vector<Step> received = made;
            received.insert(received.end(), made.begin(), made.end());
            const auto order = *rc::gen::container<std::vector<std::uint32_t>>(received.size(), rc::gen::arbitrary<std::uint32_t>());
            for (std::size_t index = received.size(); index > 1; --index) {
                std::swap(received[index - 1], received[order[index - 1] % index]);
            }
            for (const Step &step : received) {
                host.merge(reportOf(step), end);
            }
        }
        for (std::uint64_t part = 1; part <= parts; ++part) {
            RC_ASSERT(hosts[1].crashes(part, end) == hosts[0].crashes(part, end));
            RC_ASSERT(hosts[2].crashes(part, end) == hosts[0].crashes(part, end));
            absl::Time clearedAt = absl::InfinitePast();
            for (const Step &step : made) {
                if (step.answer && step.part == static_cast<int>(part)) {
                    clearedAt = std::max(clearedAt, start + absl::Milliseconds(step.lostMs));
                }
            }
            const auto report = hosts[0].report(part);
            RC_ASSERT(hosts[0].crashes(part, end) == (report ? longestChain(report->crashes, clearedAt, absl::InfinitePast()) : 0U));
        }
    }));
}

// Guards against memory that grows with the parts that requests bring, whatever happens to these.
TEST(PromptPartQuarantinePropertyTest, memoryStaysBounded)
{
    EXPECT_TRUE(rc::check([] {
        PromptPartQuarantine quarantine;
        std::uint64_t part = 0;
        absl::Time now = start;
        for (int batch = 0; batch < 4; ++batch) {
            const bool answers = *rc::gen::arbitrary<bool>();
            const int count = *rc::gen::inRange(1, 2000);
            for (int number = 0; number < count; ++number) {
                now += absl::Milliseconds(1);
                ++part;
                if (answers) {
                    quarantine.recordAnswer(part, now);
                } else {
                    quarantine.recordCrash(part, {.lost = now, .sent = now, .upstreamStart = part}, now);
                }
            }
            RC_ASSERT(quarantine.size() <= PromptPartQuarantine::maxParts);
            RC_ASSERT(quarantine.provenCount() <= PromptPartQuarantine::maxProvenParts);
        }
    }));
}

} // namespace

} // namespace Bergamotramp
