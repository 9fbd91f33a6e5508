#include "operator/ctl.hpp"

#include "base/json_reader.hpp"
#include "base/limits.hpp"
#include "objects/object_check.hpp"
#include "objects/object_diff.hpp"
#include "operator/daemon_client.hpp"
#include "operator/publisher.hpp"

#include <algorithm>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace rml {

namespace {

using json = nlohmann::ordered_json;

constexpr milliseconds confirm_poll_interval{100};
/// Size limit of an object file; the set of a larger file cannot fit into a store value.
constexpr std::uintmax_t object_file_bytes = 16 * limits::store_value_bytes;

exit_code exit_code_for(const failure& reason)
{
    switch (reason.kind) {
    case failure_kind::timeout:
    case failure_kind::connection_refused:
    case failure_kind::connection_broken:
    case failure_kind::unavailable:
        return exit_code::unavailable;
    case failure_kind::invalid_settings:
    case failure_kind::too_large:
        return exit_code::invalid_settings;
    default:
        return exit_code::operation_failed;
    }
}

json to_document(const object_problem& problem)
{
    return {{"severity", problem.level == severity::error ? "error" : "warning"},
            {"kind", to_string(problem.kind)},
            {"file", problem.file},
            {"object", problem.object},
            {"field", problem.field},
            {"found", problem.found},
            {"allowed", problem.allowed}};
}

json to_document(const failure& reason)
{
    return {{"kind", to_string(reason.kind)}, {"context", reason.context}};
}

json to_document(const std::vector<object_change>& changes)
{
    auto list = json::array();
    for (const auto& change : changes) {
        json entry{{"change", to_string(change.kind)},
                   {"kind", to_string(change.object.kind)},
                   {"name", change.object.name}};
        if (!change.fields.empty()) {
            entry["fields"] = json::array();
            for (const auto& field : change.fields) {
                entry["fields"].push_back(
                    {{"field", field.field}, {"before", field.before}, {"after", field.after}});
            }
        }
        list.push_back(std::move(entry));
    }
    return list;
}

std::string utc_text(milliseconds since_epoch)
{
    const auto time = static_cast<std::time_t>(std::chrono::duration_cast<seconds>(since_epoch).count());
    std::tm parts{};
    std::ostringstream text;
    if (gmtime_r(&time, &parts) != nullptr) {
        text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    }
    return text.str();
}

/// One run of the tool. Each command fills `answer`, printed with `--json`, and `text`, printed without it.
class ctl_run
{
public:
    ctl_run(const ctl_options& options, std::ostream& out, std::ostream& err)
        : options(options), out(out), err(err), daemons(options.token, options.call_timeout)
    {
    }

    exit_code run()
    {
        using method = exit_code (ctl_run::*)();
        static const std::map<std::string_view, method> methods{
            {"validate", &ctl_run::validate}, {"diff", &ctl_run::diff},       {"publish", &ctl_run::publish},
            {"get", &ctl_run::get},           {"list", &ctl_run::list},       {"history", &ctl_run::history},
            {"drain", &ctl_run::drain},       {"restore", &ctl_run::restore}, {"status", &ctl_run::status},
            {"deliver", &ctl_run::deliver},
        };
        const auto found = methods.find(this->options.command);
        if (found == methods.end()) {
            return this->usage("unknown command " + this->options.command);
        }
        const auto code = (this->*found->second)();
        // A successful get always prints an object file, so that the output can be saved and used as input.
        const bool object_file = this->options.command == "get" && code == exit_code::success;
        if (this->options.json && !object_file) {
            this->answer["exit_code"] = static_cast<int>(code);
            this->out << this->answer.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
        } else {
            this->out << this->text.str();
        }
        return code;
    }

private:
    exit_code usage(const std::string& what)
    {
        this->err << "rml-ctl: " << what << "\n";
        return exit_code::usage_error;
    }

    exit_code report(const failure& reason)
    {
        this->answer["failure"] = to_document(reason);
        this->err << "rml-ctl: " << to_string(reason.kind) << ": " << reason.context << "\n";
        return exit_code_for(reason);
    }

    /// Loads and checks object files. On errors it sets `code` and returns nothing.
    std::optional<object_set> load(const std::vector<std::string>& paths, exit_code& code)
    {
        if (paths.empty()) {
            code = this->usage(this->options.command + " needs files or folders of objects");
            return std::nullopt;
        }
        const auto sources = read_object_files(paths);
        if (failed(sources)) {
            code = this->report(error(sources));
            return std::nullopt;
        }
        auto loaded = load_objects(value(sources));
        auto list = json::array();
        for (const auto& problem : loaded.problems) {
            list.push_back(to_document(problem));
            if (!this->options.json) {
                this->err << to_string(problem) << "\n";
            }
        }
        this->answer["problems"] = std::move(list);
        if (has_errors(loaded.problems)) {
            code = exit_code::invalid_settings;
            return std::nullopt;
        }
        if (const auto bytes = encode_objects(loaded.set); failed(bytes)) {
            code = this->report(error(bytes));
            return std::nullopt;
        }
        this->loaded_digest = loaded.digest;
        return std::move(loaded.set);
    }

