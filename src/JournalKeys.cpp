#include "JournalKeys.h"

#include <absl/strings/str_cat.h>

namespace Bergamotramp {

JournalKeys::JournalKeys(std::uint32_t shard) : prefix(absl::StrCat("journal/", shard, "/"))
{
}

std::string JournalKeys::object(std::uint64_t number) const
{
    return absl::StrCat(this->prefix, absl::Dec(number, absl::kZeroPad20));
}

std::string JournalKeys::root() const
{
    return absl::StrCat(this->prefix, "snapshot");
}

std::string JournalKeys::part(std::uint64_t snapshotNumber, std::size_t part) const
{
    return absl::StrCat(this->prefix, "snapshot-parts/", snapshotNumber, "/", part);
}

} // namespace Bergamotramp
