/// Random choices of a property. Only the seed is drawn from rapidcheck: its own ranges shrink with the size
/// of the run, which makes rare faults certain in early runs, and a failing run of thousands of choices is
/// reproduced by one number.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <random>
#include <rapidcheck.h>

namespace rml {

class random_source
{
public:
    random_source()
        : engine(*rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>())))
    {
    }

    std::uint64_t bits() { return this->engine(); }
    /// Uniform in [0, bound).
    std::size_t below(std::size_t bound) { return static_cast<std::size_t>(this->engine() % bound); }
    bool one_in(std::size_t n) { return this->below(n) == 0; }
    int pick(std::initializer_list<int> values)
    {
        return *(values.begin() + static_cast<std::ptrdiff_t>(this->below(values.size())));
    }

private:
    std::mt19937_64 engine;
};

} // namespace rml
