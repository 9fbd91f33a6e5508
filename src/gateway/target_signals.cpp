#include "gateway/target_signals.hpp"

namespace rml::gateway {

namespace {

constexpr const char* leaving_value = "1";
constexpr const char* pause_header = "Retry-After";
/// 503 Service Unavailable: the only status with which a target asks for a pause.
constexpr int unavailable_status = 503;

} // namespace

target_signals read_signals(const http::response& answer, const header_names& names)
{
    target_signals out;
    out.leaving = http::find_header(answer.headers, names.leaving) == leaving_value;
    out.request_limit = http::find_header(answer.headers, names.request_limit);
    if (answer.status == unavailable_status) {
        out.pause = http::find_header(answer.headers, pause_header);
    }
    return out;
}

} // namespace rml::gateway
