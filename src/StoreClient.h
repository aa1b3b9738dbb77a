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

/** Thrown when the store can't be reached, refuses a call or sends a malformed response. */
class StoreError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Settings of the connection to the platform's store. */
struct StoreSettings {
    /** "IP:port". */
    std::string address;
    /** Time limit for connecting, and for each read and write. */
    absl::Duration timeout = absl::Seconds(2);
};

/** Calls made since the client was created. */
struct StoreCallCounts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t unanswered = 0;
};

/** An entry of the platform's host list, which lags behind the actual state of the host. */
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

/** Client of the platform's store and host list. Thread-safe. Calls block until the response or a timeout of StoreSettings. */
class StoreClient
{
public:
    explicit StoreClient(StoreSettings settings);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /** Returns nothing when the object does not exist. Throws StoreError when the read fails. */
    std::optional<StoredObject> get(const std::string &key);
    /** Does not throw when the store fails: the outcome says whether the write took effect, as far as that is known. */
    WriteResult put(const std::string &key, const std::string &value, Precondition precondition);
    WriteResult remove(const std::string &key, Precondition precondition);
    /** Lists up to @p limit objects in key order, starting after the key @p after. Values are empty without @p withValues. Throws StoreError. */
    ListPage list(const std::string &prefix, const std::string &after, std::size_t limit, bool withValues);
    /** Waits up to @p wait for a change after @p revision to a key that starts with @p prefix. Throws StoreError. */
    WatchResult watch(const std::string &prefix, std::uint64_t revision, absl::Duration wait);
    /** Reads the platform's host list. Throws StoreError. */
    std::vector<ListedHost> hosts();

    [[nodiscard]] StoreCallCounts callCounts() const;

private:
    class PooledConnection;

    /** Description of a call for error messages. */
    [[nodiscard]] std::string describeCall(const std::string &verb, const std::string &object) const;
    std::unique_ptr<httplib::Client> acquire();
    void release(std::unique_ptr<httplib::Client> client);

    StoreSettings settings;
    std::mutex mutex;
    std::vector<std::unique_ptr<httplib::Client>> idleConnections;
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> unanswered{0};
};

} // namespace Bergamotramp
