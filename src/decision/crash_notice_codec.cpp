#include "base/bounded_cbor.hpp"
#include "base/limits.hpp"
#include "decision/crash_notice.hpp"
#include "decision/crash_record.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace rml {

namespace {

using nlohmann::json;

constexpr std::uint64_t max_int64 = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t max_uint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::chrono::hours max_age = 2 * limits::block_lifetime;

/// Ages and lifetimes are clamped, because the sums of larger ones with a time would overflow.
milliseconds decode_age(const json& number)
{
    const auto count = checked_integer(number, max_int64);
    return milliseconds(std::min<std::uint64_t>(count, milliseconds(max_age).count()));
}

} // namespace

json encode_crash_notice(const crash_notice& notice)
{
    json losses = json::array();
    for (const auto& loss : notice.losses) {
        losses.push_back({loss.loss, loss.explained, loss.age.count(), loss.trial, loss.ran.count()});
    }
    json out{{"k", notice.fingerprint.value}, {"v", notice.version}, {"b", notice.blocked},
             {"t", notice.ttl.count()},       {"p", notice.part},    {"l", std::move(losses)}};
    if (notice.acquitted_age) {
        out["a"] = notice.acquitted_age->count();
    }
    return out;
}

result<crash_notice> decode_crash_notice(const json& row)
{
    try {
        crash_notice notice;
        notice.fingerprint.value = checked_integer(row.at("k"), max_uint64);
        notice.version = checked_integer(row.at("v"), max_uint64);
        notice.blocked = row.at("b").get<bool>();
        notice.ttl = decode_age(row.at("t"));
        notice.part = row.at("p").get<bool>();
        if (row.at("l").size() > crash_record::max_losses) {
            return failure{failure_kind::too_large, "crash notice"};
        }
        for (const auto& loss : row.at("l")) {
            notice.losses.push_back({checked_integer(loss.at(0), max_uint64), loss.at(1).get<bool>(),
                                     decode_age(loss.at(2)), loss.at(3).get<bool>()});
            if (loss.size() > 4) { // daemons of the previous version do not send this field
                notice.losses.back().ran = decode_age(loss.at(4));
            }
        }
        if (row.contains("a")) {
            notice.acquitted_age = decode_age(row.at("a"));
        }
        return notice;
    } catch (const json::exception& problem) {
        return failure{failure_kind::malformed, std::string("crash notice: ") + problem.what()};
    }
}

} // namespace rml
