#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "JournalActions.h"
#include "JournalQueue.h"

namespace Bergamotramp {

/** What follows from an answer of the store to an append. */
enum class JournalVerdict {
    /** The object is durable at its number. */
    Durable,
    /** The object was created; the snapshot tells whether its number was covered already. */
    Verify,
    /** Read the object at the append's number, to learn whose it is. */
    ReadBack,
    /** Repeat the write after a pause. */
    RepeatWrite,
    /** Repeat the read after a pause. */
    RepeatRead,
    /** Certainly not written. */
    NotWritten,
    /** Another host has taken the shard over. */
    Lost,
    /** The chain was compacted while it was read: start the takeover again. */
    Reload,
    /** Another object stands at the number of an opening: replay it and go on. */
    Foreign,
};

/** The next object of the chain, and what the answers of the store say about it. */
class JournalAppend
{
public:
    JournalAppend(std::string host, std::uint64_t incarnation);

    void startOpening(absl::Time now);
    /** Starts the last object of a holding: this process appends no more until it opens the shard again. */
    void startClosing(absl::Time now);
    void start(const std::vector<JournalQueued> &records, absl::Time now);
    /** Notes that the write is sent now. */
    void sent();
    [[nodiscard]] JournalVerdict settled(WriteOutcome outcome);
    [[nodiscard]] JournalVerdict readBack(const JournalReadResult &result) const;
    /** Judges by the snapshot's number @p root that was read after the object at @p number was created. */
    [[nodiscard]] JournalVerdict verified(std::uint64_t root, std::uint64_t loadedRoot, std::uint64_t number) const;

    [[nodiscard]] const std::string &bytes() const;
    [[nodiscard]] bool opening() const;
    [[nodiscard]] wire::HostId writer() const;
    /** When the write was sent first. The object did not exist before, whichever attempt created it. */
    [[nodiscard]] absl::Time firstSent() const;

private:
    [[nodiscard]] wire::JournalObject begin(bool opening, absl::Time now);
    [[nodiscard]] JournalVerdict created() const;

    const std::string host;
    const std::uint64_t incarnation;
    std::uint64_t writeNumber = 0;
    std::string text;
    absl::Time sentAt;
    bool isOpening = false;
    /** An attempt got no answer and may still take effect. */
    bool inDoubt = false;
    /** The write was repeated while in doubt. */
    bool repeated = false;
};

} // namespace Bergamotramp
