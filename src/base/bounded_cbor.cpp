#include "base/bounded_cbor.hpp"

#include <nlohmann/json.hpp>

namespace rml {

namespace {

using nlohmann::json;

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

nlohmann::json decode_bounded_cbor(std::string_view bytes)
{
    depth_checker checker;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &checker, json::input_format_t::cbor)) {
        return json(json::value_t::discarded);
    }
    return json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

} // namespace rml
