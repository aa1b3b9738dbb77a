#pragma once

#include <string>
#include <string_view>

namespace Bergamotramp {

/** Digest of a content, 32 hexadecimal digits (128-bit FNV-1a). Recognises equal files; it is no protection against forgery. */
std::string contentDigest(std::string_view content);

} // namespace Bergamotramp
