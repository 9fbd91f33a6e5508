#include "objects/settings.hpp"

#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace rml {

namespace {

using nlohmann::json;

constexpr std::uint32_t max_workers = 256;
constexpr std::size_t shortest_secret = 8;

/// Reads one JSON object. Keeps the first error, so that reads can follow one another without a check each.
class object_reader
{
public:
    object_reader(const json& object, std::string path, failure& first)
        : object(object), path(std::move(path)), first(first)
    {
        if (!object.is_object()) {
            this->reject("", object.type_name(), "object");
        }
    }

    std::string text(const char* key, std::size_t shortest = 1)
    {
        const auto* found = this->find(key, true);
        if (found == nullptr) {
            return {};
        }
        if (!found->is_string() || found->get_ref<const std::string&>().size() < shortest) {
            this->reject(key, found->dump(), "text of at least " + std::to_string(shortest) + " bytes");
            return {};
        }
        return found->get<std::string>();
    }

    std::string optional_text(const char* key)
    {
        return this->find(key, false) == nullptr ? std::string{} : this->text(key, 0);
    }

    endpoint address(const char* key)
    {
        const auto found = this->text(key, 0);
        auto parsed = parse_endpoint(found);
        if (failed(parsed)) {
            this->reject(key, '"' + found + '"', "IP number and port, such as 127.0.0.1:8080");
            return {};
        }
        return value(parsed);
    }

    std::uint32_t number(const char* key, std::uint32_t highest, std::uint32_t fallback)
    {
        const auto* found = this->find(key, false);
        if (found == nullptr) {
            return fallback;
        }
        if (!found->is_number_unsigned() || found->get<std::uint64_t>() > highest) {
            this->reject(key, found->dump(), "integer from 0 to " + std::to_string(highest));
            return fallback;
        }
        return found->get<std::uint32_t>();
    }

    log_level level(const char* key, log_level fallback)
    {
        const auto found = this->optional_text(key);
        if (found.empty()) {
            return fallback;
        }
        const auto parsed = parse_log_level(found);
        if (failed(parsed)) {
            this->reject(key, '"' + found + '"', "debug, info, warning or error");
            return fallback;
        }
        return value(parsed);
    }

    /// Reader of a nested object; an empty one when the optional key is absent.
    object_reader nested(const char* key, bool required)
    {
        static const json empty = json::object();
        const auto* found = this->find(key, required);
        return {found == nullptr ? empty : *found, this->path + key + ".", this->first};
    }

    /// Rejects keys that were not read.
    void finish()
    {
        if (!this->object.is_object()) {
            return;
        }
        for (const auto& [key, ignored] : this->object.items()) {
            if (this->known.count(key) == 0) {
                this->reject(key, "unknown key", "keys of docs/protocols.md");
            }
        }
    }

private:
    const json* find(const char* key, bool required)
    {
        this->known.insert(key);
        if (!this->object.is_object()) {
            return nullptr;
        }
        const auto found = this->object.find(key);
        if (found != this->object.end()) {
            return &*found;
        }
        if (required) {
            this->reject(key, "nothing", "a value");
        }
        return nullptr;
    }

    void reject(const std::string& key, const std::string& found, const std::string& allowed)
    {
        if (this->first.context.empty()) {
            this->first.context = this->path + key + ": found " + found + ", allowed " + allowed;
        }
    }

    const json& object;
    std::string path;
    failure& first;
    std::set<std::string> known;
};

/// Parses the text and rejects an object with the same key twice, of which the library would keep the last.
json parse_strictly(const std::string& text, failure& first)
{
    std::vector<std::set<std::string>> keys;
    const auto check = [&](int, json::parse_event_t event, json& parsed) {
        if (event == json::parse_event_t::object_start) {
            keys.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            keys.pop_back();
        } else if (event == json::parse_event_t::key) {
            const auto key = parsed.get<std::string>();
            if (!keys.back().insert(key).second && first.context.empty()) {
                first.context = key + ": found twice, allowed once";
            }
        }
        return true;
    };
    try {
        return json::parse(text, check, true, true);
    } catch (const json::exception& e) {
        first.context = std::string("not JSON: ") + e.what();
        return json::object();
    }
}

listen_settings read_listen(object_reader reader)
{
    listen_settings out{reader.address("caller"), reader.address("peer"), reader.address("operator")};
    reader.finish();
    return out;
}

platform_settings read_platform(object_reader reader)
{
    platform_settings out{reader.address("store"), reader.address("instances"), reader.address("weights")};
    reader.finish();
    return out;
}

log_settings read_log(object_reader reader)
{
    log_settings out;
    out.level = reader.level("level", out.level);
    out.file = reader.optional_text("file");
    reader.finish();
    return out;
}

} // namespace

result<settings> parse_settings(const std::string& text)
{
    failure first{failure_kind::invalid_settings, {}};
    const auto document = parse_strictly(text, first);
    if (!first.context.empty()) {
        return first;
    }
    object_reader reader(document, "", first);
    settings out;
    out.daemon = daemon_id(reader.text("daemon"));
    out.region = region_id(reader.text("region"));
    out.failure_domain = failure_domain_id(reader.text("failure_domain"));
    out.listen = read_listen(reader.nested("listen", true));
    out.platform = read_platform(reader.nested("platform", true));
    out.peer_secret = reader.text("peer_secret", shortest_secret);
    out.operator_token = reader.text("operator_token", shortest_secret);
    out.workers = reader.number("workers", max_workers, out.workers);
    out.log = read_log(reader.nested("log", false));
    reader.finish();
    if (!first.context.empty()) {
        return first;
    }
    return out;
}

} // namespace rml
