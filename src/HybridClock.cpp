#include "HybridClock.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

constexpr unsigned counterBits = 16;
constexpr std::uint64_t counterMask = 0xffff;
constexpr std::int64_t packedUnitMicroseconds = 64;

} // namespace

std::uint64_t HybridTime::pack() const
{
    // Rounds up, so that an unpacked time is never earlier than the time that was packed.
    const std::int64_t units = (this->wallMicroseconds + packedUnitMicroseconds - 1) / packedUnitMicroseconds;
    return (static_cast<std::uint64_t>(units) << counterBits) | (this->counter & counterMask);
}

HybridTime HybridTime::unpack(std::uint64_t packed)
{
    return {static_cast<std::int64_t>(packed >> counterBits) * packedUnitMicroseconds, static_cast<std::uint32_t>(packed & counterMask)};
}

HybridTime HybridClock::tick(absl::Time now)
{
    const std::int64_t wall = absl::ToUnixMicros(now);
    if (wall > this->last.wallMicroseconds) {
        this->last = {wall, 0};
    } else {
        ++this->last.counter;
    }
    return this->last;
}

HybridTime HybridClock::receive(HybridTime remote, absl::Time now)
{
    this->last = std::max(this->last, remote);
    return this->tick(now);
}

} // namespace Bergamotramp
