#include "peer/messages.hpp"

#include "base/bounded_cbor.hpp"
#include "base/limits.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace rml::peer {

namespace {

using nlohmann::json;

// Field names are short because summaries and digests are sent every second.
constexpr const char* type_field = "t";
constexpr std::size_t packed_mark_bytes = 6; // key hash and sequence, little endian

json bytes_of(const std::string& text)
{
    return json::binary({text.begin(), text.end()});
}

std::string text_of(const json& document)
{
    const auto& binary = document.get_binary();
    return {binary.begin(), binary.end()};
}

json to_document(const challenge_message& m)
{
    return {{type_field, "challenge"}, {"v", m.version}, {"nonce", m.nonce}};
}

json to_document(const hello_message& m)
{
    return {{type_field, "hello"},      {"v", m.version},
            {"daemon", m.daemon.str()}, {"inc", m.incarnation},
            {"region", m.region.str()}, {"domain", m.failure_domain.str()},
            {"gen", m.generation},      {"purpose", static_cast<int>(m.purpose)},
            {"nonce", m.nonce},         {"mac", m.mac}};
}

json to_document(const keepalive_message& m)
{
    return {{type_field, "k"}, {"g", m.generation}};
}

json to_document(const config_request_message&)
{
    return {{type_field, "config_ask"}};
}

json to_document(const push_message& m)
{
    json items = json::array();
    for (const auto& entry : m.items) {
        items.push_back(json::array({entry.key, entry.version.major, entry.version.minor,
                                     static_cast<int>(entry.kind), bytes_of(entry.payload)}));
    }
    return {{type_field, "p"}, {"i", std::move(items)}};
}

json to_document(const prune_message&)
{
    return {{type_field, "prune"}};
}

json to_document(const summary_message& m)
{
    std::string packed;
    for (const auto& mark : m.periodic) {
        for (const unsigned shift : {0U, 8U, 16U, 24U}) {
            packed += static_cast<char>(mark.key_hash >> shift);
        }
        packed += static_cast<char>(mark.sequence);
        packed += static_cast<char>(mark.sequence >> 8U);
    }
    return {{type_field, "s"}, {"h", m.durable_hash}, {"p", bytes_of(packed)}};
}

json to_document(const graft_message& m)
{
    json known = json::array();
    for (const auto& [key, version] : m.known) {
        known.push_back(json::array({key, version.major, version.minor}));
    }
    return {{type_field, "graft"}, {"d", m.durable}, {"k", std::move(known)}, {"p", m.periodic}};
}

json to_document(const observe_message& m)
{
    return {{type_field, "o"}, {"d", m.failure_domain.str()}, {"r", bytes_of(m.reports)}};
}

json to_document(const observe_request_message& m)
{
    return {{type_field, "observe_ask"}, {"d", m.failure_domain.str()}};
}

json to_document(const slot_request& m)
{
    return {{type_field, "slot_ask"},           {"ask", m.request_id},
            {"group", m.target.str()},          {"inc", m.incarnation},
            {"kind", static_cast<int>(m.kind)}, {"n", m.count}};
}

json to_document(const slot_grant& m)
{
    return {{type_field, "slot_grant"},
            {"ask", m.request_id},
            {"n", m.count},
            {"ms", m.ttl.count()},
            {"warm", m.warm}};
}

json to_document(const slot_release& m)
{
    return {{type_field, "slot_release"},
            {"ask", m.request_id},
            {"group", m.target.str()},
            {"inc", m.incarnation},
            {"kind", static_cast<int>(m.kind)},
            {"n", m.released},
            {"ok", m.succeeded},
            {"bad", m.failed}};
}

json to_document(const quota_request& m)
{
    return {{type_field, "quota_ask"}, {"ask", m.request_id}, {"account", m.account.str()}, {"rate", m.rate}};
}

json to_document(const quota_grant& m)
{
    return {{type_field, "quota_grant"},
            {"ask", m.request_id},
            {"account", m.account.str()},
            {"rate", m.rate},
            {"ms", m.ttl.count()}};
}

/// Converts a number to an enumerator. Throws when the number is outside 0 to `highest`.
template <class Enum>
Enum checked_enum(const json& document, Enum highest)
{
    const auto number = document.get<int>();
    if (number < 0 || number > static_cast<int>(highest)) {
        throw json::other_error::create(500, "enumerator out of range", &document);
    }
    return static_cast<Enum>(number);
}

message decode_challenge(const json& d)
{
    return challenge_message{d.at("v").get<int>(), d.at("nonce").get<std::string>()};
}

message decode_hello(const json& d)
{
    hello_message m;
    m.version = d.at("v").get<int>();
    m.daemon = daemon_id(d.at("daemon").get<std::string>());
    m.incarnation = d.at("inc").get<std::uint64_t>();
    m.region = region_id(d.at("region").get<std::string>());
    m.failure_domain = failure_domain_id(d.at("domain").get<std::string>());
    m.generation = d.at("gen").get<std::uint64_t>();
    m.purpose = checked_enum(d.at("purpose"), link_purpose::direct);
    m.nonce = d.at("nonce").get<std::string>();
    m.mac = d.at("mac").get<std::string>();
    return m;
}

message decode_push(const json& d)
{
    push_message m;
    for (const auto& entry : d.at("i")) {
        m.items.push_back(item{entry.at(0).get<std::string>(),
                               {entry.at(1).get<std::uint64_t>(), entry.at(2).get<std::uint64_t>()},
                               checked_enum(entry.at(3), item_class::transient),
                               text_of(entry.at(4))});
    }
    return m;
}

message decode_summary(const json& d)
{
    summary_message m;
    m.durable_hash = d.at("h").get<std::uint64_t>();
    const auto& packed = d.at("p").get_binary();
    if (packed.size() % packed_mark_bytes != 0) {
        throw json::other_error::create(500, "summary length is not a multiple of the mark length", &d);
    }
    for (std::size_t at = 0; at < packed.size(); at += packed_mark_bytes) {
        const auto byte = [&](std::size_t offset) { return static_cast<std::uint32_t>(packed[at + offset]); };
        m.periodic.push_back({byte(0) | byte(1) << 8U | byte(2) << 16U | byte(3) << 24U,
                              static_cast<std::uint16_t>(byte(4) | byte(5) << 8U)});
    }
    return m;
}

message decode_graft(const json& d)
{
    graft_message m;
    m.durable = d.at("d").get<bool>();
    for (const auto& entry : d.at("k")) {
        m.known.emplace_back(
            entry.at(0).get<std::uint64_t>(),
            item_version{entry.at(1).get<std::uint64_t>(), entry.at(2).get<std::uint64_t>()});
    }
    m.periodic = d.at("p").get<std::vector<std::uint32_t>>();
    return m;
}

message decode_slot_request(const json& d)
{
    return slot_request{d.at("ask").get<std::uint64_t>(), group_id(d.at("group").get<std::string>()),
                        d.at("inc").get<std::uint64_t>(), checked_enum(d.at("kind"), slot_kind::trial),
                        d.at("n").get<std::uint32_t>()};
}

message decode_slot_grant(const json& d)
{
    return slot_grant{d.at("ask").get<std::uint64_t>(), d.at("n").get<std::uint32_t>(),
                      milliseconds(d.at("ms").get<std::int64_t>()), d.at("warm").get<bool>()};
}

message decode_slot_release(const json& d)
{
    return slot_release{d.at("ask").get<std::uint64_t>(), group_id(d.at("group").get<std::string>()),
                        d.at("inc").get<std::uint64_t>(), checked_enum(d.at("kind"), slot_kind::trial),
                        d.at("n").get<std::uint32_t>(),   d.at("ok").get<std::uint32_t>(),
                        d.at("bad").get<std::uint32_t>()};
}

message decode_quota_request(const json& d)
{
    return quota_request{d.at("ask").get<std::uint64_t>(), account_id(d.at("account").get<std::string>()),
                         d.at("rate").get<double>()};
}

message decode_quota_grant(const json& d)
{
    return quota_grant{d.at("ask").get<std::uint64_t>(), account_id(d.at("account").get<std::string>()),
                       d.at("rate").get<double>(), milliseconds(d.at("ms").get<std::int64_t>())};
}

result<message> from_document(const json& d)
{
    const auto type = d.at(type_field).get<std::string>();
    if (type == "p") {
        return decode_push(d);
    }
    if (type == "s") {
        return decode_summary(d);
    }
    if (type == "k") {
        return message{keepalive_message{d.at("g").get<std::uint64_t>()}};
    }
    if (type == "o") {
        return message{observe_message{failure_domain_id(d.at("d").get<std::string>()), text_of(d.at("r"))}};
    }
    if (type == "observe_ask") {
        return message{observe_request_message{failure_domain_id(d.at("d").get<std::string>())}};
    }
    if (type == "graft") {
        return decode_graft(d);
    }
    if (type == "prune") {
        return message{prune_message{}};
    }
    if (type == "slot_ask") {
        return decode_slot_request(d);
    }
    if (type == "slot_grant") {
        return decode_slot_grant(d);
    }
    if (type == "slot_release") {
        return decode_slot_release(d);
    }
    if (type == "quota_ask") {
        return decode_quota_request(d);
    }
    if (type == "quota_grant") {
        return decode_quota_grant(d);
    }
    if (type == "config_ask") {
        return message{config_request_message{}};
    }
    if (type == "challenge") {
        return decode_challenge(d);
    }
    if (type == "hello") {
        return decode_hello(d);
    }
    return failure{failure_kind::not_found, "peer message type " + type};
}

std::string signed_text(const hello_message& hello, const std::string& receiver_nonce)
{
    // A JSON array delimits the fields, so that two different hellos never produce the same text.
    return json::array({receiver_nonce, hello.version, hello.daemon.str(), hello.incarnation,
                        hello.region.str(), hello.failure_domain.str(), hello.generation,
                        static_cast<int>(hello.purpose), hello.nonce})
        .dump(-1, ' ', true, json::error_handler_t::replace);
}

} // namespace