    std::unique_ptr<config_store> connect(exit_code& code)
    {
        if (!this->options.store) {
            code = this->usage(this->options.command + " needs --store");
            return nullptr;
        }
        return create_http_config_store(*this->options.store, limits::store_call_timeout);
    }

    publisher publisher_for(config_store& store) const
    {
        publish_options settings;
        settings.attempt_id = this->options.attempt_id;
        settings.author = this->options.author;
        settings.published_at = this->options.now;
        return {store, settings};
    }

    exit_code validate()
    {
        auto code = exit_code::success;
        const auto set = this->load(this->options.arguments, code);
        this->answer["valid"] = set.has_value();
        if (set) {
            this->text << "valid: " << to_documents(*set).size() << " objects, digest "
                       << object_set_digest(*set) << "\n";
        }
        return code;
    }

    exit_code diff()
    {
        auto code = exit_code::success;
        const auto set = this->load(this->options.arguments, code);
        if (!set) {
            return code;
        }
        object_set base;
        if (!this->options.base.empty()) {
            const auto loaded = this->load({this->options.base}, code);
            if (!loaded) {
                return code;
            }
            base = *loaded;
        } else {
            const auto found = this->fetch(code);
            if (!found) {
                return code;
            }
            base = found->set;
        }
        const auto changes = diff_objects(base, *set);
        this->answer["generation"] = base.generation;
        this->answer["changes"] = to_document(changes);
        for (const auto& change : changes) {
            this->text << to_string(change.kind) << " " << to_string(change.object) << "\n";
            for (const auto& field : change.fields) {
                this->text << "    " << field.field << ": " << (field.before.empty() ? "-" : field.before)
                           << " -> " << (field.after.empty() ? "-" : field.after) << "\n";
            }
        }
        this->text << changes.size() << " changed objects\n";
        return exit_code::success;
    }

    /// Reads the generation of --generation, or the one in force. Returns an empty set when nothing is
    /// published.
    std::optional<published_set> fetch(exit_code& code)
    {
        const auto store = this->connect(code);
        if (!store) {
            return std::nullopt;
        }
        auto reader = this->publisher_for(*store);
        if (this->options.generation != 0) {
            auto found = reader.read_generation(this->options.generation);
            if (failed(found)) {
                code = this->report(error(found));
                return std::nullopt;
            }
            return value(std::move(found));
        }
        auto state = reader.read();
        if (failed(state)) {
            code = this->report(error(state));
            return std::nullopt;
        }
        return std::move(value(state).current);
    }

    exit_code publish()
    {
        auto code = exit_code::success;
        auto set = this->load(this->options.arguments, code);
        if (!set) {
            return code;
        }
        const auto store = this->connect(code);
        if (!store) {
            return code;
        }
        return this->complete_publication(
            this->publisher_for(*store).publish(std::move(*set), this->options.expect));
    }

    exit_code drain() { return this->edit_domain(service_state::drained); }
    exit_code restore() { return this->edit_domain(service_state::in_service); }

    exit_code edit_domain(service_state state)
    {
        if (this->options.arguments.size() != 1) {
            return this->usage(this->options.command + " needs the name of one failure domain");
        }
        auto code = exit_code::success;
        const auto store = this->connect(code);
        if (!store) {
            return code;
        }
        return this->complete_publication(this->publisher_for(*store).edit(
            set_domain_state(failure_domain_id(this->options.arguments.front()), state)));
    }

    exit_code complete_publication(const publish_report& published)
    {
        this->answer["outcome"] = to_string(published.outcome);
        this->answer["generation"] = published.generation;
        this->answer["attempt"] = published.attempt_id;
        this->text << to_string(published.outcome);
        if (published.generation != 0) { // 0: the store could not be read
            this->text << ": generation " << published.generation;
        }
        this->text << "\n";
        if (published.outcome != publish_outcome::published &&
            published.outcome != publish_outcome::unchanged) {
            const auto code = this->report(published.reason);
            // After `conflict` another publication came first, and after `unknown` the state of the store is
            // not known, so the kind of the failure does not decide the exit code.
            return published.outcome == publish_outcome::not_published ? code : exit_code::operation_failed;
        }
        for (const auto& problem : check_objects(published.set)) {
            this->err << to_string(problem) << "\n";
        }
        return this->deliver_and_confirm(published.set);
    }

