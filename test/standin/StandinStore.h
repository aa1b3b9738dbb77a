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

/** Objects of the stand-in for the platform's store: versions, conditional updates, listing and watches. Thread-safe. */
class StandinStore
{
public:
    /** Reloads the objects from @p file, if it exists, and appends each change to it. Empty keeps nothing. */
    explicit StandinStore(const std::string &file);

    std::optional<StoredObject> get(const std::string &key);
    /** Applied or Conflict. */
    WriteResult put(const std::string &key, const std::string &value, Precondition precondition);
    /** Applied or Conflict; removing an absent object without a precondition is applied. */
    WriteResult remove(const std::string &key, Precondition precondition);
    ListPage list(const std::string &prefix, const std::string &after, std::size_t limit, bool withValues);
    /** Returns what changed after @p since, at once or within @p wait. */
    WatchResult watch(const std::string &prefix, std::uint64_t since, absl::Duration wait);
    /** Ends the waiting watches early, as an outage does. */
    void endWatches();
    /** Ends the waiting watches and lets no further one wait. */
    void close();
    [[nodiscard]] std::size_t waitingWatches();

private:
    /** A removed object stays as an entry without a value, so that its versions and changes go on. */
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
    std::vector<std::string> changes(const std::string &prefix, std::uint64_t since) const;
    void load(const std::string &file);
    void append(const std::string &key, const Entry &entry);

    std::mutex mutex;
    std::map<std::string, Entry> entries;
    std::list<Waiter> waiters;
    std::uint64_t revision = 0;
    bool closed = false;
    std::ofstream log;
};

} // namespace Bergamotramp
