#include "gateway/event_framer.hpp"

#include "base/limits.hpp"

#include <charconv>

namespace rml::gateway {

namespace {

/// Returns the `id` field of an event, if any. Fails when it is not a number.
result<std::optional<std::uint64_t>> find_id(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view{} : event.substr(end + 1);
        if (line.substr(0, 3) != "id:") {
            continue;
        }
        line.remove_prefix(3);
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        std::uint64_t id = 0;
        const auto [stop, code] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (code != std::errc() || stop != line.data() + line.size()) {
            return failure{failure_kind::malformed, "event id is not a number"};
        }
        return std::optional(id);
    }
    return std::optional<std::uint64_t>{};
}

/// True for an event that consists of comments only, such as those that keep a connection open.
bool is_comment(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        const auto line = event.substr(0, end);
        if (!line.empty() && line != "\r" && line.front() != ':') {
            return false;
        }
        event = end == std::string_view::npos ? std::string_view{} : event.substr(end + 1);
    }
    return true;
}

/// True for the head of another HTTP answer, which a faulty target may write into a body that has no length.
bool is_answer_head(std::string_view event)
{
    constexpr std::string_view status_line_start = "HTTP/";
    return event.substr(0, status_line_start.size()) == status_line_start;
}

/// Length of the first event including its empty line, or 0 when the event is incomplete.
std::size_t first_event_length(std::string_view bytes)
{
    const auto lf = bytes.find("\n\n");
    const auto crlf = bytes.find("\r\n\r\n");
    if (crlf != std::string_view::npos && (lf == std::string_view::npos || crlf < lf)) {
        return crlf + 4;
    }
    return lf == std::string_view::npos ? 0 : lf + 2;
}

} // namespace

result<std::string> event_framer::append(std::string_view bytes)
{
    this->pending += bytes;
    std::size_t complete = 0;
    // Recorded only when the events are returned.
    auto newest = this->last;
    auto expects_next = this->expects_next_id;
    auto with_id = this->ends_with_id;
    while (const auto length = first_event_length(std::string_view(this->pending).substr(complete))) {
        const auto event = std::string_view(this->pending).substr(complete, length);
        if (is_answer_head(event)) {
            return failure{failure_kind::malformed, "head of another answer in place of an event"};
        }
        const auto found = find_id(event);
        if (failed(found)) {
            return error(found);
        }
        if (const auto& id = value(found); id) {
            if (newest && *id != *newest + 1) {
                return failure{failure_kind::malformed,
                               "event " + std::to_string(*id) + " after event " + std::to_string(*newest)};
            }
            newest = id;
            expects_next = false;
            with_id = true;
        } else if (!is_comment(event)) {
            if (expects_next) {
                return failure{failure_kind::malformed,
                               "event without an id after event " + std::to_string(*newest)};
            }
            with_id = false;
        }
        complete += length;
    }
    if (this->pending.size() - complete > limits::event_bytes) {
        return failure{failure_kind::too_large, "event"};
    }
    this->last = newest;
    this->expects_next_id = expects_next;
    this->ends_with_id = with_id;
    std::string out = this->pending.substr(0, complete);
    this->pending.erase(0, complete);
    return out;
}

} // namespace rml::gateway
