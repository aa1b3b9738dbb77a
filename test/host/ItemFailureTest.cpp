#include "ItemFailure.h"

#include <gtest/gtest.h>

#include "ModelExchange.h"

namespace Bergamotramp {

namespace {

ItemResult failureOf(int status, const std::string &code)
{
    return itemFailure({status, code, "", RunState::Unknown});
}

// Guards against an accepted item that ends as failed after a few attempts because connections were lost, upstreams were down, or it was
// taken for a request that crashes upstreams.
TEST(ItemFailureTest, failuresOfUpstreamsAndHostsAreNotCounted)
{
    EXPECT_TRUE(failureOf(502, "upstream_failed").interrupted);
    EXPECT_TRUE(failureOf(502, "answer_interrupted").interrupted);
    EXPECT_TRUE(failureOf(503, "upstream_unreachable").interrupted);
    EXPECT_TRUE(failureOf(503, "journal_unavailable").interrupted);
    EXPECT_TRUE(failureOf(409, "request_in_progress").interrupted);
    for (const char *code : {SlotDenialCode::deadline, SlotDenialCode::overloaded, SlotDenialCode::noUpstream, SlotDenialCode::quarantined}) {
        EXPECT_TRUE(itemFailure(denialError("modelo", {code, absl::ZeroDuration()}, true).problem()).interrupted) << code;
    }
}

// Guards against an item that is run for ever although the upstream reports each time that it fails.
TEST(ItemFailureTest, failuresOfTheItemAreCounted)
{
    EXPECT_EQ(failureOf(500, "upstream_error"), (ItemResult{false, true, "", "upstream_error: "}));
    EXPECT_EQ(failureOf(429, "upstream_error"), (ItemResult{false, true, "", "upstream_error: "}));
    EXPECT_EQ(failureOf(502, "bad_upstream_answer"), (ItemResult{false, true, "", "bad_upstream_answer: "}));
    EXPECT_EQ(failureOf(409, "outcome_unknown"), (ItemResult{false, true, "", "outcome_unknown: "}));
    EXPECT_EQ(failureOf(422, "upstream_error"), (ItemResult{false, false, "", "upstream_error: "})) << "no attempt can succeed";
}

} // namespace

} // namespace Bergamotramp
