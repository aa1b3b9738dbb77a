#include "RendezvousHash.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

namespace {

constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;

// With FNV-1a alone, short keys have similar high bits, which skews the choice of the maximum. This mixes all bits.
std::uint64_t mixBits(std::uint64_t hash)
{
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33U;
    return hash;
}

/** Whether @p left comes before @p right in the order for the key with this hash. */
bool precedes(std::uint64_t seed, std::string_view left, std::string_view right)
{
    const std::uint64_t leftScore = stableHash(seed, left);
    const std::uint64_t rightScore = stableHash(seed, right);
    return leftScore != rightScore ? leftScore > rightScore : left < right;
}

} // namespace

// absl::Hash is seeded per process, so it can't be used for decisions that all hosts have to make alike.
std::uint64_t stableHash(std::string_view bytes)
{
    return stableHash(fnvOffset, bytes);
}

std::uint64_t stableHash(std::uint64_t seed, std::string_view bytes)
{
    std::uint64_t hash = seed;
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= fnvPrime;
    }
    return mixBits(hash);
}

std::string rendezvousPick(std::string_view key, const std::vector<std::string> &members)
{
    const std::uint64_t seed = stableHash(key);
    std::string best;
    std::uint64_t bestScore = 0;
    for (const std::string &member : members) {
        const std::uint64_t score = stableHash(seed, member);
        if (best.empty() || score > bestScore || (score == bestScore && member < best)) {
            best = member;
            bestScore = score;
        }
    }
    return best;
}

std::size_t rendezvousRank(std::string_view key, const std::vector<std::string> &members, std::string_view member)
{
    const std::uint64_t seed = stableHash(key);
    return static_cast<std::size_t>(std::ranges::count_if(members, [seed, member](const std::string &other) { return precedes(seed, other, member); }));
}

std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> members)
{
    const std::uint64_t seed = stableHash(key);
    std::ranges::sort(members, [seed](const std::string &left, const std::string &right) { return precedes(seed, left, right); });
    return members;
}

std::vector<std::string> rendezvousFirst(std::string_view key, const std::vector<std::string> &members, std::size_t count)
{
    const std::uint64_t seed = stableHash(key);
    std::vector<std::pair<std::uint64_t, const std::string *>> scores;
    scores.reserve(members.size());
    for (const std::string &member : members) {
        scores.emplace_back(stableHash(seed, member), &member);
    }
    const auto precedesScore = [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    };
    const std::size_t wanted = std::min(count, scores.size());
    std::ranges::partial_sort(scores, scores.begin() + static_cast<std::ptrdiff_t>(wanted), precedesScore);
    std::vector<std::string> result;
    for (std::size_t position = 0; position < wanted; ++position) {
        result.push_back(*scores[position].second);
    }
    return result;
}

} // namespace Bergamotramp
