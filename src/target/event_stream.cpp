#include "target/event_stream.hpp"

#include "base/limits.hpp"

#include <utility>

namespace rml::target {

void event_reader::append(std::string_view bytes)
{
    this->buffer.erase(0, this->position);
    this->position = 0;
    this->buffer.append(bytes);
}

result<std::optional<std::string>> event_reader::next()
{
    while (true) {
        const auto end = this->buffer.find('\n', this->position);
        if (end == std::string::npos) {
            if (this->buffer.size() - this->position + this->data.size() > limits::event_bytes) {
                return failure{failure_kind::too_large, "event"};
            }
            return std::optional<std::string>{};
        }
        auto line = std::string_view(this->buffer).substr(this->position, end - this->position);
        this->position = end + 1;
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            if (std::exchange(this->has_data, false)) {
                return std::optional<std::string>(std::exchange(this->data, {}));
            }
            continue;
        }
        constexpr std::string_view field = "data:";
        if (line.substr(0, field.size()) != field) {
            continue;
        }
        line.remove_prefix(field.size());
        if (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        if (this->has_data) {
            this->data.push_back('\n');
        }
        this->data.append(line);
        this->has_data = true;
        if (this->data.size() > limits::event_bytes) {
            return failure{failure_kind::too_large, "event"};
        }
    }
}

} // namespace rml::target
