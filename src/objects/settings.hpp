/// Settings of rml-entryd: JSON with comments, strict about unknown, repeated and missing keys.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/json_reader.hpp"
#include "base/log.hpp"

#include <cstdint>
#include <string>
#include <vector>

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

/// Reads the log settings, which have the same form for all daemons.
void read_log_settings(object_reader reader, log_settings& out);
/// All problems in one line.
std::string join_problems(const std::vector<field_problem>& problems);

/// Reads a settings document; `read(reader, out)` reads its fields. Fails with `invalid_settings` when the
/// text is not JSON or a field has a problem, including an unknown field.
template <class Out, class Read>
result<Out> read_settings_document(const std::string& text, Read read)
{
    const auto document = parse_json(text);
    if (failed(document)) {
        return failure{failure_kind::invalid_settings, error(document).context};
    }
    Out out;
    std::vector<field_problem> problems;
    object_reader reader(value(document), "", problems);
    read(reader, out);
    reader.finish();
    if (!problems.empty()) {
        return failure{failure_kind::invalid_settings, join_problems(problems)};
    }
    return out;
}

/// Fails with `invalid_settings`; the context states the key, the value found and the values allowed.
result<settings> parse_settings(const std::string& text);

} // namespace rml
