/// Incremental parser of server-sent events.
#pragma once

#include "base/failure.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace rml::target {

/// Extracts the `data:` fields of events from a byte stream. Other lines are ignored.
class event_reader
{
public:
    /// Adds received bytes.
    void append(std::string_view bytes);
    /// Data of the next complete event, or nothing. Fails with `too_large` above limits::event_bytes.
    result<std::optional<std::string>> next();
    /// True when the buffer holds bytes that next() has not consumed, or data of an unfinished event.
    bool partial() const { return this->position < this->buffer.size() || this->has_data; }

private:
    std::string buffer;
    std::size_t position{0};
    std::string data;
    bool has_data{false};
};

} // namespace rml::target
