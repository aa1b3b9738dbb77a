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

/** Kept connections to the target. Thread-safe. */
class Connections
{
public:
    explicit Connections(std::string target) : target(std::move(target))
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

    void giveBack(std::unique_ptr<httplib::Client> client)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->idle.push_back(std::move(client));
    }

private:
    std::string target;
    std::mutex mutex;
    std::vector<std::unique_ptr<httplib::Client>> idle;
};

void forward(Connections &connections, const httplib::Request &request, httplib::Response &response)
{
    std::unique_ptr<httplib::Client> client = connections.acquire();
    httplib::Request copy;
    copy.method = request.method;
    copy.path = request.target;
    copy.body = request.body;
    if (request.has_header("Content-Type")) {
        copy.set_header("Content-Type", request.get_header_value("Content-Type"));
    }
    const httplib::Result answer = client->send(copy);
    if (!answer) {
        response.status = 502;
        return;
    }
    response.status = answer->status;
    response.set_content(answer->body, answer->get_header_value("Content-Type"));
    connections.giveBack(std::move(client));
}

void addRoutes(httplib::Server &server, Connections &connections)
{
    const auto handler = [&connections](const httplib::Request &request, httplib::Response &response) { forward(connections, request, response); };
    server.Get(".*", handler);
    server.Post(".*", handler);
    server.Put(".*", handler);
    server.Delete(".*", handler);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Forwards HTTP calls to one target over kept connections.");
    std::string target;
    std::size_t threads = 256;
    app.add_option("--target", target, "IP:port")->required();
    app.add_option("--threads", threads, "Connections served at once");
    CLI11_PARSE(app, argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Connections connections(target);
    httplib::Server server;
    server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server.set_keep_alive_max_count(1'000'000);
    server.set_tcp_nodelay(true);
    addRoutes(server, connections);
    const int port = server.bind_to_any_port("127.0.0.1");
    std::thread thread([&server] { server.listen_after_bind(); });
    std::cout << "listening 127.0.0.1:" << port << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    server.stop();
    thread.join();
    return 0;
}
