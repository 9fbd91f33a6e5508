/// Arrivals of an open-loop load: they do not wait for answers, and one seed always gives the same ones.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace rml::load {

/// An account that sends a share of the load.
struct account_share
{
    std::string token;
    double weight{1};
};

struct schedule_options
{
    std::uint64_t seed{1};
    seconds length{10};
    double generations_per_second{20};
    double calls_per_second{0}; ///< once-only service calls
    std::vector<account_share> accounts;
    std::vector<std::string> pools;
    std::size_t prefixes{16};    ///< different cached prefixes
    std::size_t mean_tokens{32}; ///< answers have 1 to 2 * mean - 1 tokens
    double stream_share{0.5};    ///< of the generations
    double twice_share{0.5};     ///< of the calls; sent through two entries
};

enum class arrival_kind
{
    generation,
    call,
};

struct arrival
{
    microseconds at{0}; ///< since the start
    arrival_kind kind{arrival_kind::generation};
    std::size_t number{0};
    std::size_t account{0};
    std::size_t pool{0};
    std::string content; ///< message or body; differs between arrivals
    std::size_t tokens{0};
    bool stream{false};
    bool twice{false};
};

/// Arrivals in order of time, with exponential gaps.
std::vector<arrival> create_schedule(const schedule_options& options);

} // namespace rml::load
