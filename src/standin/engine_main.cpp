#include "standin/engine.hpp"
#include "standin/standin.hpp"

#include <chrono>
#include <iostream>
#include <sstream>

namespace {

using namespace rml;

/// Values of the command line that need a conversion.
struct engine_flags
{
    std::string instances{"engine-1"};
    std::string weights;
    std::int64_t batch{8};
    std::int64_t queue{64};
    std::int64_t step{20};
    std::int64_t prefill{60};
    std::int64_t load{500};
    std::int64_t cold_slots{2};
    std::int64_t warm_step{1000};
    std::int64_t restart{500};
    std::int64_t cache_entries{64};
    std::int64_t cache_event_delay{300};
    std::int64_t cache_event_gap{7};
    std::int64_t status_lag{300};
    bool fenced{false};
    bool no_member_check{false};
    bool report_warm_slots{false};
    std::string crash_marker{"crash-the-engine"};
};

void add_flags(command_line& line, engine_flags& flags)
{
    line.add("instances", flags.instances, "Names of the engines, separated by commas; one port each");
    line.add("weights", flags.weights, "Address of the weight store; without it loads take --load-ms");
    line.add("batch", flags.batch, "Requests that run at once");
    line.add("queue", flags.queue, "Requests that wait; more are answered 429");
    line.add("step-ms", flags.step, "Time of one token of every running request");
    line.add("prefill-ms", flags.prefill, "Time before the first token when the prefix is not cached");
    line.add("load-ms", flags.load, "Time of a load without a weight store");
    line.add("cold-slots", flags.cold_slots,
             "Running requests borne after a load; more make the engine restart");
    line.add("warm-step-ms", flags.warm_step, "Time after which twice as many are borne; 0: never cold");
    line.add("restart-ms", flags.restart, "Time in which a restarting engine drops connections");
    line.add("cache-entries", flags.cache_entries, "Prefixes in the cache");
    line.add("cache-event-delay-ms", flags.cache_event_delay, "Age at which cache events become visible");
    line.add("cache-event-gap", flags.cache_event_gap, "Every n-th cache event is missing; 0: none");
    line.add("status-lag-ms", flags.status_lag, "Age of the load figures in /status");
    line.add("fenced", flags.fenced, "Refuse orders with an old fencing number");
    line.add("no-member-check", flags.no_member_check, "Run requests although a member is missing");
    line.add("report-warm-slots", flags.report_warm_slots, "Report in /status how many requests are borne");
    line.add("crash-marker", flags.crash_marker, "Text in a prompt that restarts the engine");
}

standin::engine_options convert(const engine_flags& flags)
{
    standin::engine_options options;
    // A process that starts again must not repeat an incarnation, and keeps no state.
    options.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
    options.batch = static_cast<std::size_t>(flags.batch);
    options.queue = static_cast<std::size_t>(flags.queue);
    options.step = milliseconds(flags.step);
    options.prefill = milliseconds(flags.prefill);
    options.load = milliseconds(flags.load);
    options.cold_slots = static_cast<std::size_t>(flags.cold_slots);
    options.warm_step = milliseconds(flags.warm_step);
    options.restart = milliseconds(flags.restart);
    options.cache_entries = static_cast<std::size_t>(flags.cache_entries);
    options.cache_event_delay = milliseconds(flags.cache_event_delay);
    options.cache_event_gap = static_cast<std::uint64_t>(flags.cache_event_gap);
    options.status_lag = milliseconds(flags.status_lag);
    options.fenced = flags.fenced;
    options.member_check = !flags.no_member_check;
    options.reports_warm_slots = flags.report_warm_slots;
    options.crash_marker = flags.crash_marker;
    return options;
}

result<std::vector<standin::engine_options>> read_engines(const engine_flags& flags)
{
    auto options = convert(flags);
    if (!flags.weights.empty()) {
        const auto weights = parse_endpoint(flags.weights);
        if (failed(weights)) {
            return error(weights);
        }
        options.weights = value(weights);
    }
    std::vector<standin::engine_options> engines;
    std::istringstream names(flags.instances);
    for (std::string name; std::getline(names, name, ',');) {
        options.instance = instance_id(name);
        engines.push_back(options);
    }
    return engines;
}

} // namespace

int main(int argc, char** argv)
{
    command_line line("rml-standin-engine", standin::engine_host::fault_help());
    engine_flags flags;
    add_flags(line, flags);
    boost::asio::io_context context(1);
    std::unique_ptr<standin::engine_host> host;
    return standin::run_program(context, line, argc, const_cast<const char**>(argv),
                                [&](const endpoint& listen) -> result<std::vector<endpoint>> {
                                    const auto engines = read_engines(flags);
                                    if (failed(engines)) {
                                        return error(engines);
                                    }
                                    auto created =
                                        standin::engine_host::create(context, listen, value(engines));
                                    if (failed(created)) {
                                        return error(created);
                                    }
                                    host = value(std::move(created));
                                    return host->locals();
                                });
}
