#include "base/log.hpp"

#include "base/limits.hpp"
#include "base/time.hpp"

#include <algorithm>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_file_backend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <fstream>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>

namespace rml {

namespace {

namespace sinks = boost::log::sinks;
using queue_policy = sinks::bounded_fifo_queue<limits::log_queue_records, sinks::drop_on_overflow>;
using sink_type = sinks::asynchronous_sink<sinks::text_ostream_backend, queue_policy>;

/// Token bucket of one second's worth of lines.
class line_budget
{
public:
    bool take(time_point now)
    {
        const std::lock_guard guard(this->mutex);
        const std::chrono::duration<double> elapsed = now - this->last;
        this->last = now;
        this->tokens = std::min(limits::log_lines_per_second,
                                this->tokens + elapsed.count() * limits::log_lines_per_second);
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    std::mutex mutex;
    double tokens{limits::log_lines_per_second};
    time_point last{steady_clock::now()};
};

struct log_state
{
    boost::shared_ptr<sink_type> sink;
    std::string program;
    std::atomic<int> level{static_cast<int>(log_level::info)};
    std::atomic<bool> started{false};
    std::atomic<std::uint64_t> written{0};
    std::atomic<std::uint64_t> dropped{0};
    line_budget budget;
};

log_state& state()
{
    static log_state instance;
    return instance;
}

std::string_view level_name(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "unknown";
}

std::string format_line(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    const auto wall =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    nlohmann::ordered_json line;
    line["time_ms"] = wall.count();
    line["level"] = level_name(level);
    line["program"] = state().program;
    line["event"] = event;
    for (const auto& field : fields) {
        std::visit([&](const auto& value) { line[std::string(field.key)] = value; }, field.value);
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void start_log(const log_options& options)
{
    auto& current = state();
    current.program = options.program;
    current.level = static_cast<int>(options.level);
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    if (options.file.empty()) {
        backend->add_stream(boost::shared_ptr<std::ostream>(options.standard_output ? &std::cout : &std::clog,
                                                            boost::null_deleter()));
    } else {
        backend->add_stream(boost::make_shared<std::ofstream>(options.file, std::ios::app));
    }
    backend->auto_flush(true);
    current.sink = boost::make_shared<sink_type>(backend);
    boost::log::core::get()->add_sink(current.sink);
    current.started = true;
}

void stop_log()
{
    auto& current = state();
    if (!current.started.exchange(false)) {
        return;
    }
    boost::log::core::get()->remove_sink(current.sink);
    current.sink->stop();
    current.sink->flush();
    current.sink.reset();
}

log_stats current_log_stats()
{
    return log_stats{state().written.load(), state().dropped.load()};
}

void log(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    auto& current = state();
    if (!current.started || static_cast<int>(level) < current.level) {
        return;
    }
    if (!current.budget.take(steady_clock::now())) {
        ++current.dropped;
        return;
    }
    thread_local boost::log::sources::logger logger;
    if (auto record = logger.open_record()) {
        boost::log::record_ostream stream(record);
        stream << format_line(level, event, fields);
        stream.flush();
        logger.push_record(std::move(record));
        ++current.written;
    }
}

log_field kind_field(const failure& f)
{
    return log_field{"failure", std::string(to_string(f.kind))};
}

log_field context_field(const failure& f)
{
    return log_field{"context", f.context};
}

result<log_level> parse_log_level(std::string_view text)
{
    for (const auto level : {log_level::debug, log_level::info, log_level::warning, log_level::error}) {
        if (text == level_name(level)) {
            return level;
        }
    }
    return failure{failure_kind::invalid_settings, "log level must be debug, info, warning or error"};
}

} // namespace rml
