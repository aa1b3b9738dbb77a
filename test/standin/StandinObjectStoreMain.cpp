#include <map>

#include <CLI/CLI.hpp>

#include "CallRefusal.h"
#include "LoopProgram.h"
#include "StandinObjectStore.h"

namespace {

using namespace Bergamotramp;

constexpr std::size_t maxControlConnections = 20;

/** Control interface: POST /mode?value=, /compact, /put?kind=&name= with the object's spec as body, /erase?kind=&name=. Returns the response's status. */
int handleControl(StandinObjectStore &store, const HttpRequest &request)
{
    static const std::map<std::string, ObjectApiMode> modes{
        {"serving", ObjectApiMode::Serving}, {"silent", ObjectApiMode::Silent}, {"busy", ObjectApiMode::Busy}, {"answers-lost", ObjectApiMode::AnswersLost}};
    const std::string_view path = request.path();
    if (path == "/mode" && modes.contains(request.query("value"))) {
        store.setMode(modes.at(request.query("value")));
    } else if (path == "/compact") {
        store.compact();
    } else if (path == "/put") {
        store.write(request.query("kind"), request.query("name"), nlohmann::json::parse(request.body));
    } else if (path == "/erase") {
        store.erase(request.query("kind"), request.query("name"));
    } else {
        return 404;
    }
    return 200;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for the platform's object store.");
    std::string address = "127.0.0.1:0";
    std::string controlAddress = "127.0.0.1:0";
    app.add_option("--address", address, "Address of the store");
    app.add_option("--control", controlAddress, "Address of the control interface");
    CLI11_PARSE(app, argc, argv);
    try {
        EventLoop loop;
        StandinObjectStore store(loop, address);
        const HttpServer controlServer(loop, controlAddress, maxControlConnections, [&store](const std::shared_ptr<HttpExchange> &exchange) {
            exchange->respond(jsonResponse(handleControl(store, exchange->request()), "{}"));
        });
        printAddressesAndRun(loop, store.address() + " " + controlServer.address());
    } catch (const std::exception &error) {
        std::cerr << "standin-objects: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
