#include "objects/settings.hpp"

#include "base/json_reader.hpp"

#include <vector>

namespace rml {

namespace {

constexpr field_rule worker_count{0, 256};
// Shorter secrets can be guessed over the network.
constexpr field_rule secret_length{8, 4096};

void read_listen(object_reader reader, listen_settings& out)
{
    reader.required("caller", out.caller);
    reader.required("peer", out.peer);
    reader.required("operator", out.operators);
    reader.finish();
}

void read_platform(object_reader reader, platform_settings& out)
{
    reader.required("store", out.store);
    reader.required("instances", out.instances);
    reader.required("weights", out.weights);
    reader.finish();
}

} // namespace

void read_log_settings(object_reader reader, log_settings& out)
{
    reader.optional_choice("level", out.level,
                           {{"debug", log_level::debug},
                            {"info", log_level::info},
                            {"warning", log_level::warning},
                            {"error", log_level::error}});
    reader.optional("file", out.file);
    reader.finish();
}

std::string join_problems(const std::vector<field_problem>& problems)
{
    std::string out;
    for (const auto& problem : problems) {
        out += (out.empty() ? "" : "; ") + to_string(problem);
    }
    return out;
}

result<settings> parse_settings(const std::string& text)
{
    return read_settings_document<settings>(text, [](object_reader& reader, settings& out) {
        reader.required("daemon", out.daemon);
        reader.required("region", out.region);
        reader.required("failure_domain", out.failure_domain);
        read_listen(reader.child("listen"), out.listen);
        read_platform(reader.child("platform"), out.platform);
        reader.required("peer_secret", out.peer_secret, secret_length);
        reader.required("operator_token", out.operator_token, secret_length);
        reader.optional("workers", out.workers, worker_count);
        read_log_settings(reader.child("log", false), out.log);
    });
}

} // namespace rml
