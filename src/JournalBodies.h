#pragma once

#include <optional>
#include <string>
#include <vector>

#include "StoreClient.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** Reads recorded results out of the journal's chain, and keeps bodies that are too large for it as objects of their own. Thread-safe. */
class JournalBodies
{
public:
    explicit JournalBodies(StoreClient *store);

    [[nodiscard]] static bool needsObject(const wire::RecordedResult &result);
    /** Moves the body into objects below @p key; false when the store doesn't take them. Repeatable with the same key. */
    bool store(const std::string &key, wire::RecordedResult &result);
    /** Replaces a reference to an object of the chain by the result that stands in it for @p key; false when it can't be read. */
    bool resolve(const std::string &key, wire::RecordedResult &result);
    /** Resolves the result of @p key and reads its body back if it is kept apart; false when it can't be read. */
    bool load(const std::string &key, wire::RecordedResult &result);
    void remove(const std::string &bodyObject);
    /** References to bodies in an object of the chain. Throws StoreError. */
    std::vector<std::string> referencesIn(const std::string &journalObject);
    /** Keys of the store objects behind a reference to a body. */
    [[nodiscard]] static std::vector<std::string> objectsOf(const std::string &key);

private:
    std::optional<wire::JournalObject> chainObject(const std::string &key);

    StoreClient *client;
};

} // namespace Bergamotramp