std::string encode(const message& m)
{
    const auto document = std::visit([](const auto& typed) { return to_document(typed); }, m);
    const auto bytes = json::to_cbor(document);
    return {bytes.begin(), bytes.end()};
}

result<message> decode(const std::string& bytes)
{
    if (bytes.size() > limits::peer_frame_bytes) {
        return failure{failure_kind::too_large, "peer frame exceeds the length limit"};
    }
    try {
        return from_document(decode_bounded_cbor(bytes));
    } catch (const json::exception& e) {
        return failure{failure_kind::malformed, std::string("peer frame: ") + e.what()};
    }
}

std::string sign(const hello_message& hello, const std::string& receiver_nonce, const std::string& secret)
{
    const auto text = signed_text(hello, receiver_nonce);
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), mac.data(), &length);
    constexpr const char* digits = "0123456789abcdef";
    std::string hex;
    for (unsigned int i = 0; i < length; ++i) {
        hex += digits[mac.at(i) >> 4U];
        hex += digits[mac.at(i) & 15U];
    }
    return hex;
}

bool verify(const hello_message& hello, const std::string& own_nonce, const std::string& secret)
{
    const auto expected = sign(hello, own_nonce, secret);
    return expected.size() == hello.mac.size() &&
           CRYPTO_memcmp(expected.data(), hello.mac.data(), expected.size()) == 0;
}

} // namespace rml::peer
