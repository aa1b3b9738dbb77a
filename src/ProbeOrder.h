#pragma once

#include <cstddef>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace Bergamotramp {

/**
 * Round-robin over a shuffled list of names that is reshuffled after each round.
 * Bounds the time until every member is probed, unlike independent random picks.
 */
class ProbeOrder
{
public:
    /** Adds @p name at a random position. */
    void add(const std::string &name, std::mt19937_64 &random);
    void remove(const std::string &name);
    /** The next name that @p eligible accepts, or an empty string. */
    std::string next(const std::function<bool(const std::string &)> &eligible, std::mt19937_64 &random);

private:
    std::vector<std::string> names;
    std::size_t position = 0;
};

} // namespace Bergamotramp
