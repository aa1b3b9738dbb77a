#include "SseReader.h"

namespace Bergamotramp {

namespace {

constexpr std::string_view dataField = "data:";

} // namespace

SseReader::SseReader(std::function<void(std::string_view)> onEvent) : onEvent(std::move(onEvent))
{
}

void SseReader::feed(std::string_view bytes)
{
    std::size_t start = 0;
    for (std::size_t end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n', start)) {
        this->partialLine.append(bytes.substr(start, end - start));
        if (this->partialLine.ends_with('\r')) {
            this->partialLine.pop_back();
        }
        this->parseLine(this->partialLine);
        this->partialLine.clear();
        start = end + 1;
    }
    this->partialLine.append(bytes.substr(start));
}

void SseReader::parseLine(std::string_view line)
{
    if (line.empty()) {
        if (!this->data.empty()) {
            this->onEvent(this->data);
            this->data.clear();
        }
        return;
    }
    if (!line.starts_with(dataField)) {
        return;
    }
    line.remove_prefix(dataField.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    if (!this->data.empty()) {
        this->data.push_back('\n');
    }
    this->data.append(line);
}

std::string sseFrame(std::string_view data)
{
    std::string frame = "data: ";
    frame.append(data);
    frame.append("\n\n");
    return frame;
}

} // namespace Bergamotramp
