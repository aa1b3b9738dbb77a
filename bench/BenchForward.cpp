#include <csignal>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>
#include <httplib.h>

namespace {

/** Pool of keep-alive connections to the target. Thread-safe. */
class ConnectionPool
{
public:
    explicit ConnectionPool(std::string target) : target(std::move(target))
    {
    }

    std::unique_ptr<httplib::Client> acquire()
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (!this->idle.empty()) {
                std::unique_ptr<httplib::Client> client = std::move(this->idle.back());
                this->idle.pop_back();
                return client;
            }
        }
        auto client = std::make_unique<httplib::Client>("http://" + this->target);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        return client;
    }

    void release(std::unique_ptr<httplib::Client> client)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->idle.push_back(std::move(client));
    }

private:
    std::string target;
    std::mutex mutex;
    std::vector<std::unique_ptr<httplib::Client>> idle;
};

void forward(ConnectionPool &pool, const httplib::Request &request, httplib::Response &response)
{
    std::unique_ptr<httplib::Client> client = pool.acquire();
    httplib::Request forwarded;
    forwarded.method = request.method;
    forwarded.path = request.target;
    forwarded.body = request.body;
    if (request.has_header("Content-Type")) {
        forwarded.set_header("Content-Type", request.get_header_value("Content-Type"));
    }
    const httplib::Result result = client->send(forwarded);
    if (!result) {
        response.status = 502;
        return;
    }
    response.status = result->status;
    response.set_content(result->body, result->get_header_value("Content-Type"));
    pool.release(std::move(client));
}

void addForwardingHandlers(httplib::Server &server, ConnectionPool &pool)
{
    const auto handler = [&pool](const httplib::Request &request, httplib::Response &response) { forward(pool, request, response); };
    server.Get(".*", handler);
    server.Post(".*", handler);
    server.Put(".*", handler);
    server.Delete(".*", handler);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Forwards HTTP requests to one target over keep-alive connections.");
    std::string target;
    std::size_t threads = 256;
    app.add_option("--target", target, "IP:port")->required();
    app.add_option("--threads", threads, "Number of client connections served concurrently");
    CLI11_PARSE(app, argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    ConnectionPool pool(target);
    httplib::Server server;
    server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server.set_keep_alive_max_count(1'000'000);
    server.set_tcp_nodelay(true);
    addForwardingHandlers(server, pool);
    const int port = server.bind_to_any_port("127.0.0.1");
    std::thread thread([&server] { server.listen_after_bind(); });
    std::cout << "listening 127.0.0.1:" << port << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    server.stop();
    thread.join();
    return 0;
}
