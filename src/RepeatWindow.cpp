#include "RepeatWindow.h"

namespace Bergamotramp {

std::int64_t RepeatWindow::sliceNumber(absl::Time now)
{
    return absl::ToInt64Milliseconds(now - absl::UnixEpoch()) / (absl::ToInt64Milliseconds(length) / sliceCount);
}

RepeatWindow::Slice &RepeatWindow::sliceAt(absl::Time now)
{
    const std::int64_t number = sliceNumber(now);
    Slice &slice = this->slices.at(static_cast<std::size_t>(number % (sliceCount + 1)));
    if (slice.number != number) {
        slice = {.number = number};
    }
    return slice;
}

void RepeatWindow::addRequest(absl::Time now)
{
    ++this->sliceAt(now).requests;
}

void RepeatWindow::addRepeat(absl::Time now)
{
    ++this->sliceAt(now).repeats;
}

std::uint64_t RepeatWindow::requests(absl::Time now) const
{
    const std::int64_t newest = sliceNumber(now);
    std::uint64_t sum = 0;
    for (const Slice &slice : this->slices) {
        sum += slice.number > newest - sliceCount && slice.number <= newest ? slice.requests : 0;
    }
    return sum;
}

std::uint64_t RepeatWindow::repeats(absl::Time now) const
{
    const std::int64_t newest = sliceNumber(now);
    std::uint64_t sum = 0;
    for (const Slice &slice : this->slices) {
        sum += slice.number >= newest - sliceCount && slice.number <= newest ? slice.repeats : 0;
    }
    return sum;
}

} // namespace Bergamotramp
