#include "http/client.hpp"
#include "operator/config_store.hpp"

#include <charconv>

namespace rml {

namespace {

result<std::uint64_t> revision_of(const http::response& answer, const std::string& context)
{
    const auto text = http::find_header(answer.headers, "x-revision");
    std::uint64_t revision = 0;
    if (!text) {
        return failure{failure_kind::malformed, context + ": no x-revision"};
    }
    const auto* end = text->data() + text->size();
    const auto [last, problem] = std::from_chars(text->data(), end, revision);
    if (problem != std::errc() || last != end) {
        return failure{failure_kind::malformed, context + ": x-revision " + *text};
    }
    return revision;
}

class http_config_store final : public config_store
{
public:
    http_config_store(endpoint address, milliseconds call_timeout)
        : address(std::move(address)), call_timeout(call_timeout)
    {
    }

    result<std::optional<stored_value>> get(std::string_view key) override
    {
        const std::string context = "store get " + std::string(key);
        auto answer = this->exchange("GET", key, "", "");
        if (failed(answer)) {
            return error(answer);
        }
        if (value(answer).status == 404) {
            return std::optional<stored_value>();
        }
        if (value(answer).status != 200) {
            return unexpected(value(answer), context);
        }
        const auto revision = revision_of(value(answer), context);
        if (failed(revision)) {
            return error(revision);
        }
        return std::optional<stored_value>({std::move(value(answer).body), value(revision)});
    }

    result<std::uint64_t> create(std::string_view key, std::string_view bytes) override
    {
        return this->update(key, bytes, 0);
    }

    result<std::uint64_t> update(std::string_view key, std::string_view bytes,
                                 std::uint64_t expected) override
    {
        const std::string context = "store put " + std::string(key);
        const auto answer = this->exchange("PUT", key, "?expect=" + std::to_string(expected), bytes);
        if (failed(answer)) {
            return error(answer);
        }
        if (value(answer).status == 409) {
            return failure{failure_kind::conflict, context};
        }
        if (value(answer).status != 200) {
            return unexpected(value(answer), context);
        }
        return revision_of(value(answer), context);
    }

    status destroy(std::string_view key, std::uint64_t expected) override
    {
        const std::string context = "store delete " + std::string(key);
        const auto answer = this->exchange("DELETE", key, "?expect=" + std::to_string(expected), "");
        if (failed(answer)) {
            return error(answer);
        }
        if (value(answer).status == 409) {
            return failure{failure_kind::conflict, context};
        }
        if (value(answer).status != 200) {
            return unexpected(value(answer), context);
        }
        return success();
    }

private:
    static failure unexpected(const http::response& answer, const std::string& context)
    {
        return {failure_kind::unavailable, context + ": status " + std::to_string(answer.status)};
    }

    result<http::response> exchange(const char* method, std::string_view key, const std::string& query,
                                    std::string_view body)
    {
        auto answer =
            http::call(this->address, {method, "/v1/kv/" + std::string(key) + query, {}, std::string(body)},
                       this->call_timeout);
        if (failed(answer)) {
            return failure{error(answer).kind,
                           "store " + to_string(this->address) + ": " + error(answer).context};
        }
        return answer;
    }

    endpoint address;
    milliseconds call_timeout;
};

} // namespace

std::unique_ptr<config_store> create_http_config_store(const endpoint& address, milliseconds call_timeout)
{
    return std::make_unique<http_config_store>(address, call_timeout);
}

} // namespace rml
