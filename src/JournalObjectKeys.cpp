#include "JournalObjectKeys.h"

#include <absl/strings/str_cat.h>

namespace Bergamotramp {

JournalObjectKeys::JournalObjectKeys(std::uint32_t shard) : prefix(absl::StrCat("journal/", shard, "/"))
{
}

std::string JournalObjectKeys::object(std::uint64_t number) const
{
    return absl::StrCat(this->prefix, absl::Dec(number, absl::kZeroPad20));
}

std::string JournalObjectKeys::root() const
{
    return absl::StrCat(this->prefix, "snapshot");
}

std::string JournalObjectKeys::part(std::uint64_t snapshotNumber, std::size_t part) const
{
    return absl::StrCat(this->prefix, "snapshot-parts/", snapshotNumber, "/", part);
}

} // namespace Bergamotramp
