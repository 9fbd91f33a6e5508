#include "base/bounded_cbor.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace rml {

namespace {

using nlohmann::json;

/// Number of the exceptions for numbers, as in the peer messages.
constexpr int number_error = 500;

/// Counts the nesting depth from parser events and aborts parsing above max_cbor_depth.
class depth_checker final : public nlohmann::json_sax<json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(json::number_integer_t) override { return true; }
    bool number_unsigned(json::number_unsigned_t) override { return true; }
    bool number_float(json::number_float_t, const json::string_t&) override { return true; }
    bool string(json::string_t&) override { return true; }
    bool binary(json::binary_t&) override { return true; }
    bool key(json::string_t&) override { return true; }
    bool start_object(std::size_t) override { return ++this->depth <= max_cbor_depth; }
    bool start_array(std::size_t) override { return ++this->depth <= max_cbor_depth; }
    bool end_object() override { return this->end_container(); }
    bool end_array() override { return this->end_container(); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override
    {
        return false;
    }

private:
    bool end_container()
    {
        --this->depth;
        return true;
    }

    int depth{0};
};

} // namespace

bool has_indefinite_string(std::string_view bytes)
{
    // Every item starts with a head: three bits for its type and five for the form of its argument, which
    // follows in 0, 1, 2, 4 or 8 bytes. The content of a string is skipped.
    constexpr unsigned form_bits = 5;
    constexpr unsigned byte_string = 2;
    constexpr unsigned text_string = 3;
    constexpr unsigned one_byte_argument = 24;
    constexpr unsigned eight_byte_argument = 27;
    constexpr unsigned indefinite = 31;
    while (!bytes.empty()) {
        const auto head = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        const unsigned type = head >> form_bits;
        const unsigned form = head & ((1U << form_bits) - 1U);
        const bool string = type == byte_string || type == text_string;
        if (string && form == indefinite) {
            return true;
        }
        std::uint64_t argument = form;
        if (form >= one_byte_argument && form <= eight_byte_argument) {
            argument = 0;
            for (auto left = std::size_t{1} << (form - one_byte_argument); left > 0 && !bytes.empty();
                 --left) {
                argument = (argument << 8U) | static_cast<unsigned char>(bytes.front());
                bytes.remove_prefix(1);
            }
        }
        if (string) {
            bytes.remove_prefix(static_cast<std::size_t>(std::min<std::uint64_t>(argument, bytes.size())));
        }
    }
    return false;
}

nlohmann::json decode_bounded_cbor(std::string_view bytes)
{
    if (has_indefinite_string(bytes)) {
        return json(json::value_t::discarded);
    }
    depth_checker checker;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &checker, json::input_format_t::cbor)) {
        return json(json::value_t::discarded);
    }
    return json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

std::uint64_t checked_integer(const nlohmann::json& number, std::uint64_t maximum)
{
    if (!number.is_number_unsigned() || number.get<std::uint64_t>() > maximum) {
        throw json::other_error::create(number_error, "integer out of range", &number);
    }
    return number.get<std::uint64_t>();
}

double checked_amount(const nlohmann::json& number)
{
    if (!number.is_number() || !std::isfinite(number.get<double>()) || number.get<double>() < 0) {
        throw json::other_error::create(number_error, "number is negative or not finite", &number);
    }
    return number.get<double>();
}

} // namespace rml
