#include "load/recorder.hpp"

#include <boost/histogram.hpp>
#include <iomanip>
#include <nlohmann/json.hpp>

namespace rml::load {

namespace {

namespace histogram = boost::histogram;

constexpr unsigned latency_bins = 400; // 4% wide each
constexpr double shortest_ms = 0.05;
constexpr double longest_ms = 300000;
constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.95, 0.99};

using latency_axis = histogram::axis::regular<double, histogram::axis::transform::log>;

auto create_histogram()
{
    return histogram::make_histogram(latency_axis(latency_bins, shortest_ms, longest_ms));
}
using latency_histogram = decltype(create_histogram());

double milliseconds_of(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Upper edge of the bin in which the quantile lies, ms; 0 without samples.
double quantile_of(const latency_histogram& samples, double quantile)
{
    double total = 0;
    for (const auto bin : histogram::indexed(samples, histogram::coverage::all)) {
        total += static_cast<double>(*bin);
    }
    double seen = 0;
    for (const auto bin : histogram::indexed(samples, histogram::coverage::all)) {
        seen += static_cast<double>(*bin);
        if (total > 0 && seen >= quantile * total) {
            return std::min(bin.bin().upper(), longest_ms);
        }
    }
    return 0;
}

std::uint64_t samples_of(const latency_histogram& samples)
{
    double total = 0;
    for (const auto bin : histogram::indexed(samples, histogram::coverage::all)) {
        total += static_cast<double>(*bin);
    }
    return static_cast<std::uint64_t>(total);
}

nlohmann::json json_of(const latency_histogram& samples)
{
    nlohmann::json document{{"samples", samples_of(samples)}};
    for (const auto quantile : quantiles) {
        document["p" + std::to_string(static_cast<int>(quantile * 100))] = quantile_of(samples, quantile);
    }
    return document;
}

void write_times(std::ostream& out, const char* name, const latency_histogram& samples)
{
    out << "  " << std::left << std::setw(16) << name << std::right << std::setw(10) << samples_of(samples);
    for (const auto quantile : quantiles) {
        out << std::setw(11) << quantile_of(samples, quantile);
    }
    out << "\n";
}

} // namespace

once_only_check check_keys(const std::map<std::string, key_history>& histories,
                           const std::map<std::string, std::uint64_t>& runs)
{
    once_only_check check;
    check.checked = true;
    for (const auto& [key, history] : histories) {
        const auto found = runs.find(key);
        const auto count = found == runs.end() ? std::uint64_t{0} : found->second;
        ++check.keys;
        check.run_twice += count > 1 ? 1 : 0;
        check.refused_but_run += count > 0 && history.refused == history.sends ? 1 : 0;
        check.answered_not_run += count == 0 && history.answered > 0 ? 1 : 0;
    }
    return check;
}

struct recorder::latencies
{
    latency_histogram first_token{create_histogram()};
    latency_histogram between_tokens{create_histogram()};
    latency_histogram whole{create_histogram()};
};

recorder::recorder() : times(std::make_unique<latencies>()) {}
recorder::~recorder() = default;

void recorder::record(microseconds arrival, bool once_only, verdict v)
{
    ++(once_only ? this->calls : this->generations)[static_cast<std::size_t>(v)];
    const auto second = static_cast<std::size_t>(std::chrono::duration_cast<seconds>(arrival).count());
    if (this->timeline.size() <= second) {
        this->timeline.resize(second + 1);
    }
    auto& counts = this->timeline[second];
    ++counts.arrivals;
    ++(v == verdict::answered ? counts.answered : v == verdict::refused ? counts.refused : counts.other);
}

void recorder::record_first_token(duration time)
{
    this->times->first_token(milliseconds_of(time));
}

void recorder::record_between_tokens(duration time)
{
    this->times->between_tokens(milliseconds_of(time));
}

void recorder::record_whole(duration time)
{
    this->times->whole(milliseconds_of(time));
}

void recorder::record_refusal(int status, const std::string& kind)
{
    ++this->refusals[std::to_string(status) + " " + kind];
}

void recorder::record_key(const std::string& key, verdict v)
{
    auto& history = this->histories[key];
    ++history.sends;
    history.answered += v == verdict::answered ? 1 : 0;
    // A request that reached no entry was not run either.
    history.refused += v == verdict::refused || v == verdict::no_connection ? 1 : 0;
}

std::uint64_t recorder::count(verdict v) const
{
    const auto index = static_cast<std::size_t>(v);
    return this->generations[index] + this->calls[index];
}

bool recorder::violated() const
{
    return this->count(verdict::foreign) + this->count(verdict::incomplete) + this->once_only.run_twice +
               this->once_only.refused_but_run + this->once_only.answered_not_run >
           0;
}

void recorder::write(std::ostream& out, report_format format) const
{
    switch (format) {
    case report_format::table:
        this->write_table(out);
        break;
    case report_format::json:
        this->write_json(out);
        break;
    case report_format::csv:
        this->write_csv(out);
        break;
    }
}

void recorder::write_table(std::ostream& out) const
{
    out << std::left << std::setw(18) << "outcome" << std::right << std::setw(12) << "generations"
        << std::setw(12) << "calls\n";
    for (std::size_t index = 0; index < verdicts; ++index) {
        out << "  " << std::left << std::setw(16) << to_string(static_cast<verdict>(index)) << std::right
            << std::setw(12) << this->generations[index] << std::setw(11) << this->calls[index] << "\n";
    }
    for (const auto& [refusal, count] : this->refusals) {
        out << "  error answer " << refusal << ": " << count << "\n";
    }
    out << std::left << std::setw(18) << "latency, ms" << std::right << std::setw(10) << "samples";
    for (const auto quantile : quantiles) {
        out << std::setw(11) << "p" + std::to_string(static_cast<int>(quantile * 100));
    }
    out << "\n" << std::fixed << std::setprecision(1);
    write_times(out, "first token", this->times->first_token);
    write_times(out, "between tokens", this->times->between_tokens);
    write_times(out, "whole answer", this->times->whole);
    if (this->once_only.checked) {
        out << "once-only keys: " << this->once_only.keys << ", run twice " << this->once_only.run_twice
            << ", refused but run " << this->once_only.refused_but_run << ", answered but not run "
            << this->once_only.answered_not_run << "\n";
    }
    out << "address updates: " << this->address_updates
        << ", requests moved to another entry: " << this->other_entries << "\n";
}

void recorder::write_json(std::ostream& out) const
{
    nlohmann::json document;
    for (std::size_t index = 0; index < verdicts; ++index) {
        const std::string name(to_string(static_cast<verdict>(index)));
        document["generations"][name] = this->generations[index];
        document["calls"][name] = this->calls[index];
    }
    document["error_answers"] = this->refusals;
    document["first_token_ms"] = json_of(this->times->first_token);
    document["between_tokens_ms"] = json_of(this->times->between_tokens);
    document["whole_answer_ms"] = json_of(this->times->whole);
    document["address_updates"] = this->address_updates;
    document["other_entries"] = this->other_entries;
    document["once_only"] = {{"checked", this->once_only.checked},
                             {"keys", this->once_only.keys},
                             {"run_twice", this->once_only.run_twice},
                             {"refused_but_run", this->once_only.refused_but_run},
                             {"answered_not_run", this->once_only.answered_not_run}};
    for (const auto& counts : this->timeline) {
        document["timeline"].push_back({{"arrivals", counts.arrivals},
                                        {"answered", counts.answered},
                                        {"refused", counts.refused},
                                        {"other", counts.other}});
    }
    out << document.dump(2) << "\n";
}

void recorder::write_csv(std::ostream& out) const
{
    out << "second,arrivals,answered,refused_not_run,other\n";
    for (std::size_t second = 0; second < this->timeline.size(); ++second) {
        const auto& counts = this->timeline[second];
        out << second << ',' << counts.arrivals << ',' << counts.answered << ',' << counts.refused << ','
            << counts.other << "\n";
    }
}

} // namespace rml::load
