#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamotramp {

/** A hash that is the same on every host and in every run. */
std::uint64_t stableHash(std::string_view bytes);

/** The same with an initial value, for example the hash of preceding bytes. */
std::uint64_t stableHash(std::uint64_t seed, std::string_view bytes);

/** The member with the highest score for @p key, or an empty string when there are no members. */
std::string rendezvousPick(std::string_view key, const std::vector<std::string> &members);

/** Number of @p members that come before @p member in the order of rendezvousOrder(). */
std::size_t rendezvousRank(std::string_view key, const std::vector<std::string> &members, std::string_view member);

/** All members in descending order of their score for @p key. */
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> members);

/** The first @p count members of that order, for a small @p count; does not sort all members. */
std::vector<std::string> rendezvousFirst(std::string_view key, const std::vector<std::string> &members, std::size_t count);

} // namespace Bergamotramp
