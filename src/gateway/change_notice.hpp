/// Changes of the store that one daemon passes on to the others over UDP, so that a large fleet needs one
/// watch instead of one per daemon. A notice says up to which revision it is complete; who misses one reads
/// the store.
#pragma once

#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "gateway/ports.hpp"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace rml::gateway {

struct change_notice
{
    daemon_id daemon;
    std::uint64_t after{0};    ///< complete for those who know all changes up to this revision
    std::uint64_t revision{0}; ///< of the store, up to which the changes are told
    milliseconds age{0};       ///< since the sender's last answer of the store
    std::vector<store_event> events;
};

/// Notices that fit into datagrams. Changes that are too large for one are left out: the next notice
/// continues after them, so that its receivers read the store. At least one notice, also without events.
std::vector<change_notice> split_changes(std::uint64_t after, std::uint64_t revision,
                                         const std::vector<store_event>& events);

/// CBOR.
std::string encode_notice(const change_notice& notice);
/// Whether a message between daemons is a notice.
bool is_notice(const nlohmann::json& message);
/// Fails with `malformed`.
result<change_notice> decode_notice(const nlohmann::json& message);

} // namespace rml::gateway
