/// Counters, gauges and latency histograms with Prometheus text output.
#pragma once

#include "base/ranked_mutex.hpp"
#include "base/time.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rml {

struct metric_label
{
    std::string name;
    std::string value;
};
using label_list = std::vector<metric_label>;

/// Monotonic counter.
class counter
{
public:
    void add(std::uint64_t count = 1) { this->total.fetch_add(count, std::memory_order_relaxed); }
    std::uint64_t value() const { return this->total.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> total{0};
};

/// Current value of a quantity.
class gauge
{
public:
    void update(std::int64_t level) { this->current.store(level, std::memory_order_relaxed); }
    void add(std::int64_t change) { this->current.fetch_add(change, std::memory_order_relaxed); }
    std::int64_t value() const { return this->current.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> current{0};
};

/// Histogram of latencies between 1 ms and 2 min, rendered in seconds.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;

    void record(microseconds latency);
    std::uint64_t count() const;
    /// Prometheus lines of this series. `labels` is the inner text of the braces, or empty.
    std::string render(const std::string& name, const std::string& labels) const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// All metrics of a process. References to metrics stay valid as long as the registry exists. Creating a
/// metric again with the same name and labels returns the existing one. Series above limits::metric_series
/// share one metric that is not rendered.
class metric_registry
{
public:
    metric_registry() = default;
    metric_registry(const metric_registry&) = delete;
    metric_registry& operator=(const metric_registry&) = delete;

    counter& create_counter(const std::string& name, const std::string& help, const label_list& labels = {});
    gauge& create_gauge(const std::string& name, const std::string& help, const label_list& labels = {});
    latency_histogram& create_histogram(const std::string& name, const std::string& help,
                                        const label_list& labels = {});

    /// Prometheus text format, version 0.0.4.
    std::string render() const;

private:
    template <class Metric>
    struct family
    {
        std::string help;
        std::map<std::string, std::shared_ptr<Metric>> series; ///< by label text
    };
    template <class Metric>
    using family_map = std::map<std::string, family<Metric>>;

    template <class Metric>
    Metric& create(family_map<Metric>& families, Metric& overflow, const std::string& name,
                   const std::string& help, const label_list& labels);

    mutable ranked_mutex mutex{lock_rank::metrics};
    family_map<counter> counters;
    family_map<gauge> gauges;
    family_map<latency_histogram> histograms;
    std::size_t series_count{0};
    counter overflow_counter;
    gauge overflow_gauge;
    latency_histogram overflow_histogram;
};

} // namespace rml
