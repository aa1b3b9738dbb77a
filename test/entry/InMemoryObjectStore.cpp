#include "InMemoryObjectStore.h"

#include <algorithm>

namespace Bergamotramp {

InMemoryObjectStore::InMemoryObjectStore(EventLoop &loop) : loop(loop)
{
}

void InMemoryObjectStore::create(const std::string &kind, const std::string &name, const nlohmann::json &content, ObjectHandler done)
{
    if (this->contains(kind, name)) {
        this->reply(done, {.result = StoreResult::Conflict, .object = this->object(kind, name)});
    } else {
        this->createdAt[kind] = this->loop.now();
        this->reply(done, {.result = StoreResult::Done, .object = this->write(kind, name, content)});
    }
}

void InMemoryObjectStore::get(const std::string &kind, const std::string &name, ObjectHandler done)
{
    if (this->contains(kind, name)) {
        this->reply(done, {.result = StoreResult::Done, .object = this->object(kind, name)});
    } else {
        this->reply(done, {.result = StoreResult::NotFound, .object = std::nullopt});
    }
}

void InMemoryObjectStore::putStatus(
    const std::string &kind, const std::string &name, std::uint64_t expectedRevision, const nlohmann::json &status, ObjectHandler done)
{
    if (!this->contains(kind, name)) {
        this->reply(done, {.result = StoreResult::NotFound, .object = std::nullopt});
    } else if (this->object(kind, name).revision != expectedRevision) {
        this->reply(done, {.result = StoreResult::Conflict, .object = this->object(kind, name)});
    } else {
        this->reply(done, {.result = StoreResult::Done, .object = this->write(kind, name, this->object(kind, name).content, status)});
    }
}

void InMemoryObjectStore::remove(const std::string &kind, const std::string &name, ObjectHandler done)
{
    this->objects.erase({kind, name});
    this->reply(done, {.result = StoreResult::Done, .object = std::nullopt});
}

void InMemoryObjectStore::list(const std::string &kind, std::function<void(const ListReply &)> done)
{
    ListReply answer{.result = StoreResult::Done, .objects = {}, .revision = this->revision};
    for (const auto &[key, object] : this->objects) {
        if (key.first == kind) {
            answer.objects.push_back(object);
        }
    }
    this->loop.post([answer, done = std::move(done)] { done(answer); });
}

void InMemoryObjectStore::watch(const std::string &, std::uint64_t, absl::Duration, std::function<void(const WatchReply &)>)
{
}

void InMemoryObjectStore::setReplies(Replies newReplies)
{
    this->replies = newReplies;
}

void InMemoryObjectStore::releaseReplies()
{
    const auto released = std::exchange(this->held, {});
    for (const auto &[done, answer] : released) {
        this->loop.post([done = done, answer = answer] { done(answer); });
    }
}

std::size_t InMemoryObjectStore::heldReplies() const
{
    return this->held.size();
}

const ObjectRecord &InMemoryObjectStore::write(const std::string &kind, const std::string &name, const nlohmann::json &content, const nlohmann::json &status)
{
    ObjectRecord &object = this->objects[{kind, name}];
    object = {.name = name, .revision = ++this->revision, .content = content, .status = status};
    return object;
}

bool InMemoryObjectStore::contains(const std::string &kind, const std::string &name) const
{
    return this->objects.contains({kind, name});
}

const ObjectRecord &InMemoryObjectStore::object(const std::string &kind, const std::string &name) const
{
    return this->objects.at({kind, name});
}

std::size_t InMemoryObjectStore::count(const std::string &kind) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->objects, [&kind](const auto &entry) { return entry.first.first == kind; }));
}

absl::Time InMemoryObjectStore::lastCreated(const std::string &kind) const
{
    const auto found = this->createdAt.find(kind);
    return found == this->createdAt.end() ? absl::InfinitePast() : found->second;
}

void InMemoryObjectStore::reply(const ObjectHandler &done, const ObjectReply &answer)
{
    if (this->replies == Replies::Held) {
        this->held.emplace_back(done, answer);
        return;
    }
    const ObjectReply delivered = this->replies == Replies::Lost ? ObjectReply{.result = StoreResult::Unanswered, .object = std::nullopt} : answer;
    this->loop.post([done, delivered] { done(delivered); });
}

} // namespace Bergamotramp
