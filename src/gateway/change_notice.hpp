/// Store changes that the manager forwards to the other daemons over UDP, so that a large fleet needs one
/// watch instead of one per daemon. A notice names the revisions that it covers; a daemon that misses one
/// reads the store.
#pragma once

#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "gateway/ports.hpp"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace rml::gateway {

/// The part of the daemons to which a receiver forwards a notice.
struct notice_slice
{
    std::uint32_t index{0};
    std::uint32_t count{1};

    bool contains(const daemon_id& daemon) const;
};

struct change_notice
{
    daemon_id daemon;
    std::uint64_t after{0};    ///< the notice is complete for receivers that know all changes up to this
    std::uint64_t revision{0}; ///< last revision that the notice covers
    milliseconds age{0};       ///< since the store last answered the sender
    std::vector<store_event> events;
    std::optional<notice_slice> slice{}; ///< the receiver forwards the notice to these daemons
};

/// Splits changes into notices that fit into datagrams. Omits changes that are too large for one: the next
/// notice starts after them, and the gap makes its receivers read the store. Returns at least one notice,
/// also without events.
std::vector<change_notice> split_changes(std::uint64_t after, std::uint64_t revision,
                                         const std::vector<store_event>& events);

/// CBOR.
std::string encode_notice(const change_notice& notice);
/// Whether a message between daemons is a notice.
bool is_notice(const nlohmann::json& message);
/// Fails with `malformed`.
result<change_notice> decode_notice(const nlohmann::json& message);

} // namespace rml::gateway