    /// Delivers the set to each --entry and, with --wait, waits for the confirmations.
    exit_code deliver_and_confirm(const object_set& set)
    {
        std::map<std::string, std::string> unconfirmed;
        for (const auto& entry : this->options.entries) {
            const auto delivered = this->daemons.deliver(entry, set);
            if (failed(delivered)) {
                unconfirmed[to_string(entry)] = error(delivered).context;
            } else if (value(delivered) < set.generation) {
                unconfirmed[to_string(entry)] = "generation " + std::to_string(value(delivered));
            }
        }
        if (this->options.wait) {
            unconfirmed = this->wait_for_generation(set.generation);
        }
        this->answer["unconfirmed"] = json::array();
        for (const auto& [entry, why] : unconfirmed) {
            this->answer["unconfirmed"].push_back({{"entry", entry}, {"reason", why}});
            this->err << "rml-ctl: not confirmed by " << entry << ": " << why << "\n";
        }
        if (this->options.wait && unconfirmed.empty()) {
            this->text << "in force at " << this->options.entries.size() << " daemons\n";
        }
        const bool must_confirm = this->options.wait || this->options.command == "deliver";
        return must_confirm && !unconfirmed.empty() ? exit_code::operation_failed : exit_code::success;
    }

    /// Waits until all daemons report the generation. Returns the daemons that do not report it in time, with
    /// the generation or failure that was received instead.
    std::map<std::string, std::string> wait_for_generation(std::uint64_t generation)
    {
        const auto deadline = steady_clock::now() + this->options.wait_time;
        while (true) {
            std::map<std::string, std::string> missing;
            for (const auto& entry : this->options.entries) {
                const auto report = this->daemons.get_status(entry);
                if (failed(report)) {
                    missing[to_string(entry)] = error(report).context;
                } else if (value(report).generation < generation) {
                    missing[to_string(entry)] = "generation " + std::to_string(value(report).generation);
                }
            }
            if (missing.empty() || steady_clock::now() >= deadline) {
                return missing;
            }
            std::this_thread::sleep_for(confirm_poll_interval);
        }
    }

    /// Delivers a set to daemons that cannot reach the store. The set is read from a saved `get` or the
    /// store.
    exit_code deliver()
    {
        if (this->options.entries.empty()) {
            return this->usage("deliver needs --entry");
        }
        auto code = exit_code::success;
        std::optional<object_set> set;
        if (!this->options.arguments.empty()) {
            set = this->load(this->options.arguments, code);
        } else if (auto found = this->fetch(code)) {
            set = std::move(found->set);
        }
        if (!set) {
            return code;
        }
        if (set->generation == 0) {
            return this->report({failure_kind::not_found, "no published generation to deliver"});
        }
        // A changed file would put different contents in force under the same generation.
        if (!this->options.arguments.empty() && this->loaded_digest != object_set_digest(*set)) {
            return this->report({failure_kind::invalid_settings,
                                 "the file is not an unchanged output of get; publish it instead"});
        }
        this->answer["generation"] = set->generation;
        this->text << "delivered: generation " << set->generation << "\n";
        return this->deliver_and_confirm(*set);
    }

    exit_code get()
    {
        auto code = exit_code::success;
        const auto found = this->fetch(code);
        if (!found) {
            return code;
        }
        if (found->set.generation == 0) {
            return this->report({failure_kind::not_found, "nothing is published"});
        }
        this->text << encode_objects_json(found->set);
        return exit_code::success;
    }

    exit_code list()
    {
        auto code = exit_code::success;
        std::optional<object_set> set;
        if (!this->options.arguments.empty()) {
            set = this->load(this->options.arguments, code);
        } else if (auto found = this->fetch(code)) {
            set = std::move(found->set);
        }
        if (!set) {
            return code;
        }
        this->answer["generation"] = set->generation;
        this->answer["objects"] = json::array();
        for (const auto& [key, document] : to_documents(*set)) {
            this->answer["objects"].push_back({{"kind", to_string(key.kind)}, {"name", key.name}});
            this->text << to_string(key);
            if (key.kind == object_kind::failure_domain) {
                this->text << " " << document.value("state", "");
            }
            this->text << "\n";
        }
        return exit_code::success;
    }

