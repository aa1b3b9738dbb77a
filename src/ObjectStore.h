#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** What is known of a call to the store. */
enum class StoreResult {
    Done,
    /** The object is there already, or has another revision. */
    Conflict,
    Missing,
    /** Certainly not executed. */
    Unavailable,
    /** May have been executed, or may still be. */
    Unanswered,
    /** The changes since the revision are no longer known. */
    HistoryGone,
    /** The object is there, but it is not what this program writes. */
    Unreadable,
};

/** One object of the store. */
struct ObjectRecord {
    std::string name;
    std::uint64_t revision = 0;
    nlohmann::json content;
    nlohmann::json status;

    /** As hosts send it to each other. fromJson() throws nlohmann::json::exception. */
    [[nodiscard]] nlohmann::json toJson() const;
    static ObjectRecord fromJson(const nlohmann::json &json);
    bool operator==(const ObjectRecord &) const = default;
};

/** Answer to a call about one object; after a conflict with the object as it is. */
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

    bool operator==(const ListReply &) const = default;
};

/** One change of a kind. */
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

    bool operator==(const WatchReply &) const = default;
};

/** The platform's store: objects by kind and name with conditional updates. Replies come from the event loop. */
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
    /** Answers as soon as there is a change after @p revision, or empty after @p wait. */
    virtual void watch(const std::string &kind, std::uint64_t revision, absl::Duration wait, std::function<void(const WatchReply &)> done) = 0;
};

} // namespace Bergamotramp
