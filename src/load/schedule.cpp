#include "load/schedule.hpp"

#include "model/token_stream.hpp"

#include <algorithm>
#include <random>

namespace rml::load {

namespace {

using generator = std::mt19937_64;

std::string content_of(std::size_t prefix, std::size_t number)
{
    auto text = "prefix " + std::to_string(prefix) + " ";
    // Longer than the cached prefix, so that the number behind it does not change the prefix.
    text.resize(prefix_bytes, '.');
    return text + " question " + std::to_string(number);
}

void add_arrivals(std::vector<arrival>& arrivals, const schedule_options& options, arrival_kind kind,
                  double rate, generator& random)
{
    if (rate <= 0) {
        return;
    }
    std::vector<double> weights;
    for (const auto& account : options.accounts) {
        weights.push_back(account.weight);
    }
    std::exponential_distribution<double> gap(rate);
    std::discrete_distribution<std::size_t> account(weights.begin(), weights.end());
    std::uniform_int_distribution<std::size_t> prefix(0, std::max<std::size_t>(options.prefixes, 1) - 1);
    std::uniform_int_distribution<std::size_t> tokens(1,
                                                      std::max<std::size_t>(2 * options.mean_tokens, 2) - 1);
    std::uniform_int_distribution<std::size_t> pool(0, std::max<std::size_t>(options.pools.size(), 1) - 1);
    std::uniform_real_distribution<double> share(0, 1);
    const double length = static_cast<double>(options.length.count());
    std::size_t number = 0;
    for (double at = gap(random); at < length; at += gap(random)) {
        arrival next;
        next.at = std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(at));
        next.kind = kind;
        next.number = number++;
        next.account = account(random);
        next.pool = pool(random);
        next.content = content_of(prefix(random), next.number);
        next.tokens = tokens(random);
        next.stream = share(random) < options.stream_share;
        next.twice = share(random) < options.twice_share;
        arrivals.push_back(std::move(next));
    }
}

} // namespace

std::vector<arrival> create_schedule(const schedule_options& options)
{
    std::vector<arrival> arrivals;
    generator generations(options.seed);
    generator calls(options.seed + 1);
    add_arrivals(arrivals, options, arrival_kind::generation, options.generations_per_second, generations);
    add_arrivals(arrivals, options, arrival_kind::call, options.calls_per_second, calls);
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const arrival& a, const arrival& b) { return a.at < b.at; });
    return arrivals;
}

} // namespace rml::load
