#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

namespace Bergamotramp {

/** What wrote the first event of a stream. Only upstreams of the same service and software version may continue it. */
struct StreamOrigin {
    std::string service;
    /** Empty if the registration of the upstream does not tell it; then no other upstream may continue the stream. */
    std::string softwareVersion;

    /** Whether it is known which upstreams may continue the stream. */
    [[nodiscard]] bool isKnown() const;

    bool operator==(const StreamOrigin &) const = default;
};

/** Identifies a stream among the hosts by the id of the caller's attempt that brought its first event. */
std::uint64_t streamKey(std::string_view requestId);

/** The origins of the streams that have begun lately, at this host or at others that told this one. */
class StreamOrigins
{
public:
    /** Longer than the time for which callers keep taking a stream up. */
    static constexpr absl::Duration retention = absl::Seconds(30);
    /** Beyond this number the oldest ones are forgotten. */
    static constexpr std::size_t maxStreams = 100'000;

    /** The first origin of a stream holds; later ones are ignored. */
    void add(std::uint64_t stream, const StreamOrigin &origin, absl::Time now);
    [[nodiscard]] std::optional<StreamOrigin> find(std::uint64_t stream, absl::Time now) const;
    [[nodiscard]] std::size_t size() const;

private:
    struct Entry {
        StreamOrigin origin;
        absl::Time added;
    };

    void expire(absl::Time now);

    absl::flat_hash_map<std::uint64_t, Entry> entries;
    std::deque<std::uint64_t> oldestFirst;
};

} // namespace Bergamotramp
