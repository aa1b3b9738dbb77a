#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "JournalActions.h"
#include "JournalQueue.h"

namespace Bergamotramp {

/** What a store response means for an append, or what the shard has to do next. */
enum class JournalAppendOutcome {
    /** The object is durable at its number. */
    Durable,
    /** The object was created. Read the snapshot to find out whether it already covers the number. */
    VerifySnapshot,
    /** Read the object at the append's number to find out which host wrote it. */
    ReadBack,
    /** Repeat the write after a backoff. */
    RetryWrite,
    /** Repeat the read after a backoff. */
    RetryRead,
    /** The object was certainly not written. */
    NotWritten,
    /** Another host has taken the shard over. */
    ShardLost,
    /** The chain was compacted while it was read. Restart the takeover. */
    RestartTakeover,
    /** Another object exists at the number of an opening. Replay it and continue with the next number. */
    OtherObject,
};

/** The object that is appended to the chain next (see JournalShard for chain and opening). Interprets the store responses to its write. */
class JournalAppend
{
public:
    JournalAppend(std::string host, std::uint64_t incarnation);

    void startOpening(absl::Time now);
    /** Starts a closing object: this process appends no more until it writes another opening. */
    void startClosing(absl::Time now);
    void start(const std::vector<JournalQueuedRecord> &records, absl::Time now);
    /** Must be called whenever the write is sent. */
    void noteSent();
    [[nodiscard]] JournalAppendOutcome handleWriteOutcome(WriteOutcome outcome);
    [[nodiscard]] JournalAppendOutcome handleReadBack(const JournalReadResult &result) const;
    /**
     * Decides by the number of the snapshot that was read after the object at @p objectNumber was created.
     * @p loadedSnapshot is the number of the snapshot that the takeover loaded.
     */
    [[nodiscard]] JournalAppendOutcome checkSnapshot(std::uint64_t currentSnapshot, std::uint64_t loadedSnapshot, std::uint64_t objectNumber) const;

    [[nodiscard]] const std::string &bytes() const;
    [[nodiscard]] bool opening() const;
    [[nodiscard]] wire::HostId writer() const;
    /** When the write was sent for the first time. The object did not exist before, whichever attempt created it. */
    [[nodiscard]] absl::Time firstSentAt() const;

private:
    [[nodiscard]] wire::JournalObject newObject(bool opening, absl::Time now);
    [[nodiscard]] JournalAppendOutcome handleCreated() const;

    const std::string host;
    const std::uint64_t incarnation;
    std::uint64_t writeNumber = 0;
    std::string serialized;
    absl::Time firstSendTime;
    bool isOpening = false;
    /** An attempt got no response and may still take effect. */
    bool inDoubt = false;
    /** The write was repeated while in doubt. */
    bool repeated = false;
};

} // namespace Bergamotramp
