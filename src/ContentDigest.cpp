#include "ContentDigest.h"

#include <cstdint>

#include <absl/numeric/int128.h>
#include <absl/strings/str_format.h>

namespace Bergamotramp {

namespace {

// Parameters of the 128-bit variant of FNV-1a.
constexpr absl::uint128 offsetBasis = absl::MakeUint128(0x6c62272e07bb0142ULL, 0x62b821756295c58dULL);
constexpr absl::uint128 prime = absl::MakeUint128(0x0000000001000000ULL, 0x000000000000013bULL);

} // namespace

std::string contentDigest(std::string_view content)
{
    absl::uint128 hash = offsetBasis;
    for (const char character : content) {
        hash = (hash ^ static_cast<unsigned char>(character)) * prime;
    }
    return absl::StrFormat("%016x%016x", absl::Uint128High64(hash), absl::Uint128Low64(hash));
}

} // namespace Bergamotramp
