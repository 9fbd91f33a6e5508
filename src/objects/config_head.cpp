#include "objects/config_head.hpp"

#include "base/json_reader.hpp"
#include "base/limits.hpp"

namespace rml {

namespace {

using nlohmann::json;

constexpr field_rule text_rule{0, 256};

struct decoded_envelope
{
    published_set published;
    json objects;
};

result<decoded_envelope> decode_envelope(std::string_view bytes)
{
    if (bytes.size() > limits::store_value_bytes) {
        return failure{failure_kind::too_large,
                       "published set of " + std::to_string(bytes.size()) + " bytes"};
    }
    auto document = parse_cbor(bytes);
    if (failed(document)) {
        return error(document);
    }
    std::vector<field_problem> problems;
    object_reader reader(value(document), "", problems);
    decoded_envelope envelope;
    std::uint64_t version = 0;
    reader.required("v", version, field_rule{object_codec_version, object_codec_version});
    reader.required("generation", envelope.published.set.generation, field_rule{1});
    reader.required("attempt", envelope.published.attempt_id, not_empty);
    reader.optional("author", envelope.published.author, text_rule);
    reader.optional("published_ms", envelope.published.published_at);
    reader.skip("objects");
    reader.finish();
    if (!problems.empty() || !reader.has("objects")) {
        return failure{failure_kind::malformed,
                       "published set: " + (problems.empty() ? "no objects" : to_string(problems.front()))};
    }
    envelope.objects = std::move(value(document)["objects"]);
    return envelope;
}

} // namespace

std::string config_set_key(std::uint64_t generation)
{
    return "config/set/" + std::to_string(generation);
}

std::string encode_config_head(const config_head& head)
{
    json document{{"generation", head.generation}, {"digest", head.digest}, {"attempt", head.attempt_id}};
    if (!head.fence.empty()) {
        document["fence"] = head.fence;
    }
    return document.dump(-1, ' ', true, json::error_handler_t::replace);
}

result<config_head> decode_config_head(std::string_view bytes)
{
    const auto document = parse_json(bytes);
    if (failed(document)) {
        return error(document);
    }
    std::vector<field_problem> problems;
    object_reader reader(value(document), "", problems);
    config_head head;
    reader.required("generation", head.generation);
    reader.required("digest", head.digest, text_rule);
    reader.required("attempt", head.attempt_id, text_rule);
    reader.optional("fence", head.fence, text_rule);
    reader.finish();
    if (!problems.empty()) {
        return failure{failure_kind::malformed, "config head: " + to_string(problems.front())};
    }
    return head;
}

result<std::string> encode_published_set(const published_set& published)
{
    auto list = json::array();
    for (auto& entry : to_documents(published.set)) {
        list.push_back(std::move(entry.second));
    }
    auto bytes = to_cbor_bytes({{"v", object_codec_version},
                                {"generation", published.set.generation},
                                {"attempt", published.attempt_id},
                                {"author", published.author},
                                {"published_ms", published.published_at.count()},
                                {"objects", std::move(list)}});
    if (bytes.size() > limits::store_value_bytes) {
        return failure{failure_kind::too_large, "published set of " + std::to_string(bytes.size()) +
                                                    " bytes, allowed " +
                                                    std::to_string(limits::store_value_bytes)};
    }
    return bytes;
}

result<published_set> decode_published_set(std::string_view bytes)
{
    auto envelope = decode_envelope(bytes);
    if (failed(envelope)) {
        return error(envelope);
    }
    auto& published = value(envelope).published;
    auto set = decode_object_list(value(envelope).objects, published.set.generation);
    if (failed(set)) {
        return error(set);
    }
    published.set = value(std::move(set));
    return std::move(published);
}

result<published_set> decode_publication(std::string_view bytes)
{
    auto envelope = decode_envelope(bytes);
    if (failed(envelope)) {
        return error(envelope);
    }
    return std::move(value(envelope).published);
}

} // namespace rml
