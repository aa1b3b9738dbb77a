#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "StoreTypes.h"

namespace httplib {
class Client;
}

namespace Bergamotramp {

/** The store can't be reached, refused the call or sent an answer that can't be understood. */
class StoreError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Settings of the connection to the platform's store. */
struct StoreSettings {
    /** "IP:port". */
    std::string address;
    absl::Duration timeout = absl::Seconds(2);
};

/** Calls made since the start. */
struct StoreCallCounts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t unanswered = 0;
};

/** A host as the platform's host list shows it; the list lags. */
struct ListedHost {
    std::string name;
    std::string region;
    std::string dataCentre;
    std::string callerAddress;
    std::string peerAddress;
    std::string adminAddress;
    bool leaving = false;

    bool operator==(const ListedHost &) const = default;
};

/** Client of the platform's store and host list. Thread-safe; a call blocks for at most the timeout. */
class StoreClient
{
public:
    explicit StoreClient(StoreSettings settings);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /** Returns nothing when the object is absent; throws StoreError when the store doesn't answer. */
    std::optional<StoredObject> get(const std::string &key);
    /** Never throws for a failing store: the outcome says what is known. */
    WriteResult put(const std::string &key, const std::string &value, Precondition precondition);
    WriteResult remove(const std::string &key, Precondition precondition);
    /** Lists objects by key order. Without @p withValues the values are empty. Throws StoreError. */
    ListPage list(const std::string &prefix, const std::string &after, std::size_t limit, bool withValues);
    /** Waits up to @p wait for a change after @p revision below @p prefix. Throws StoreError. */
    WatchResult watch(const std::string &prefix, std::uint64_t revision, absl::Duration wait);
    /** Throws StoreError. */
    std::vector<ListedHost> hosts();

    [[nodiscard]] StoreCallCounts callCounts() const;

private:
    class PooledConnection;

    /** How errors name a call. */
    [[nodiscard]] std::string callName(const std::string &verb, const std::string &object) const;
    std::unique_ptr<httplib::Client> acquire();
    void giveBack(std::unique_ptr<httplib::Client> client);

    StoreSettings settings;
    std::mutex mutex;
    std::vector<std::unique_ptr<httplib::Client>> idle;
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> unanswered{0};
};

} // namespace Bergamotramp
