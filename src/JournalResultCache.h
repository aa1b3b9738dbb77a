#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** Results of the keys that finished last, up to a limit in bytes. The oldest are evicted first. */
class JournalResultCache
{
public:
    void setLimit(std::size_t bytes);
    void put(const std::string &key, const wire::RecordedResult &result);
    /** Returns nullptr when the result isn't cached. */
    [[nodiscard]] const wire::RecordedResult *find(const std::string &key) const;
    void erase(const std::string &key);
    [[nodiscard]] std::size_t bytes() const;
    void clear();

private:
    static std::size_t entryBytes(const std::string &key, const wire::RecordedResult &result);
    void evictOldest();

    std::size_t limit = 0;
    std::size_t usedBytes = 0;
    absl::flat_hash_map<std::string, wire::RecordedResult> results;
    /** Keys by age, oldest first. A key that was erased stays until it is the oldest. */
    std::deque<std::string> keysByAge;
};

} // namespace Bergamotramp