    exit_code history()
    {
        auto code = exit_code::success;
        const auto store = this->connect(code);
        if (!store) {
            return code;
        }
        auto reader = this->publisher_for(*store);
        const auto state = reader.read();
        if (failed(state)) {
            return this->report(error(state));
        }
        this->answer["generations"] = json::array();
        const auto newest = value(state).head.generation;
        for (std::uint64_t i = 0; i < this->options.count && i < newest; ++i) {
            const auto found = store->get(config_set_key(newest - i));
            if (failed(found)) {
                return this->report(error(found));
            }
            if (!value(found)) {
                break;
            }
            const auto publication = decode_publication(value(found)->bytes);
            if (failed(publication)) {
                return this->report(error(publication));
            }
            const auto& entry = value(publication);
            this->answer["generations"].push_back({{"generation", newest - i},
                                                   {"published_ms", entry.published_at.count()},
                                                   {"author", entry.author},
                                                   {"attempt", entry.attempt_id}});
            this->text << newest - i << "  " << utc_text(entry.published_at) << "  "
                       << (entry.author.empty() ? "-" : entry.author) << "  " << entry.attempt_id << "\n";
        }
        return exit_code::success;
    }

    exit_code status()
    {
        if (this->options.entries.empty()) {
            return this->usage("status needs --entry");
        }
        auto code = exit_code::success;
        this->answer["daemons"] = json::array();
        for (const auto& entry : this->options.entries) {
            const auto found = this->daemons.get_status(entry);
            if (failed(found)) {
                this->answer["daemons"].push_back(
                    {{"entry", to_string(entry)}, {"failure", to_document(error(found))}});
                this->text << to_string(entry) << "  " << to_string(error(found).kind) << ": "
                           << error(found).context << "\n";
                code = exit_code_for(error(found));
                continue;
            }
            const auto& report = value(found);
            this->answer["daemons"].push_back(
                {{"entry", to_string(entry)},
                 {"status", json::parse(report.document, nullptr, false, true)}});
            this->text << to_string(entry) << "  " << report.daemon << "  generation " << report.generation
                       << "  " << (report.ready ? "ready" : "not ready") << "\n";
        }
        return code;
    }

    const ctl_options& options;
    std::ostream& out;
    std::ostream& err;
    daemon_client daemons;
    json answer = json::object();
    std::ostringstream text;
    std::string loaded_digest; ///< digest stated in the files that were loaded last
};

result<std::string> read_file(const std::filesystem::path& path)
{
    std::error_code problem;
    const auto size = std::filesystem::file_size(path, problem);
    if (problem) {
        return failure{failure_kind::not_found, path.string() + ": " + problem.message()};
    }
    if (size > object_file_bytes) {
        return failure{failure_kind::too_large, path.string() + ": " + std::to_string(size) + " bytes"};
    }
    std::ifstream file(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file) {
        return failure{failure_kind::not_found, path.string() + ": cannot be read"};
    }
    return text;
}

} // namespace

const std::vector<ctl_command>& ctl_commands()
{
    static const std::vector<ctl_command> commands{
        {"validate", "FILE...", "check objects as one set"},
        {"diff", "FILE...", "compare objects with the published set, or with --base"},
        {"publish", "FILE...", "publish objects as the next generation and deliver them"},
        {"get", "", "print the published set, or --generation"},
        {"list", "[FILE...]", "list the objects of the published set or of files"},
        {"history", "", "list the last generations"},
        {"drain", "DOMAIN", "take a failure domain out of service"},
        {"restore", "DOMAIN", "bring a failure domain back into service"},
        {"status", "", "show the generation and state of each --entry"},
        {"deliver", "[FILE]", "hand a published set, or a saved one, to each --entry"},
    };
    return commands;
}

exit_code run_ctl(const ctl_options& options, std::ostream& out, std::ostream& err)
{
    return ctl_run(options, out, err).run();
}

result<std::vector<object_source>> read_object_files(const std::vector<std::string>& paths)
{
    std::vector<std::filesystem::path> files;
    for (const auto& path : paths) {
        std::error_code problem;
        if (!std::filesystem::is_directory(path, problem)) {
            files.emplace_back(path);
            continue;
        }
        std::vector<std::filesystem::path> inside;
        for (const auto& entry : std::filesystem::directory_iterator(path, problem)) {
            if (entry.path().extension() == ".json") {
                inside.push_back(entry.path());
            }
        }
        if (problem) {
            return failure{failure_kind::not_found, path + ": " + problem.message()};
        }
        std::sort(inside.begin(), inside.end());
        files.insert(files.end(), inside.begin(), inside.end());
    }
    std::vector<object_source> sources;
    for (const auto& file : files) {
        auto text = read_file(file);
        if (failed(text)) {
            return error(text);
        }
        sources.push_back({file.filename().string(), value(std::move(text))});
    }
    return sources;
}

} // namespace rml
