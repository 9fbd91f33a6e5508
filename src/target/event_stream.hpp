/// Incremental reader of server-sent events.
#pragma once

#include "base/failure.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace rml::target {

/// Splits a byte stream into the data of its events. Lines other than `data:` are ignored.
class event_reader
{
public:
    /// Adds received bytes.
    void append(std::string_view bytes);
    /// Data of the next complete event, or nothing. Fails with `too_large` above limits::event_bytes.
    result<std::optional<std::string>> next();
    /// True when bytes of an unfinished event remain.
    bool partial() const { return this->position < this->buffer.size() || this->has_data; }

private:
    std::string buffer;
    std::size_t position{0};
    std::string data;
    bool has_data{false};
};

} // namespace rml::target
