#include "Transport.h"

#include <atomic>
#include <thread>

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

// Guards against replies that are matched to the wrong request.
TEST(TransportTest, repliesReachTheirRequests)
{
    std::unique_ptr<Transport> server;
    std::string callerAddress;
    server = std::make_unique<Transport>("127.0.0.1:0",
                                         Transport::Hooks{[&](const wire::Envelope &message) {
                                                              wire::Envelope answer;
                                                              answer.mutable_ping_ack()->set_sequence(message.ping().sequence());
                                                              server->reply(callerAddress, message.correlation(), answer);
                                                          },
                                                          [](wire::Envelope &) {}});
    Transport caller("127.0.0.1:0", Transport::Hooks{[](const wire::Envelope &) {}, [](wire::Envelope &) {}});
    callerAddress = caller.address();
    for (std::uint64_t sequence = 1; sequence <= 50; ++sequence) {
        wire::Envelope ping;
        ping.mutable_ping()->set_sequence(sequence);
        const auto answer = caller.request(server->address(), ping, absl::Seconds(30));
        ASSERT_TRUE(answer.has_value());
        EXPECT_EQ(answer->ping_ack().sequence(), sequence);
    }
}

// Guards against a peer that becomes unreachable after its connection was replaced.
TEST(TransportTest, messagesPassAfterReconnect)
{
    std::atomic<int> received{0};
    Transport server("127.0.0.1:0", Transport::Hooks{[&](const wire::Envelope &) { ++received; }, [](wire::Envelope &) {}});
    Transport caller("127.0.0.1:0", Transport::Hooks{[](const wire::Envelope &) {}, [](wire::Envelope &) {}});
    for (int round = 1; round <= 3; ++round) {
        caller.send(server.address(), wire::Envelope());
        while (received < round) {
            std::this_thread::yield();
        }
        caller.reconnect(server.address());
    }
}

TEST(TransportTest, requestToAbsentPeerTimesOut)
{
    Transport caller("127.0.0.1:0", Transport::Hooks{[](const wire::Envelope &) {}, [](wire::Envelope &) {}});
    EXPECT_FALSE(caller.request("127.0.0.1:1", wire::Envelope(), absl::Milliseconds(20)).has_value());
}

TEST(TransportTest, addressInUseIsNamed)
{
    const Transport first("127.0.0.1:0", Transport::Hooks{[](const wire::Envelope &) {}, [](wire::Envelope &) {}});
    try {
        const Transport second(first.address(), Transport::Hooks{[](const wire::Envelope &) {}, [](wire::Envelope &) {}});
        FAIL() << "the second bind succeeded";
    } catch (const TransportError &error) {
        EXPECT_NE(std::string(error.what()).find(first.address()), std::string::npos);
    }
}

} // namespace

} // namespace Bergamotramp
