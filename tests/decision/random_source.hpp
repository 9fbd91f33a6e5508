/// Random choices for property tests. Only the seed comes from rapidcheck, so that one number reproduces a
/// failing run of thousands of choices. The ranges of rapidcheck shrink with the size of the run, which would
/// make rare faults certain in early runs.
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
