#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "StoreTypes.h"

namespace Bergamotramp {

/** The store as a map. Faults are chosen by the caller; writes without an answer and removals may take effect at any later time. */
class SimulatedStore
{
public:
    static constexpr int noFault = 99;

    std::optional<StoredObject> get(const std::string &key) const
    {
        const auto found = this->objects.find(key);
        return found == this->objects.end() ? std::nullopt : std::optional(found->second);
    }

    /** 0: unavailable, 1: applied and unanswered, 2: unanswered and applied later, 3: unanswered and lost, otherwise no fault. */
    WriteResult put(const std::string &key, const std::string &value, Precondition precondition, int fault)
    {
        switch (fault) {
        case 0:
            return {WriteOutcome::Unavailable, 0};
        case 1:
            this->apply(key, value, precondition);
            return {WriteOutcome::Unanswered, 0};
        case 2:
            this->late.push_back({key, value, precondition, false});
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
    void removeLate(const std::string &key)
    {
        this->late.push_back({key, "", Precondition::none(), true});
    }
    /** Takes one of the delayed writes and removals into effect. */
    void settleLate(std::size_t choice)
    {
        if (this->late.empty()) {
            return;
        }
        const auto position = this->late.begin() + static_cast<std::ptrdiff_t>(choice % this->late.size());
        const LateCall call = *position;
        this->late.erase(position);
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
    struct LateCall {
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
    std::vector<LateCall> late;
    std::uint64_t lastVersion = 0;
};

} // namespace Bergamotramp
