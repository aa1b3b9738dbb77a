#pragma once

#include <string>
#include <string_view>

namespace Bergamotramp {

/** 128-bit FNV-1a digest of @p content as 32 hexadecimal digits. Identifies equal files; it is not cryptographically secure. */
std::string contentDigest(std::string_view content);

} // namespace Bergamotramp
