#include "ApiKeyTable.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

// Guards against a key that gives the rights of another organisation, and against a prefix or extension of a key that gives any.
TEST(ApiKeyTableTest, onlyAWholeKeyFindsItsOrganisation)
{
    ApiKeyTable table;
    const auto first = table.addOrganisation({.name = "first"});
    const auto second = table.addOrganisation({.name = "second"});
    EXPECT_EQ(table.addKey(*first, "key-1"), ApiKeyTable::KeyResult::Added);
    EXPECT_EQ(table.addKey(*second, "key-2"), ApiKeyTable::KeyResult::Added);
    EXPECT_EQ(table.findByKey("key-1")->name, "first");
    EXPECT_EQ(table.findByKey("key-2")->name, "second");
    for (const std::string &other : {std::string("key-"), std::string("key-11"), std::string("KEY-1"), std::string(), std::string("key-1\0", 6)}) {
        EXPECT_EQ(table.findByKey(other), nullptr);
    }
}

// Guards against two organisations that share a key or a name, so that it is left to chance whose request it is.
TEST(ApiKeyTableTest, aKeyAndANameBelongToOneOrganisation)
{
    ApiKeyTable table;
    const auto first = table.addOrganisation({.name = "first"});
    EXPECT_EQ(table.addOrganisation({.name = "first"}), std::nullopt);
    const auto second = table.addOrganisation({.name = "second"});
    table.addKey(*first, "key");
    EXPECT_EQ(table.addKey(*first, "key"), ApiKeyTable::KeyResult::Repeated);
    EXPECT_EQ(table.addKey(*second, "key"), ApiKeyTable::KeyResult::Conflict);
    EXPECT_EQ(table.findByKey("key")->name, "first");
    EXPECT_EQ(table.keyCount(), 1U);
}

} // namespace

} // namespace Bergamotramp
