#pragma once

#include <optional>
#include <string>
#include <vector>

#include "StoreClient.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/**
 * Loads recorded results that are no longer in the holder's memory, and stores bodies that are too large for the journal's chain as separate
 * objects. Such a body is split into pieces; a reference to it names their common key prefix and their number. Thread-safe.
 */
class JournalBodies
{
public:
    explicit JournalBodies(StoreClient *store);

    [[nodiscard]] static bool needsObject(const wire::RecordedResult &result);
    /** Moves the body into objects below @p key; returns false when the store doesn't accept them. May be repeated with the same key. */
    bool store(const std::string &key, wire::RecordedResult &result);
    /** Replaces a reference to an object of the chain by the result that it holds for @p key; returns false when it can't be read. */
    bool resolve(const std::string &key, wire::RecordedResult &result);
    /** Resolves the result of @p key and loads its body if that is stored separately; returns false when either can't be read. */
    bool load(const std::string &key, wire::RecordedResult &result);
    void remove(const std::string &bodyObject);
    /** References to separately stored bodies in one object of the chain of journal objects in the store. Throws StoreError. */
    std::vector<std::string> bodyReferencesIn(const std::string &journalObject);
    /** Keys of the objects that hold the pieces of a body; @p key is the reference to it. */
    [[nodiscard]] static std::vector<std::string> pieceKeys(const std::string &key);

private:
    std::optional<wire::JournalObject> readChainObject(const std::string &key);

    StoreClient *storeClient;
};

} // namespace Bergamotramp
