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

bool JournalBodies::load(wire::RecordedResult &result)
{
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
