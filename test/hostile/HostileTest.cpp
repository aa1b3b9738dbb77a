#include <csignal>
#include <optional>

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include "HostileCrowd.h"
#include "HostileSite.h"
#include "LoopRunner.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t bodyCallers = 100;
constexpr std::size_t heldBodyBytes = 1024 * 1024;
constexpr std::size_t overLimitBytes = 2 * HostileLimits::bodyBytes;
constexpr std::size_t smallPieceBytes = 16 * 1024;
constexpr std::size_t wholeText = 16 * 1024 * 1024;
constexpr std::size_t connections = 400;
constexpr std::size_t pipelinedBytes = 512 * 1024;
constexpr std::size_t aheadBytes = 128 * 1024;
// Time for the daemon to do what the crowd has asked for.
constexpr absl::Duration settleTime = absl::Milliseconds(1500);
constexpr int smallReceiveBytes = 4 * 1024;
// Peak resident memory may grow by this much above the daemon without a crowd. The daemon has sanitizers, whose own memory is in both.
constexpr std::size_t maxGrowthBytes = (HostileLimits::memoryMb - HostileLimits::idleMb) * 1024 * 1024;

/** What one caller of the crowd sends, by its number. */
using CallerText = std::function<std::string(std::size_t number)>;

struct CrowdKind {
    std::string name;
    std::size_t callers;
    CallerText text;
    std::size_t pieceBytes = wholeText;
    int receiveBytes = 0;
    /** Whether the callers close their connections, with answers that they have not read. */
    bool leaves = false;
};

/** A head up to its last line, with the paths of a route, of no route and of jobs in turn. */
std::string head(std::size_t number)
{
    static const std::vector<std::string> paths{"/plain/x", "/none", "/batch/x"};
    return absl::StrCat("POST ", paths[number % paths.size()], " HTTP/1.1\r\nHost: site\r\nX-Request-Id: crowd\r\n");
}

std::string declared(std::size_t number, std::size_t length, const std::string &body)
{
    return absl::StrCat(head(number), "Content-Length: ", length, "\r\n\r\n", body);
}

std::string repeated(const std::string &piece, std::size_t bytes)
{
    std::string text;
    while (text.size() + piece.size() <= bytes) {
        text += piece;
    }
    return text;
}

std::string chunked(std::size_t number, const std::string &chunk, std::size_t bytes)
{
    return absl::StrCat(head(number), "Transfer-Encoding: chunked\r\n\r\n", repeated(chunk, bytes));
}

std::string unfinishedBody(std::size_t number)
{
    return declared(number, heldBodyBytes, std::string(heldBodyBytes - 1, 'x'));
}

std::string manyHeaders(std::size_t number)
{
    const std::string first = head(number) + "Content-Length: 10\r\n";
    return first + repeated("a:b\r\n", HostileLimits::headBytes - first.size() - 8) + "\r\n123";
}

std::string pipelinedReads(std::size_t)
{
    static const std::vector<std::string> paths{"/metrics", "/bergamotramp/resolve?region=north&zone=a", "/peer/snapshot", "/none"};
    std::string text;
    for (std::size_t number = 0; text.size() < pipelinedBytes; ++number) {
        absl::StrAppend(&text, "GET ", paths[number % paths.size()], " HTTP/1.1\r\nHost: site\r\nX-Request-Id: crowd\r\n\r\n");
    }
    return text;
}

/** Streams that are asked for ahead, in more bytes than the daemon reads beside a request in progress. */
std::string streamsAhead(std::size_t)
{
    const std::string request =
        absl::StrCat("POST /stream/x HTTP/1.1\r\nHost: site\r\nX-Request-Id: crowd\r\nX-Long: ", std::string(6000, 'x'), "\r\nContent-Length: 2\r\n\r\n{}");
    return repeated(request, aheadBytes);
}

