#include "StandinStore.h"

#include <chrono>
#include <stdexcept>

namespace Bergamotramp {

namespace {

// Bounds the response to a listing with values: a page ends with the first object that takes it over this size.
constexpr std::size_t maxPageBytes = 8 * 1024 * 1024;

std::string readBytes(std::istream &stream, std::size_t size)
{
    std::string bytes(size, '\0');
    stream.read(bytes.data(), static_cast<std::streamsize>(size));
    return bytes;
}

} // namespace

StandinStore::StandinStore(const std::string &file)
{
    if (file.empty()) {
        return;
    }
    this->load(file);
    this->changeLog.open(file, std::ios::binary | std::ios::app);
    if (!this->changeLog) {
        throw std::runtime_error(file + ": cannot open the file for writing");
    }
}

std::optional<StoredObject> StandinStore::get(const std::string &key)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->entries.find(key);
    if (found == this->entries.end() || !found->second.value) {
        return std::nullopt;
    }
    return StoredObject{key, *found->second.value, found->second.version};
}

WriteResult StandinStore::put(const std::string &key, const std::string &value, Precondition precondition)
{
    return this->write(key, value, precondition);
}

WriteResult StandinStore::remove(const std::string &key, Precondition precondition)
{
    return this->write(key, std::nullopt, precondition);
}

WriteResult StandinStore::write(const std::string &key, std::optional<std::string> value, Precondition precondition)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->entries.find(key);
    const bool present = found != this->entries.end() && found->second.value.has_value();
    const bool preconditionHolds = precondition.kind == Precondition::Kind::None || (precondition.kind == Precondition::Kind::Absent && !present)
                                   || (precondition.kind == Precondition::Kind::Version && present && found->second.version == precondition.version);
    if (!preconditionHolds) {
        return {WriteOutcome::Conflict, 0};
    }
    Entry &entry = this->entries[key];
    entry.value = std::move(value);
    ++entry.version;
    entry.revision = ++this->revision;
    this->appendToLog(key, entry);
    for (Waiter &waiter : this->waiters) {
        if (key.starts_with(waiter.prefix)) {
            waiter.notified = true;
            waiter.wake.notify_one();
        }
    }
    return {WriteOutcome::Applied, entry.version};
}

ListPage StandinStore::list(const std::string &prefix, const std::string &after, std::size_t limit, bool withValues)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    ListPage page;
    page.revision = this->revision;
    std::size_t bytes = 0;
    auto position = after < prefix ? this->entries.lower_bound(prefix) : this->entries.upper_bound(after);
    for (; position != this->entries.end() && position->first.starts_with(prefix); ++position) {
        const Entry &entry = position->second;
        if (!entry.value) {
            continue;
        }
        if (page.objects.size() == limit || bytes > maxPageBytes) {
            page.complete = false;
            break;
        }
        page.objects.push_back({position->first, withValues ? *entry.value : std::string(), entry.version});
        bytes += position->first.size() + (withValues ? entry.value->size() : 0);
    }
    return page;
}

WatchResult StandinStore::watch(const std::string &prefix, std::uint64_t since, absl::Duration wait)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    std::vector<std::string> keys = this->changedKeys(prefix, since);
    if (keys.empty() && !this->closed && wait > absl::ZeroDuration()) {
        const auto waiter = this->waiters.emplace(this->waiters.end());
        waiter->prefix = prefix;
        waiter->wake.wait_for(lock, absl::ToChronoMilliseconds(wait), [&waiter] { return waiter->notified; });
        this->waiters.erase(waiter);
        keys = this->changedKeys(prefix, since);
    }
    return {std::move(keys), this->revision};
}

void StandinStore::endWatches()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (Waiter &waiter : this->waiters) {
        waiter.notified = true;
        waiter.wake.notify_one();
    }
}

void StandinStore::close()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->closed = true;
    }
    this->endWatches();
}

std::size_t StandinStore::waitingWatches()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->waiters.size();
}

std::vector<std::string> StandinStore::changedKeys(const std::string &prefix, std::uint64_t since) const
{
    std::vector<std::string> keys;
    if (since >= this->revision) {
        return keys;
    }
    for (auto position = this->entries.lower_bound(prefix); position != this->entries.end() && position->first.starts_with(prefix); ++position) {
        if (position->second.revision > since) {
            keys.push_back(position->first);
        }
    }
    return keys;
}

// A record is a line "VERSION REVISION KEY-SIZE VALUE-SIZE", followed by the key and the value. A value size of -1 marks a removed object.
void StandinStore::appendToLog(const std::string &key, const Entry &entry)
{
    if (!this->changeLog.is_open()) {
        return;
    }
    this->changeLog << entry.version << ' ' << entry.revision << ' ' << key.size() << ' '
                    << (entry.value ? static_cast<std::int64_t>(entry.value->size()) : std::int64_t{-1}) << '\n'
                    << key << entry.value.value_or("");
    this->changeLog.flush();
}

void StandinStore::load(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    Entry entry;
    std::size_t keySize = 0;
    std::int64_t valueSize = 0;
    while (stream >> entry.version >> entry.revision >> keySize >> valueSize) {
        stream.get();
        const std::string key = readBytes(stream, keySize);
        entry.value = valueSize < 0 ? std::nullopt : std::optional<std::string>(readBytes(stream, static_cast<std::size_t>(valueSize)));
        // The record is incomplete: the process ended while it wrote it, so the write was never acknowledged.
        if (!stream) {
            break;
        }
        this->entries[key] = entry;
        this->revision = entry.revision;
    }
}

} // namespace Bergamotramp
