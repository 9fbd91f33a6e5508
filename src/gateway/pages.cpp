#include "gateway/pages.hpp"

#include "base/log.hpp"

#include <algorithm>

namespace rml::gateway {

namespace {

/// Most addresses that an answer may name.
constexpr std::size_t longest_address_list = 64;

void send(http::response_writer& writer, const http::response& answer)
{
    if (const auto sent = writer.send(answer); failed(sent)) {
        log(log_level::debug, "page not delivered", {context_field(error(sent))});
    }
}

} // namespace

std::vector<endpoint> entry_addresses(const fleet_state& fleet, const endpoint& own, bool own_ready,
                                      time_point now)
{
    std::vector<endpoint> out;
    std::vector<endpoint> silent;
    if (own_ready) {
        out.push_back(own);
    }
    for (const auto& [daemon, peer] : fleet.peers()) {
        if (daemon == fleet.self || peer.caller_address.port == 0) {
            continue;
        }
        const bool heard_in_this_life = peer.last.started_ms >= peer.started_ms && peer.heard != time_point{};
        if (fleet.live(peer, now) && heard_in_this_life) {
            if (peer.last.ready && !peer.last.leaving) {
                out.push_back(peer.caller_address);
            }
        } else if (peer.registered && !(heard_in_this_life && peer.last.leaving)) {
            silent.push_back(peer.caller_address);
        }
    }
    if (out.empty()) {
        out = std::move(silent);
    }
    if (out.size() > longest_address_list) {
        out.resize(longest_address_list);
    }
    return out;
}

void readiness_page::handle(const http::request&, http::response_writer& writer, http::yield_context)
{
    send(writer, http::json_response(this->ready() ? 200 : 503, "{}"));
}

void entries_page::handle(const http::request& message, http::response_writer& writer, http::yield_context)
{
    if (http::path_of(message.target) != "/resolve") {
        return send(writer, http::json_response(404, "{}"));
    }
    const auto known = this->addresses();
    if (known.empty()) {
        return send(writer, http::json_response(503, "{}"));
    }
    send(writer, http::json_response(200, this->encoder.encode_entry_addresses(known, this->lifetime)));
}

void metrics_page::handle(const http::request&, http::response_writer& writer, http::yield_context)
{
    send(writer,
         http::response{200, {{"content-type", "text/plain; version=0.0.4"}}, this->metrics.render()});
}

} // namespace rml::gateway
