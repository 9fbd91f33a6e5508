/// Structured logs: one JSON object per line on a standard stream or in a file, through Boost.Log.
/// Records pass through a bounded queue; when it is full or the rate limit is reached they are dropped and
/// counted, so that neither a slow reader nor a burst of failures slows the request path.
#pragma once

#include "base/failure.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace rml {

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// One key and value of a record.
struct log_field
{
    std::string_view key;
    std::variant<std::string, std::int64_t, double, bool> value;
};

/// Settings of the process's log.
struct log_options
{
    std::string program;
    log_level level{log_level::info};
    std::string file;            ///< empty: a standard stream
    bool standard_output{false}; ///< the standard stream is output instead of error
};

struct log_stats
{
    std::uint64_t written{0};
    std::uint64_t dropped{0};
};

/// Starts the sink. Must be called once in main, before threads start; records logged earlier are discarded.
void start_log(const log_options& options);

/// Flushes and stops the sink.
void stop_log();

log_stats current_log_stats();

/// Writes a record. `event` is a short constant text such as "duty taken over".
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// Fields for a failure: kind and context.
log_field kind_field(const failure& f);
log_field context_field(const failure& f);

/// Parses "debug", "info", "warning" or "error".
result<log_level> parse_log_level(std::string_view text);

} // namespace rml
