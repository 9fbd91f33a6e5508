#include "base/decimal_text.hpp"

#include <catch2/catch.hpp>
#include <string>

using namespace rml;

TEST_CASE("texts of decimal numbers are split at the point", "[base][decimal_text]")
{
    SECTION("without a fraction")
    {
        const auto parts = split_decimal("007");
        REQUIRE(parts);
        CHECK(parts->whole == "007");
        CHECK(parts->fraction.empty());
    }
    SECTION("with a fraction")
    {
        const auto parts = split_decimal("12.50");
        REQUIRE(parts);
        CHECK(parts->whole == "12");
        CHECK(parts->fraction == "50");
    }
    SECTION("anything else is no such number")
    {
        // Guards against a header that is read as a number although it says something else.
        for (const auto* text :
             {"", ".", "5.", ".5", "1.2.3", "-1", "+1", "1e3", "nan", "1,5", " 5", "5 ", "0x10"}) {
            CAPTURE(text);
            CHECK_FALSE(split_decimal(text));
        }
        CHECK_FALSE(split_decimal(std::string("1\0", 2)));
    }
}
