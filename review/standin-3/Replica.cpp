#include "Replica.h"

#include <utility>

namespace Review {

namespace {

constexpr std::size_t threads = 48;
constexpr int misdirected = 421;
constexpr int full = 503;

} // namespace

/** One request that runs; frees its slot when its answer has ended in whatever way. */
struct Replica::Run {
    Run(Replica &replica, std::string request, int first) : replica(replica), requestId(std::move(request)), next(first)
    {
    }
    ~Run()
    {
        --this->replica.runs;
    }
    Run(const Run &) = delete;
    Run &operator=(const Run &) = delete;

    Replica &replica;
    std::string requestId;
    int next;
};

Replica::Replica(Record &record, Options replicaOptions) : record(record), options(std::move(replicaOptions))
{
    this->server.new_task_queue = [] { return new httplib::ThreadPool(threads); };
    this->server.set_tcp_nodelay(true);
    const auto handler = [this](const httplib::Request &request, httplib::Response &response) { this->handle(request, response); };
    this->server.Post(".*", handler);
    this->server.Get(".*", handler);
    this->port = this->server.bind_to_any_port("127.0.0.1");
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
}

Replica::~Replica()
{
    this->crash();
}

std::string Replica::address() const
{
    return "127.0.0.1:" + std::to_string(this->port);
}

const Replica::Options &Replica::settings() const
{
    return this->options;
}

int Replica::running() const
{
    return this->runs;
}

void Replica::crash()
{
    if (!this->crashed.exchange(true)) {
        this->server.stop();
        this->thread.join();
    }
}

std::string Replica::eventData(const std::string &requestId, int number)
{
    return requestId + "-" + std::to_string(number);
}

void Replica::handle(const httplib::Request &request, httplib::Response &response)
{
    const std::string id = request.get_header_value("X-Request-Id");
    response.set_header("X-Request-Id", id);
    if (request.has_header("X-Expect-Instance") && request.get_header_value("X-Expect-Instance") != this->options.id) {
        response.status = misdirected;
        response.set_header("X-Not-Executed", "1");
        return;
    }
    if (++this->runs > this->options.slots) {
        --this->runs;
        response.status = full;
        response.set_header("X-Not-Executed", "1");
        return;
    }
    const int first = request.has_header("Last-Event-Id") ? std::stoi(request.get_header_value("Last-Event-Id")) + 1 : 1;
    const auto run = std::make_shared<Run>(*this, id, first);
    this->record.line("run " + this->options.id + " " + id + " " + request.path + " from " + std::to_string(first) + ", body of "
                      + std::to_string(request.body.size()) + " bytes");
    if (this->options.began) {
        this->options.began(id);
    }
    response.set_header("X-Response-Signature", "by-" + this->options.id);
    if (this->options.answerBytes > 0) {
        std::this_thread::sleep_for(this->options.work);
        response.set_content(std::string(this->options.answerBytes, 'a'), "text/plain");
        return;
    }
    response.set_chunked_content_provider("text/event-stream", [this, run](std::size_t, httplib::DataSink &sink) { return this->sendEvent(*run, sink); });
}

bool Replica::sendEvent(Run &run, httplib::DataSink &sink)
{
    if (run.next > this->options.events) {
        if (this->options.finished) {
            this->options.finished(run.requestId);
        }
        sink.done();
        return true;
    }
    std::this_thread::sleep_for(this->options.interval);
    if (this->crashed) {
        return false;
    }
    const std::string event = "id: " + std::to_string(run.next) + "\ndata: " + this->options.version + " " + eventData(run.requestId, run.next) + "\n\n";
    ++run.next;
    return sink.write(event.data(), event.size());
}

} // namespace Review