CallerText unreadAnswer(const std::string &path)
{
    return [path](std::size_t) { return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: site\r\nX-Request-Id: crowd\r\nContent-Length: 2\r\n\r\n{}"); };
}

std::vector<CrowdKind> kindsAtEachAddress()
{
    const std::string extension = absl::StrCat("1;", repeated("a=b;", 1024), "\r\nx\r\n");
    return {{.name = "bodiesInOnePiece", .callers = bodyCallers, .text = unfinishedBody},
            {.name = "bodiesInSmallPieces", .callers = bodyCallers, .text = unfinishedBody, .pieceBytes = smallPieceBytes},
            {.name = "bodiesInChunks",
             .callers = bodyCallers,
             .text = [](std::size_t number) { return chunked(number, absl::StrCat("1000\r\n", std::string(4096, 'x'), "\r\n"), heldBodyBytes); }},
            {.name = "bodiesInTinyChunks", .callers = bodyCallers, .text = [](std::size_t number) { return chunked(number, "1\r\nx\r\n", heldBodyBytes); }},
            {.name = "chunkExtensions", .callers = bodyCallers, .text = [extension](std::size_t number) { return chunked(number, extension, heldBodyBytes); }},
            {.name = "bodiesOverTheLimit",
             .callers = bodyCallers,
             .text =
                 [](std::size_t number) {
                     const std::string body(overLimitBytes, 'x');
                     return number % 2 == 0 ? declared(number, overLimitBytes, body) : chunked(number, absl::StrCat("800000\r\n", body), overLimitBytes + 8);
                 }},
            {.name = "manyHeaders", .callers = 2 * bodyCallers, .text = manyHeaders},
            {.name = "pipelinedUnread", .callers = bodyCallers, .text = pipelinedReads, .receiveBytes = smallReceiveBytes},
            {.name = "idleConnections", .callers = connections, .text = [](std::size_t) { return std::string(); }},
            {.name = "halfHeads", .callers = connections, .text = [](std::size_t number) { return head(number); }}};
}

std::vector<CrowdKind> kindsAtEntry()
{
    const auto fields = [](std::size_t number) {
        const std::string body = absl::StrCat("{\"items\":[", repeated("{},", HostileLimits::bodyBytes - 16), "{}]}");
        return declared(3 * number + 2, body.size(), body);
    };
    return {{.name = "jsonFields", .callers = 10, .text = fields},
            {.name = "aheadAndGone", .callers = bodyCallers, .text = streamsAhead, .receiveBytes = smallReceiveBytes, .leaves = true},
            {.name = "unreadAnswers", .callers = bodyCallers, .text = unreadAnswer("/large/x"), .receiveBytes = smallReceiveBytes},
            {.name = "unreadStreams", .callers = bodyCallers, .text = unreadAnswer("/stream/x"), .receiveBytes = smallReceiveBytes}};
}

/** Guards against callers that end the process, take more than its memory and descriptors, or lock out ordinary callers. */
class HostileCallerTest : public testing::Test
{
public:
    HostileCallerTest(CrowdKind kind, ReservedPort HostileSite::*address) : kind(std::move(kind)), address(address)
    {
    }

    void TestBody() override
    {
        const std::size_t memoryBefore = this->site.peakMemory();
        std::optional<HostileCrowd> crowd([this] { runFor(this->site.loop, absl::Milliseconds(2)); });
        for (std::size_t number = 0; number < this->kind.callers; ++number) {
            crowd->add((this->site.*address).address(), this->kind.text(number), this->kind.receiveBytes);
        }
        crowd->sendAll(this->kind.pieceBytes);
        runFor(this->site.loop, settleTime);
        if (this->kind.leaves) {
            crowd.reset();
            runFor(this->site.loop, settleTime);
        }
        EXPECT_LT(this->site.descriptors(), HostileLimits::descriptors);
        EXPECT_TRUE(this->site.ordinaryRequestIsAnswered());
        ASSERT_TRUE(this->site.alive());
        const std::size_t growth = this->site.peakMemory() - memoryBefore;
        std::cout << "peak grew by " << growth / 1024 << " KB, descriptors " << this->site.descriptors() << '\n';
        EXPECT_LE(growth, maxGrowthBytes);
    }

private:
    HostileSite site;
    CrowdKind kind;
    ReservedPort HostileSite::*address;
};

void registerCase(const CrowdKind &kind, const std::string &addressName, ReservedPort HostileSite::*address)
{
    testing::RegisterTest(
        "HostileCallerTest", absl::StrCat(kind.name, "_", addressName).c_str(), nullptr, nullptr, __FILE__, __LINE__, [kind, address]() -> testing::Test * {
            return new HostileCallerTest(kind, address);
        });
}

void registerCases()
{
    for (const CrowdKind &kind : kindsAtEachAddress()) {
        registerCase(kind, "entry", &HostileSite::entry);
        registerCase(kind, "ready", &HostileSite::ready);
        registerCase(kind, "directory", &HostileSite::directory);
        registerCase(kind, "control", &HostileSite::control);
        registerCase(kind, "metrics", &HostileSite::metrics);
    }
    for (const CrowdKind &kind : kindsAtEntry()) {
        registerCase(kind, "entry", &HostileSite::entry);
    }
}

} // namespace

} // namespace Bergamotramp

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    Bergamotramp::registerCases();
    return RUN_ALL_TESTS();
}
