#include "base/metrics.hpp"

#include "base/limits.hpp"

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <mutex>
#include <sstream>

namespace rml {

namespace {

namespace bh = boost::histogram;

constexpr double microseconds_per_second = 1e6;

/// Bucket edges in seconds; denser around the targets of 27 ms between tokens and 0.56 s to the first token.
const std::vector<double>& bucket_edges()
{
    static const std::vector<double> edges{
        0.001, 0.002, 0.005, 0.010, 0.015, 0.020, 0.027, 0.035, 0.050, 0.075, 0.100, 0.150, 0.200, 0.300,
        0.400, 0.560, 0.750, 1.0,   1.5,   2.0,   3.0,   5.0,   10.0,  20.0,  40.0,  60.0,  90.0,  120.0};
    return edges;
}

using edge_axis = bh::axis::variable<double>;
using bucket_storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using bucket_histogram = bh::histogram<std::tuple<edge_axis>, bucket_storage>;

std::string escape(const std::string& text)
{
    std::string out;
    for (const char c : text) {
        if (c == '\\' || c == '"') {
            out.push_back('\\');
        }
        if (c == '\n') {
            out += "\\n";
        } else {
            out.push_back(c);
        }
    }
    return out;
}

std::string label_text(const label_list& labels)
{
    std::string out;
    for (const auto& label : labels) {
        out += (out.empty() ? "" : ",") + label.name + "=\"" + escape(label.value) + "\"";
    }
    return out;
}

std::string braced(const std::string& labels)
{
    return labels.empty() ? std::string{} : "{" + labels + "}";
}

void render_header(std::ostream& out, const std::string& name, const std::string& help, const char* type)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
}

/// Renders all families of counters or gauges.
template <class Families>
void render_values(std::ostream& out, const Families& families, const char* type)
{
    for (const auto& [name, family] : families) {
        render_header(out, name, family.help, type);
        for (const auto& [labels, metric] : family.series) {
            out << name << braced(labels) << ' ' << metric->value() << '\n';
        }
    }
}

} // namespace

struct latency_histogram::state
{
    bucket_histogram buckets = bh::make_histogram_with(bucket_storage(), edge_axis(bucket_edges()));
    std::atomic<std::uint64_t> sum{0}; ///< microseconds
};

latency_histogram::latency_histogram() : inner(std::make_unique<state>()) {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(microseconds latency)
{
    const auto count = latency.count() < 0 ? 0 : latency.count();
    this->inner->buckets(static_cast<double>(count) / microseconds_per_second);
    this->inner->sum.fetch_add(static_cast<std::uint64_t>(count), std::memory_order_relaxed);
}

std::uint64_t latency_histogram::count() const
{
    std::uint64_t total = 0;
    for (const auto& bucket : this->inner->buckets) {
        total += bucket.load();
    }
    return total;
}

std::string latency_histogram::render(const std::string& name, const std::string& labels) const
{
    std::ostringstream out;
    const auto prefix = labels.empty() ? std::string{} : labels + ",";
    std::uint64_t cumulative = 0;
    int index = -1; // underflow bin: values below the first edge
    for (const double edge : bucket_edges()) {
        cumulative += this->inner->buckets.at(index++).load();
        out << name << "_bucket{" << prefix << "le=\"" << edge << "\"} " << cumulative << '\n';
    }
    cumulative += this->inner->buckets.at(index).load();
    out << name << "_bucket{" << prefix << "le=\"+Inf\"} " << cumulative << '\n';
    out << name << "_sum" << braced(labels) << ' '
        << static_cast<double>(this->inner->sum.load()) / microseconds_per_second << '\n';
    out << name << "_count" << braced(labels) << ' ' << cumulative << '\n';
    return out.str();
}

template <class Metric>
Metric& metric_registry::create(family_map<Metric>& families, Metric& overflow, const std::string& name,
                                const std::string& help, const label_list& labels)
{
    const auto text = label_text(labels);
    const std::scoped_lock lock(this->mutex);
    auto& members = families[name];
    if (members.help.empty()) {
        members.help = help;
    }
    auto& series_entry = members.series[text];
    if (!series_entry) {
        if (this->series_count >= limits::metric_series) {
            members.series.erase(text);
            return overflow;
        }
        series_entry = std::make_shared<Metric>();
        ++this->series_count;
    }
    return *series_entry;
}

counter& metric_registry::create_counter(const std::string& name, const std::string& help,
                                         const label_list& labels)
{
    return this->create(this->counters, this->overflow_counter, name, help, labels);
}

gauge& metric_registry::create_gauge(const std::string& name, const std::string& help,
                                     const label_list& labels)
{
    return this->create(this->gauges, this->overflow_gauge, name, help, labels);
}

latency_histogram& metric_registry::create_histogram(const std::string& name, const std::string& help,
                                                     const label_list& labels)
{
    return this->create(this->histograms, this->overflow_histogram, name, help, labels);
}

std::string metric_registry::render() const
{
    std::ostringstream out;
    const std::scoped_lock lock(this->mutex);
    render_values(out, this->counters, "counter");
    render_values(out, this->gauges, "gauge");
    for (const auto& [name, family] : this->histograms) {
        render_header(out, name, family.help, "histogram");
        for (const auto& [labels, metric] : family.series) {
            out << metric->render(name, labels);
        }
    }
    return out.str();
}

} // namespace rml
