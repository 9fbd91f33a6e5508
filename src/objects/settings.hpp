/// Settings of rml-entryd: JSON with comments, strict about unknown, repeated and missing keys.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/log.hpp"

#include <cstdint>
#include <string>

namespace rml {

struct listen_settings
{
    endpoint caller;
    endpoint peer;
    endpoint operators;
};

struct platform_settings
{
    endpoint store;
    endpoint instances;
    endpoint weights;
};

struct log_settings
{
    log_level level{log_level::info};
    std::string file; ///< empty: standard error
};

struct settings
{
    daemon_id daemon;
    region_id region;
    failure_domain_id failure_domain;
    listen_settings listen;
    platform_settings platform;
    std::string peer_secret;
    std::string operator_token;
    std::uint32_t workers{4}; ///< threads; 0: one per core
    log_settings log;
};

/// Fails with `invalid_settings`; the context names the key, what was found and what is allowed.
result<settings> parse_settings(const std::string& text);

} // namespace rml
