#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "StoreTypes.h"

namespace Bergamotramp {

/** An in-memory store. The test chooses the faults. Writes without a response and deletions may take effect at any later time. */
class SimulatedStore
{
public:
    static constexpr int noFault = 99;

    std::optional<StoredObject> get(const std::string &key) const
    {
        const auto found = this->objects.find(key);
        return found == this->objects.end() ? std::nullopt : std::optional(found->second);
    }

    /** Faults: 0 unavailable, 1 applied without a response, 2 applied later without a response, 3 lost without a response, otherwise none. */
    WriteResult put(const std::string &key, const std::string &value, Precondition precondition, int fault)
    {
        switch (fault) {
        case 0:
            return {WriteOutcome::Unavailable, 0};
        case 1:
            this->apply(key, value, precondition);
            return {WriteOutcome::Unanswered, 0};
        case 2:
            this->delayed.push_back({key, value, precondition, false});
            return {WriteOutcome::Unanswered, 0};
        case 3:
            return {WriteOutcome::Unanswered, 0};
        default:
            return this->apply(key, value, precondition);
        }
    }

    void remove(const std::string &key)
    {
        this->objects.erase(key);
    }
    void removeDelayed(const std::string &key)
    {
        this->delayed.push_back({key, "", Precondition::none(), true});
    }
    /** Applies one of the delayed writes and deletions. */
    void applyDelayedCall(std::size_t choice)
    {
        if (this->delayed.empty()) {
            return;
        }
        const auto position = this->delayed.begin() + static_cast<std::ptrdiff_t>(choice % this->delayed.size());
        const DelayedCall call = *position;
        this->delayed.erase(position);
        if (call.removal) {
            this->remove(call.key);
        } else {
            this->apply(call.key, call.value, call.precondition);
        }
    }
    [[nodiscard]] std::size_t size() const
    {
        return this->objects.size();
    }
    [[nodiscard]] const std::map<std::string, StoredObject> &all() const
    {
        return this->objects;
    }

private:
    struct DelayedCall {
        std::string key;
        std::string value;
        Precondition precondition;
        bool removal = false;
    };

    WriteResult apply(const std::string &key, const std::string &value, Precondition precondition)
    {
        const auto found = this->objects.find(key);
        const std::uint64_t version = found == this->objects.end() ? 0 : found->second.version;
        const bool holds = precondition.kind == Precondition::Kind::None || (precondition.kind == Precondition::Kind::Absent && version == 0)
                           || (precondition.kind == Precondition::Kind::Version && version == precondition.version && version != 0);
        if (!holds) {
            return {WriteOutcome::Conflict, 0};
        }
        this->objects[key] = {key, value, ++this->lastVersion};
        return {WriteOutcome::Applied, this->lastVersion};
    }

    std::map<std::string, StoredObject> objects;
    std::vector<DelayedCall> delayed;
    std::uint64_t lastVersion = 0;
};

} // namespace Bergamotramp
