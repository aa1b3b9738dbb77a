#include "ApiKeyTable.h"

#include <utility>

#include <openssl/sha.h>

namespace Bergamotramp {

std::optional<std::size_t> ApiKeyTable::addOrganisation(Organisation organisation)
{
    const std::size_t position = this->entries.size();
    if (!this->positionByName.emplace(organisation.name, position).second) {
        return std::nullopt;
    }
    this->entries.push_back(std::move(organisation));
    return position;
}

ApiKeyTable::KeyResult ApiKeyTable::addKey(std::size_t organisation, std::string_view key)
{
    const auto [found, added] = this->positionByKey.emplace(digestOf(key), organisation);
    if (added) {
        return KeyResult::Added;
    }
    return found->second == organisation ? KeyResult::Repeated : KeyResult::Conflict;
}

const Organisation *ApiKeyTable::findByKey(std::string_view key) const
{
    const auto found = this->positionByKey.find(digestOf(key));
    return found == this->positionByKey.end() ? nullptr : &this->entries[found->second];
}

const Organisation *ApiKeyTable::findByName(const std::string &name) const
{
    const auto found = this->positionByName.find(name);
    return found == this->positionByName.end() ? nullptr : &this->entries[found->second];
}

const std::vector<Organisation> &ApiKeyTable::organisations() const
{
    return this->entries;
}

std::size_t ApiKeyTable::keyCount() const
{
    return this->positionByKey.size();
}

// The time of comparing digests tells nothing about a key, because a caller can't choose keys whose digests begin alike.
ApiKeyTable::Digest ApiKeyTable::digestOf(std::string_view key)
{
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return digest;
}

} // namespace Bergamotramp
