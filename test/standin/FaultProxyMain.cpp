#include <CLI/CLI.hpp>

#include "FaultProxy.h"
#include "StandinProgram.h"

namespace {

/** Adds a route given as NAME=TARGET or NAME=TARGET@PORT. */
void addRoute(Bergamotramp::FaultProxy &proxy, const std::string &text)
{
    const std::size_t equals = text.find('=');
    const std::size_t at = text.find('@');
    if (equals == std::string::npos) {
        throw std::runtime_error("--route " + text + " is not of the form NAME=TARGET or NAME=TARGET@PORT");
    }
    const int port = at == std::string::npos ? 0 : std::stoi(text.substr(at + 1));
    const std::size_t end = at == std::string::npos ? std::string::npos : at - equals - 1;
    proxy.addRoute(text.substr(0, equals), text.substr(equals + 1, end), port);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("TCP proxy that injects network faults.");
    int port = 0;
    std::vector<std::string> routes;
    app.add_option("--port", port, "Port of the control interface on 127.0.0.1, 0 for a free one");
    app.add_option("--route", routes, "Route to an address, as NAME=TARGET or NAME=TARGET@PORT with its listening port; may be repeated");
    CLI11_PARSE(app, argc, argv);
    const sigset_t signals = Bergamotramp::blockTerminationSignals();
    try {
        Bergamotramp::FaultProxy proxy(port);
        for (const std::string &route : routes) {
            addRoute(proxy, route);
        }
        Bergamotramp::printAddressAndWait(proxy.address(), signals);
    } catch (const std::exception &error) {
        std::cerr << "fault-proxy: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
