#pragma once

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "StoreTypes.h"

namespace Bergamotramp {

/** Key-value store of the platform's stand-in, with a version per object, a revision of the store, conditional writes, listings and watches. Thread-safe. */
class StandinStore
{
public:
    /**
     * Loads the objects from @p file, if it exists, and appends each change to it. An empty name keeps the objects in
     * memory only. Throws std::runtime_error when the file can't be opened for writing.
     */
    explicit StandinStore(const std::string &file);

    std::optional<StoredObject> get(const std::string &key);
    /** Writes the object if the precondition holds; the outcome is Applied or Conflict. */
    WriteResult put(const std::string &key, const std::string &value, Precondition precondition);
    /** Removes the object if the precondition holds; the outcome is Applied, also for an absent object without a precondition, or Conflict. */
    WriteResult remove(const std::string &key, Precondition precondition);
    ListPage list(const std::string &prefix, const std::string &after, std::size_t limit, bool withValues);
    /** Returns the keys that changed after revision @p since. When there are none, waits up to @p wait for a change. */
    WatchResult watch(const std::string &prefix, std::uint64_t since, absl::Duration wait);
    /** Makes the waiting watches return early, as in an outage. */
    void endWatches();
    /** Makes the waiting watches return; later ones return without waiting. */
    void close();
    [[nodiscard]] std::size_t waitingWatches();

private:
    /** A removed object stays as an entry without a value, so that its version continues to count and watches report the removal. */
    struct Entry {
        std::optional<std::string> value;
        std::uint64_t version = 0;
        std::uint64_t revision = 0;
    };
    struct Waiter {
        std::string prefix;
        std::condition_variable wake;
        bool notified = false;
    };

    WriteResult write(const std::string &key, std::optional<std::string> value, Precondition precondition);
    std::vector<std::string> changedKeys(const std::string &prefix, std::uint64_t since) const;
    void load(const std::string &file);
    void appendToLog(const std::string &key, const Entry &entry);

    std::mutex mutex;
    std::map<std::string, Entry> entries;
    std::list<Waiter> waiters;
    std::uint64_t revision = 0;
    bool closed = false;
    std::ofstream changeLog;
};

} // namespace Bergamotramp
