#include "JournalBodies.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

constexpr std::size_t maxInlineBytes = 256 * 1024;
/** The store limits values to 1 MB. */
constexpr std::size_t maxPieceBytes = 900'000;
constexpr std::string_view pieceCountSeparator = ".pieces-";

} // namespace

JournalBodies::JournalBodies(StoreClient *store) : storeClient(store)
{
}

bool JournalBodies::needsObject(const wire::RecordedResult &result)
{
    return result.body().size() > maxInlineBytes;
}

bool JournalBodies::store(const std::string &key, wire::RecordedResult &result)
{
    const std::string &body = result.body();
    const std::size_t count = (body.size() + maxPieceBytes - 1) / maxPieceBytes;
    const std::string reference = absl::StrCat(key, std::string(pieceCountSeparator), count);
    const std::vector<std::string> objects = JournalBodies::pieceKeys(reference);
    for (std::size_t piece = 0; piece < count; ++piece) {
        const WriteResult written = this->storeClient->put(objects[piece], body.substr(piece * maxPieceBytes, maxPieceBytes), Precondition::none());
        if (written.outcome != WriteOutcome::Applied) {
            return false;
        }
    }
    result.set_body_object(reference);
    result.clear_body();
    return true;
}

std::optional<wire::JournalObject> JournalBodies::readChainObject(const std::string &key)
{
    const std::optional<StoredObject> stored = this->storeClient->get(key);
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
        object = this->readChainObject(result.journal_object());
    } catch (const StoreError &) {
        return false;
    }
    bool found = false;
    for (int entry = 0; object.has_value() && entry < object->entries_size(); ++entry) {
        // The index identifies keys by their hash only; the record holds the key itself.
        if (object->entries(entry).finished() && object->entries(entry).key() == key) {
            result = object->entries(entry).result();
            found = true;
        }
    }
    return found;
}

std::vector<std::string> JournalBodies::bodyReferencesIn(const std::string &journalObject)
{
    std::vector<std::string> references;
    const std::optional<wire::JournalObject> object = this->readChainObject(journalObject);
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
        for (const std::string &pieceKey : JournalBodies::pieceKeys(result.body_object())) {
            const std::optional<StoredObject> piece = this->storeClient->get(pieceKey);
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
    for (const std::string &key : JournalBodies::pieceKeys(bodyObject)) {
        this->storeClient->remove(key, Precondition::none());
    }
}

std::vector<std::string> JournalBodies::pieceKeys(const std::string &key)
{
    const std::size_t separator = key.rfind(pieceCountSeparator);
    std::size_t count = 0;
    if (separator == std::string::npos || !absl::SimpleAtoi(key.substr(separator + pieceCountSeparator.size()), &count)) {
        return {key};
    }
    std::vector<std::string> objects;
    for (std::size_t piece = 0; piece < count; ++piece) {
        objects.push_back(absl::StrCat(key.substr(0, separator), "/", piece));
    }
    return objects;
}

} // namespace Bergamotramp
