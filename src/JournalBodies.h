#pragma once

#include <string>
#include <vector>

#include "StoreClient.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** Bodies of recorded results that are too large for the journal's chain, kept as objects of their own. Thread-safe. */
class JournalBodies
{
public:
    explicit JournalBodies(StoreClient *store);

    [[nodiscard]] static bool needsObject(const wire::RecordedResult &result);
    /** Moves the body into objects below @p key; false when the store doesn't take them. Repeatable with the same key. */
    bool store(const std::string &key, wire::RecordedResult &result);
    /** Reads the body back if it is kept apart; false when it can't be read. */
    bool load(wire::RecordedResult &result);
    void remove(const std::string &bodyObject);
    /** Keys of the store objects behind a reference; a key that isn't a reference to a body stands for itself. */
    [[nodiscard]] static std::vector<std::string> objectsOf(const std::string &key);

private:
    StoreClient *client;
};

} // namespace Bergamotramp
