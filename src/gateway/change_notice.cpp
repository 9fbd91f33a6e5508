#include "gateway/change_notice.hpp"

#include "base/bounded_cbor.hpp"
#include "base/hash.hpp"
#include "base/json_reader.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <numeric>

namespace rml::gateway {

namespace {

using nlohmann::json;

/// Distinguishes notices from reports and from notices of other versions.
constexpr std::uint32_t notice_format = 2;
/// Total size of keys and values in one notice: some packets of a usual link. A target entry has 300 to 400
/// bytes.
constexpr std::size_t max_notice_bytes = 4000;
constexpr std::uint64_t max_revision = std::numeric_limits<std::uint64_t>::max();
/// Far above the age of a usable notice, and small enough for arithmetic with points in time.
constexpr std::uint64_t max_slices = 1000;
constexpr std::uint64_t max_age_ms = 1'000'000'000;

std::size_t size_of(const store_event& event)
{
    return event.key.size() + (event.value ? event.value->size() : 0);
}

} // namespace

bool notice_slice::contains(const daemon_id& daemon) const
{
    return hash64(daemon.str()) % this->count == this->index;
}

std::vector<change_notice> split_changes(std::uint64_t after, std::uint64_t revision,
                                         const std::vector<store_event>& events)
{
    std::vector<change_notice> out;
    change_notice open;
    std::size_t bytes = 0;
    const auto start_notice = [&](std::uint64_t known) {
        if (!open.events.empty()) {
            out.push_back(std::move(open));
        }
        open = {};
        open.after = open.revision = known;
        bytes = 0;
    };
    start_notice(after);
    for (auto first = events.begin(); first != events.end();) {
        // Keeps the changes of one revision in one notice.
        const auto event_revision = first->revision;
        const auto end = std::find_if(
            first, events.end(), [&](const store_event& event) { return event.revision != event_revision; });
        const auto size = std::accumulate(first, end, std::size_t{0}, [](std::size_t sum, const auto& event) {
            return sum + size_of(event);
        });
        if (size > max_notice_bytes) {
            start_notice(event_revision);
        } else {
            if (bytes + size > max_notice_bytes) {
                start_notice(open.revision);
            }
            open.events.insert(open.events.end(), first, end);
            open.revision = event_revision;
            bytes += size;
        }
        first = end;
    }
    open.revision = std::max(open.revision, revision);
    out.push_back(std::move(open));
    return out;
}

std::string encode_notice(const change_notice& notice)
{
    json events = json::array();
    for (const auto& event : notice.events) {
        json entry{{"k", event.key}, {"r", event.revision}};
        if (event.value) {
            entry["v"] = json::binary({event.value->begin(), event.value->end()});
        }
        events.push_back(std::move(entry));
    }
    json document{{"f", notice_format},   {"d", notice.daemon.str()}, {"a", notice.after},
                  {"r", notice.revision}, {"t", notice.age.count()},  {"e", std::move(events)}};
    if (notice.slice) {
        document["s"] = {notice.slice->index, notice.slice->count};
    }
    return to_cbor_bytes(document);
}

bool is_notice(const json& message)
{
    const auto format = message.is_object() ? message.find("f") : message.end();
    return format != message.end() && *format == notice_format;
}

result<change_notice> decode_notice(const json& message)
{
    try {
        change_notice out;
        out.daemon = daemon_id(message.at("d").get<std::string>());
        out.after = checked_integer(message.at("a"), max_revision);
        out.revision = checked_integer(message.at("r"), max_revision);
        out.age = milliseconds(checked_integer(message.at("t"), max_age_ms));
        if (const auto part = message.find("s"); part != message.end()) {
            notice_slice slice;
            slice.index = static_cast<std::uint32_t>(checked_integer(part->at(0), max_slices));
            slice.count = static_cast<std::uint32_t>(checked_integer(part->at(1), max_slices));
            if (slice.index >= slice.count) {
                return failure{failure_kind::malformed, "notice of store changes: slice"};
            }
            out.slice = slice;
        }
        for (const auto& entry : message.at("e")) {
            store_event event;
            event.key = entry.at("k").get<std::string>();
            (void)entry.at("k").dump(); // throws unless the key is UTF-8, which CBOR does not ensure
            event.revision = checked_integer(entry.at("r"), max_revision);
            if (const auto found = entry.find("v"); found != entry.end()) {
                const auto& content = found->get_binary();
                event.value = std::string(content.begin(), content.end());
            }
            out.events.push_back(std::move(event));
        }
        return out;
    } catch (const json::exception& problem) {
        return failure{failure_kind::malformed, std::string("notice of store changes: ") + problem.what()};
    }
}

} // namespace rml::gateway
