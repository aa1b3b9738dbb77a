#pragma once

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace Review {

/**
 * The link between two regions: forwards datagrams between hosts of different regions, and connections to the store, until it is cut.
 * Hosts of the other region are seen under addresses of the gateway, so that all traffic between them passes through it.
 */
class Gateway
{
public:
    /** One host: its own address, and the address under which the other region sees it. Both have the same port for datagrams. */
    struct Endpoint {
        std::string address;
        std::string seenAs;
    };

    /** @p storePort is the port of the store on 127.0.0.1, @p datagramPort that of all hosts. */
    Gateway(std::vector<Endpoint> endpoints, int datagramPort, int storePort);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /** The port on 127.0.0.1 at which the region without the store reaches it. */
    [[nodiscard]] int storePort() const;
    /** While cut, datagrams are dropped and connections to the store stand still. */
    void setCut(bool cut);

private:
    struct Connection {
        int client = -1;
        int server = -1;
    };

    void run();
    void forwardDatagram(std::size_t endpoint);
    void acceptConnection();
    /** Forwards what has arrived at one side; returns false at the end of the connection. */
    static bool forwardBytes(int from, int to);

    std::vector<Endpoint> endpoints;
    int datagramPort;
    int targetPort;
    int listener = -1;
    int listenPort = 0;
    std::vector<int> sockets;
    std::vector<Connection> connections;
    std::atomic<bool> cut{false};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace Review
