#include "JsonLog.h"

#include <fcntl.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

namespace Bergamotramp {

namespace {

absl::string_view toAbslView(std::string_view text)
{
    return {text.data(), text.size()};
}

void appendEscaped(std::string &line, std::string_view text)
{
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line.push_back('\\');
            line.push_back(character);
        } else if (byte < 0x20 || byte >= 0x7f) {
            // Ids come from callers and may hold control characters or invalid UTF-8, which would make the line invalid JSON. All
            // bytes other than printable ASCII are therefore escaped.
            absl::StrAppend(&line, "\\u00", absl::Hex(byte, absl::kZeroPad2));
        } else {
            line.push_back(character);
        }
    }
}

} // namespace

LogField::LogField(std::string_view name, std::string_view value) : name(name), text(value), quoted(true)
{
}

LogField::LogField(std::string_view name, const char *value) : name(name), text(value), quoted(true)
{
}

LogField::LogField(std::string_view name, const std::string &value) : name(name), text(value), quoted(true)
{
}

LogField::LogField(std::string_view name, std::int64_t value) : name(name), text(absl::StrCat(value))
{
}

LogField::LogField(std::string_view name, std::uint64_t value) : name(name), text(absl::StrCat(value))
{
}

LogField::LogField(std::string_view name, int value) : name(name), text(absl::StrCat(value))
{
}

LogField::LogField(std::string_view name, bool value) : name(name), text(value ? "true" : "false")
{
}

LogField::LogField(std::string_view name, double value) : name(name), text(absl::StrCat(value))
{
}

LogField::LogField(std::string_view name, absl::Duration value) : name(name), text(absl::StrCat(absl::ToInt64Milliseconds(value)))
{
}

void LogField::appendTo(std::string &line) const
{
    absl::StrAppend(&line, ",\"", toAbslView(this->name), "\":");
    if (!this->quoted) {
        line.append(this->text);
        return;
    }
    line.push_back('"');
    appendEscaped(line, this->text);
    line.push_back('"');
}

JsonLog::JsonLog(EventLoop &loop, std::string host, int descriptor) : loop(loop), host(std::move(host)), descriptor(descriptor)
{
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

void JsonLog::write(std::string_view event, std::initializer_list<LogField> fields)
{
    if (this->pending.size() > maxPendingBytes) {
        ++this->dropped;
        return;
    }
    absl::StrAppend(&this->pending, "{\"t\":", absl::ToUnixMicros(absl::Now()), ",\"host\":\"", this->host, "\",\"event\":\"", toAbslView(event), "\"");
    for (const LogField &field : fields) {
        field.appendTo(this->pending);
    }
    this->pending.append("}\n");
    if (!this->timer.active()) {
        this->timer = this->loop.after(flushPeriod, [this] { this->flush(); });
    }
}

void JsonLog::flush()
{
    while (!this->pending.empty()) {
        const ssize_t written = ::write(this->descriptor, this->pending.data(), this->pending.size());
        if (written <= 0) {
            this->timer = this->loop.after(flushPeriod, [this] { this->flush(); });
            return;
        }
        this->pending.erase(0, static_cast<std::size_t>(written));
    }
    if (this->dropped > this->reportedDropped) {
        const std::uint64_t lines = this->dropped - this->reportedDropped;
        this->reportedDropped = this->dropped;
        this->write("log_lines_dropped", {{"lines", lines}});
    }
}

std::uint64_t JsonLog::droppedLines() const
{
    return this->dropped;
}

} // namespace Bergamotramp
