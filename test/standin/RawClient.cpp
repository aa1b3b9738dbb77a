#include "RawClient.h"

#include "LoopRunner.h"

namespace Bergamotramp {

RawClient::RawClient(EventLoop &loop, const std::string &address)
{
    TcpStream::connect(loop, address, absl::Seconds(5), [this](std::shared_ptr<TcpStream> opened) {
        this->stream = std::move(opened);
        this->stream->start({.data = [this](std::string_view bytes) { this->received.append(bytes); }, .ended = [this](StreamEnd) { this->ended = true; }});
    });
    runUntil(loop, [this] { return this->stream != nullptr; });
}

} // namespace Bergamotramp
