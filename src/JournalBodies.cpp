#include "JournalBodies.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

constexpr std::size_t inlineBytes = 256 * 1024;
/** Values are limited to 1 MB. */
constexpr std::size_t pieceBytes = 900'000;
constexpr std::string_view countMark = ".pieces-";

} // namespace

JournalBodies::JournalBodies(StoreClient *store) : client(store)
{
}

bool JournalBodies::needsObject(const wire::RecordedResult &result)
{
    return result.body().size() > inlineBytes;
}

bool JournalBodies::store(const std::string &key, wire::RecordedResult &result)
{
    const std::string &body = result.body();
    const std::size_t count = (body.size() + pieceBytes - 1) / pieceBytes;
    const std::string reference = absl::StrCat(key, std::string(countMark), count);
    const std::vector<std::string> objects = JournalBodies::objectsOf(reference);
    for (std::size_t piece = 0; piece < count; ++piece) {
        const WriteResult written = this->client->put(objects[piece], body.substr(piece * pieceBytes, pieceBytes), Precondition::none());
        if (written.outcome != WriteOutcome::Applied) {
            return false;
        }
    }
    result.set_body_object(reference);
    result.clear_body();
    return true;
}

std::optional<wire::JournalObject> JournalBodies::chainObject(const std::string &key)
{
    const std::optional<StoredObject> stored = this->client->get(key);
    wire::JournalObject object;
    if (!stored.has_value() || !object.ParseFromString(stored->value)) {
        return std::nullopt;
    }
    return object;
}

bool JournalBodies::resolve(const std::string &key, wire::RecordedResult &result)
{
    if (result.journal_object().empty()) {
        return true;
    }
    std::optional<wire::JournalObject> object;
    try {
        object = this->chainObject(result.journal_object());
    } catch (const StoreError &) {
        return false;
    }
    bool found = false;
    for (int entry = 0; object.has_value() && entry < object->entries_size(); ++entry) {
        // The index knows keys by a hash only; the record tells whose result it is.
        if (object->entries(entry).finished() && object->entries(entry).key() == key) {
            result = object->entries(entry).result();
            found = true;
        }
    }
    return found;
}

std::vector<std::string> JournalBodies::referencesIn(const std::string &journalObject)
{
    std::vector<std::string> references;
    const std::optional<wire::JournalObject> object = this->chainObject(journalObject);
    for (int entry = 0; object.has_value() && entry < object->entries_size(); ++entry) {
        const std::string &reference = object->entries(entry).result().body_object();
        if (!reference.empty()) {
            references.push_back(reference);
        }
    }
    return references;
}

bool JournalBodies::load(const std::string &key, wire::RecordedResult &result)
{
    if (!this->resolve(key, result)) {
        return false;
    }
    if (result.body_object().empty()) {
        return true;
    }
    std::string body;
    try {
        for (const std::string &key : JournalBodies::objectsOf(result.body_object())) {
            const std::optional<StoredObject> piece = this->client->get(key);
            if (!piece.has_value()) {
                return false;
            }
            body += piece->value;
        }
    } catch (const StoreError &) {
        return false;
    }
    result.set_body(std::move(body));
    result.clear_body_object();
    return true;
}

void JournalBodies::remove(const std::string &bodyObject)
{
    for (const std::string &key : JournalBodies::objectsOf(bodyObject)) {
        this->client->remove(key, Precondition::none());
    }
}

std::vector<std::string> JournalBodies::objectsOf(const std::string &key)
{
    const std::size_t mark = key.rfind(countMark);
    std::size_t count = 0;
    if (mark == std::string::npos || !absl::SimpleAtoi(key.substr(mark + countMark.size()), &count)) {
        return {key};
    }
    std::vector<std::string> objects;
    for (std::size_t piece = 0; piece < count; ++piece) {
        objects.push_back(absl::StrCat(key.substr(0, mark), "/", piece));
    }
    return objects;
}

} // namespace Bergamotramp
