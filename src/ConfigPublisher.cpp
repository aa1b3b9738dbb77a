#include "ConfigPublisher.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/time/clock.h>
#include <glog/logging.h>

#include "JsonReader.h"
#include "StoreClient.h"

namespace Bergamotramp {

namespace {

using Outcome = ConfigService::PublishResult::Outcome;

constexpr std::size_t maxValueBytes = 1'000'000; // The store limits values to 1 MB.
constexpr int createAttempts = 3;
constexpr absl::Duration firstRetryDelay = absl::Milliseconds(100);
constexpr absl::Duration maxRetryDelay = absl::Seconds(1);

ConfigService::PublishResult conflict(std::uint64_t base, std::uint64_t current)
{
    return {Outcome::Conflict, current, absl::StrCat("the publication is based on generation ", base, ", but generation ", current, " is in force")};
}

ConfigService::PublishResult unavailable(const std::string &problem)
{
    return {Outcome::Unavailable, 0, "nothing was published: " + problem};
}

} // namespace

StoredPointer readConfigPointer(StoreClient &store)
{
    const std::optional<StoredObject> object = store.get(configCurrentKey);
    if (!object) {
        return {};
    }
    try {
        return {ConfigPointer::fromJsonText(object->value), object->version};
    } catch (const JsonError &error) {
        throw StoreError(absl::StrCat(configCurrentKey, ": ", error.what()));
    }
}

ConfigPublisher::ConfigPublisher(StoreClient &store, std::string writer, absl::Duration timeout) : store(store), writer(std::move(writer)), timeout(timeout)
{
}

ConfigService::PublishResult ConfigPublisher::publish(std::uint64_t baseGeneration, const Catalogue &catalogue)
{
    try {
        const std::string text = catalogue.toJsonText();
        if (text.size() > maxValueBytes) {
            return unavailable(absl::StrCat("the catalogue has ", text.size(), " bytes, the limit is ", maxValueBytes));
        }
        // Every host parses this text, so a catalogue that doesn't parse must not be stored.
        Catalogue::fromJsonText(text);
        const StoredPointer current = readConfigPointer(this->store);
        if (current.pointer.generation() != baseGeneration) {
            return conflict(baseGeneration, current.pointer.generation());
        }
        const std::optional<std::string> key = this->createCatalogue(catalogue.generation, text);
        if (!key) {
            return unavailable("the catalogue object could not be created");
        }
        return this->updatePointer(current, {catalogue.generation, *key, this->writer});
    } catch (const StoreError &error) {
        return unavailable(error.what());
    } catch (const JsonError &error) {
        return unavailable(error.what());
    }
}

std::optional<std::string> ConfigPublisher::createCatalogue(std::uint64_t generation, const std::string &text)
{
    const std::string key = absl::StrCat("config/generation/", generation);
    if (this->create(key, text)) {
        return key;
    }
    // The plain key may hold the catalogue of a concurrent publisher, or of one that died before it updated config/current.
    const std::string ownKey = absl::StrCat(key, "-", absl::StrReplaceAll(this->writer, {{"/", "-"}}));
    if (this->create(ownKey, text)) {
        return ownKey;
    }
    return std::nullopt;
}

bool ConfigPublisher::create(const std::string &key, const std::string &text)
{
    for (int attempt = 0; attempt < createAttempts; ++attempt) {
        const WriteResult result = this->store.put(key, text, Precondition::absent());
        if (result.outcome == WriteOutcome::Applied) {
            return true;
        }
        if (result.outcome == WriteOutcome::Conflict) {
            const std::optional<StoredObject> current = this->store.get(key);
            return current && current->value == text;
        }
    }
    return false;
}

ConfigService::PublishResult ConfigPublisher::updatePointer(const StoredPointer &from, const ConfigEntry &entry)
{
    const ConfigPointer next = from.pointer.followedBy(entry);
    const Precondition precondition = from.version == 0 ? Precondition::absent() : Precondition::at(from.version);
    const absl::Time deadline = absl::Now() + this->timeout;
    absl::Duration delay = firstRetryDelay;
    bool answerLost = false;
    while (true) {
        const WriteResult write = this->store.put(configCurrentKey, next.toJsonText(), precondition);
        if (write.outcome == WriteOutcome::Applied) {
            this->removeDroppedCatalogues(from.pointer, next);
            return {Outcome::Accepted, entry.generation, ""};
        }
        if (write.outcome == WriteOutcome::Unavailable && !answerLost) {
            return unavailable("the store refused the update of config/current");
        }
        answerLost = answerLost || write.outcome == WriteOutcome::Unanswered;
        if (write.outcome == WriteOutcome::Conflict) {
            if (const std::optional<Result> resolved = this->resolveOutcome(entry.generation)) {
                return *resolved;
            }
        }
        if (absl::Now() + delay >= deadline) {
            return {Outcome::Unknown, entry.generation, "the store stopped answering; the publication may take effect"};
        }
        absl::SleepFor(delay);
        delay = std::min(delay * 2, maxRetryDelay);
    }
}

std::optional<ConfigService::PublishResult> ConfigPublisher::resolveOutcome(std::uint64_t generation)
{
    try {
        const StoredPointer current = readConfigPointer(this->store);
        const ConfigEntry *entry = current.pointer.find(generation);
        if (entry == nullptr) {
            return Result{Outcome::Unknown, current.pointer.generation(), "the history of config/current no longer covers the publication"};
        }
        if (entry->writer == this->writer) {
            return Result{Outcome::Accepted, generation, ""};
        }
        return conflict(generation - 1, current.pointer.generation());
    } catch (const StoreError &error) {
        LOG(WARNING) << "cannot read yet whether generation " << generation << " was published: " << error.what();
        return std::nullopt;
    }
}

void ConfigPublisher::removeDroppedCatalogues(const ConfigPointer &before, const ConfigPointer &after)
{
    for (const ConfigEntry &entry : before.entries) {
        if (after.find(entry.generation) == nullptr) {
            this->store.remove(entry.key, Precondition::none());
        }
    }
}

} // namespace Bergamotramp
