#pragma once

#include <cstddef>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace Bergamotramp {

/**
 * Round-robin over a list of names that is shuffled after each round. Unlike independent random choices, this bounds the
 * time until every member is probed.
 */
class ProbeOrder
{
public:
    /** Adds @p name at a random position. */
    void add(const std::string &name, std::mt19937_64 &random);
    void remove(const std::string &name);
    /** The next name that @p isEligible accepts, or an empty string. */
    std::string next(const std::function<bool(const std::string &)> &isEligible, std::mt19937_64 &random);

private:
    std::vector<std::string> names;
    std::size_t position = 0;
};

} // namespace Bergamotramp
