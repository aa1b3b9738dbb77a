#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** Result of a call to the store, as far as it is known. */
enum class StoreResult {
    Done,
    /** The object to create exists already, or the object has another revision than the call requires. */
    Conflict,
    NotFound,
    /** The call has certainly not been executed. */
    Unavailable,
    /** No answer came. The call may have been executed or may still be. */
    Unanswered,
    /** The store no longer has the history of changes since the revision; the objects have to be listed again. */
    HistoryExpired,
    /** The object exists, but its content does not have the format that this program writes. */
    Malformed,
};

/** Reads a revision; throws nlohmann::json::exception when @p json is not a whole number from 0 on. */
std::uint64_t readRevision(const nlohmann::json &json);

/** One object of the store. */
struct ObjectRecord {
    std::string name;
    std::uint64_t revision = 0;
    nlohmann::json content;
    nlohmann::json status;

    /** The format in which hosts send objects to each other. fromJson() throws nlohmann::json::exception. */
    [[nodiscard]] nlohmann::json toJson() const;
    static ObjectRecord fromJson(const nlohmann::json &json);
    bool operator==(const ObjectRecord &) const = default;
};

/** Answer to a call about one object. After a conflict it can contain the current object. */
struct ObjectReply {
    StoreResult result = StoreResult::Unavailable;
    std::optional<ObjectRecord> object;

    bool operator==(const ObjectReply &) const = default;
};

/** All objects of a kind, at one revision of the store. */
struct ListReply {
    StoreResult result = StoreResult::Unavailable;
    std::vector<ObjectRecord> objects;
    std::uint64_t revision = 0;
    /** When the call to the store began (EventLoop::nowIncludingSuspend()): every write acknowledged before is included. Infinite past if not known. */
    absl::Time includesUntil = absl::InfinitePast();

    bool operator==(const ListReply &) const = default;
};

/** One object that was written or removed. */
struct ObjectChange {
    bool removed = false;
    ObjectRecord object;

    bool operator==(const ObjectChange &) const = default;
};

/** Changes up to a revision of the store. */
struct WatchReply {
    StoreResult result = StoreResult::Unavailable;
    std::vector<ObjectChange> changes;
    std::uint64_t revision = 0;
    /** As in ListReply. */
    absl::Time includesUntil = absl::InfinitePast();

    bool operator==(const WatchReply &) const = default;
};

/** The platform's store of objects, addressed by kind and name, with conditional updates. The event loop calls the reply handlers. */
class ObjectStore
{
public:
    using ObjectHandler = std::function<void(const ObjectReply &)>;

    virtual ~ObjectStore() = default;

    virtual void create(const std::string &kind, const std::string &name, const nlohmann::json &content, ObjectHandler done) = 0;
    virtual void get(const std::string &kind, const std::string &name, ObjectHandler done) = 0;
    /** Replaces the status of the object if it still has @p revision. */
    virtual void putStatus(const std::string &kind, const std::string &name, std::uint64_t revision, const nlohmann::json &status, ObjectHandler done) = 0;
    virtual void remove(const std::string &kind, const std::string &name, ObjectHandler done) = 0;
    virtual void list(const std::string &kind, std::function<void(const ListReply &)> done) = 0;
    /** Replies as soon as there is a change after @p revision, or without changes after @p wait. */
    virtual void watch(const std::string &kind, std::uint64_t revision, absl::Duration wait, std::function<void(const WatchReply &)> done) = 0;
};

} // namespace Bergamotramp
