#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "EventLoop.h"
#include "ObjectStore.h"

namespace Bergamotramp {

/** An object store in memory whose replies a test can lose or hold back. Executes each call at once and replies from the loop. */
class InMemoryObjectStore : public ObjectStore
{
public:
    /** What happens to the replies of calls. */
    enum class Replies {
        Delivered,
        /** The call is executed; the caller learns only that there was no answer. */
        Lost,
        /** The call is executed; its reply comes with releaseReplies(). */
        Held,
    };

    explicit InMemoryObjectStore(EventLoop &loop);

    void create(const std::string &kind, const std::string &name, const nlohmann::json &content, ObjectHandler done) override;
    void get(const std::string &kind, const std::string &name, ObjectHandler done) override;
    void putStatus(const std::string &kind, const std::string &name, std::uint64_t revision, const nlohmann::json &status, ObjectHandler done) override;
    void remove(const std::string &kind, const std::string &name, ObjectHandler done) override;
    void list(const std::string &kind, std::function<void(const ListReply &)> done) override;
    /** Never replies. */
    void watch(const std::string &kind, std::uint64_t revision, absl::Duration wait, std::function<void(const WatchReply &)> done) override;

    void setReplies(Replies newReplies);
    void releaseReplies();
    [[nodiscard]] std::size_t heldReplies() const;
    /** Writes an object as another host does. */
    const ObjectRecord &write(const std::string &kind, const std::string &name, const nlohmann::json &content, const nlohmann::json &status = nullptr);
    [[nodiscard]] bool contains(const std::string &kind, const std::string &name) const;
    [[nodiscard]] const ObjectRecord &object(const std::string &kind, const std::string &name) const;
    /** Number of objects of a kind. */
    [[nodiscard]] std::size_t count(const std::string &kind) const;
    /** When create() last added an object of a kind; infinite past if it never has. */
    [[nodiscard]] absl::Time lastCreated(const std::string &kind) const;

private:
    void reply(const ObjectHandler &done, const ObjectReply &answer);

    EventLoop &loop;
    std::map<std::pair<std::string, std::string>, ObjectRecord> objects;
    std::map<std::string, absl::Time> createdAt;
    std::vector<std::pair<ObjectHandler, ObjectReply>> held;
    Replies replies = Replies::Delivered;
    std::uint64_t revision = 1;
};

} // namespace Bergamotramp
