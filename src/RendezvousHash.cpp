#include "RendezvousHash.h"

#include <algorithm>

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

std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> members)
{
    const std::uint64_t seed = stableHash(key);
    std::sort(members.begin(), members.end(), [seed](const std::string &left, const std::string &right) {
        const std::uint64_t leftScore = stableHash(seed, left);
        const std::uint64_t rightScore = stableHash(seed, right);
        return leftScore != rightScore ? leftScore > rightScore : left < right;
    });
    return members;
}

} // namespace Bergamotramp
