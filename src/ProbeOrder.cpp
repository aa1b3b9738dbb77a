#include "ProbeOrder.h"

#include <algorithm>

namespace Bergamotramp {

void ProbeOrder::add(const std::string &name, std::mt19937_64 &random)
{
    const std::size_t index = std::uniform_int_distribution<std::size_t>(0, this->names.size())(random);
    this->names.insert(this->names.begin() + static_cast<std::ptrdiff_t>(index), name);
    this->position += index < this->position ? 1 : 0;
}

void ProbeOrder::remove(const std::string &name)
{
    const auto found = std::find(this->names.begin(), this->names.end(), name);
    if (found == this->names.end()) {
        return;
    }
    this->position -= static_cast<std::size_t>(found - this->names.begin()) < this->position ? 1 : 0;
    this->names.erase(found);
}

std::string ProbeOrder::next(const std::function<bool(const std::string &)> &isEligible, std::mt19937_64 &random)
{
    // A shuffle in the middle of the scan may move a name that was not tried yet to the end, so the scan covers two rounds.
    for (std::size_t step = 0; step < 2 * this->names.size(); ++step) {
        if (this->position >= this->names.size()) {
            std::shuffle(this->names.begin(), this->names.end(), random);
            this->position = 0;
        }
        const std::string &name = this->names[this->position++];
        if (isEligible(name)) {
            return name;
        }
    }
    return "";
}

} // namespace Bergamotramp
