/// Sends the arrivals of a schedule to the entries and records how each ended.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/time.hpp"
#include "load/recorder.hpp"
#include "load/schedule.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace rml::load {

struct run_options
{
    schedule_options schedule;
    std::vector<endpoint> entries;         ///< asked for the addresses in use
    std::string call_path;                 ///< "<service>/<path>" of once-only calls
    std::optional<endpoint> service_stats; ///< stand-in whose runs are compared with the answers
    milliseconds deadline{10000};          ///< of one request
    std::size_t in_flight{2000};           ///< further arrivals are not sent
    std::string key_prefix;                ///< of idempotency keys; differs between runs
};

/// Runs on one thread.
class load_run
{
public:
    load_run(boost::asio::io_context& owner, run_options wanted, recorder& results);

    /// Runs the whole schedule. Fails with `unavailable` when no entry answers at the start.
    status run();

private:
    using yield_context = boost::asio::yield_context;

    void send_arrivals(yield_context yield);
    void start(const arrival& next, time_point intended);
    void generate(const arrival& request, time_point intended, yield_context yield);
    void call_once(const arrival& request, const std::string& key, std::size_t entry, yield_context yield);
    verdict read_stream(class entry_call& call, const arrival& request, time_point intended,
                        yield_context yield);
    void note_error(int status, const std::string& body);

    bool update_addresses(yield_context yield);
    void keep_addresses(yield_context yield);
    std::size_t next_entry();
    endpoint entry_at(std::size_t index) const;
    void check_service(yield_context yield);

    boost::asio::io_context& context;
    run_options options;
    recorder& results;
    std::vector<endpoint> addresses;
    milliseconds lifetime{0};
    std::size_t turn{0};
    std::size_t flying{0};
    bool sending{true};
    status outcome{success()};
};

} // namespace rml::load
