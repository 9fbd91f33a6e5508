/// Publishes object sets: writes `config/set/<g+1>`, then swaps `config/head` from g to g+1. After a lost
/// reply the key is read back and its attempt id compared. A publication that loses a race changes nothing in
/// force.
///
/// A publisher that ends between the two writes leaves `config/set/<g+1>` behind. The next publisher waits,
/// then rewrites the head with a fence (same generation, new revision), so that the unfinished publication
/// can no longer swap the head, and only then replaces the set.
#pragma once

#include "objects/config_head.hpp"
#include "operator/config_store.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace rml {

enum class publish_outcome
{
    published,     ///< the generation is in force
    unchanged,     ///< the published set already has the wanted content
    conflict,      ///< another publication came first; nothing of this one is in force
    not_published, ///< a step failed before the head was written; nothing of this one is in force
    unknown,       ///< the head was sent and no read-back decided the outcome
};

std::string_view to_string(publish_outcome outcome);

struct publish_report
{
    publish_outcome outcome{publish_outcome::not_published};
    std::uint64_t generation{0}; ///< the published generation; otherwise the one in force
    std::string attempt_id;
    failure reason;                  ///< meaningful unless published or unchanged
    object_set set;                  ///< as published
    bool replaced_unfinished{false}; ///< the set of an unfinished publication was replaced
};

struct publish_options
{
    std::string attempt_id; ///< unique for each run of a tool
    std::string author;
    milliseconds published_at{0};
    int step_attempts{5}; ///< maximum attempts of each store operation
    milliseconds retry_delay{200};
    /// Time that another publisher is given to finish its two writes; its store calls take milliseconds.
    milliseconds unfinished_wait{1000};
    /// Number of generations kept in the store. At 400 changes a day of about 150 KB each, unbounded history
    /// would grow by 60 MB a day.
    std::uint64_t retained_generations{200};
};

/// Set in force and its head.
struct published_state
{
    config_head head;
    std::uint64_t head_revision{0}; ///< 0: no head yet
    published_set current;          ///< empty when the generation is 0
};

class publisher
{
public:
    publisher(config_store& store, publish_options options) : store(store), options(std::move(options)) {}

    /// Publishes a set that has passed its checks. With `expected`, fails with `conflict` unless that
    /// generation is in force.
    publish_report publish(object_set set, std::optional<std::uint64_t> expected);

    /// Applies an edit to the set in force and publishes the result. After a lost race the edit is applied to
    /// the new set, since it does not depend on the rest of the set. When the edit fails, nothing is
    /// published.
    publish_report edit(const std::function<status(object_set&)>& change);

    /// Reads the head and its set. Fails with `malformed` when they do not match.
    result<published_state> read();

    /// Reads one generation. Fails with `not_found`.
    result<published_set> read_generation(std::uint64_t generation);

private:
    struct head_value
    {
        config_head head;
        std::uint64_t revision{0};
    };
    enum class set_write
    {
        written,
        occupied, ///< the key holds the set of another publication
        failed,
    };

    result<head_value> read_head();
    result<std::optional<stored_value>> get(std::string_view key);
    publish_report publish_once(object_set set, std::optional<std::uint64_t> expected,
                                const std::string& attempt_id);
    set_write write_set(const std::string& key, const std::string& bytes, const std::string& attempt_id,
                        std::uint64_t expected, failure& reason);
    bool replace_unfinished(const std::string& key, const std::string& bytes, const std::string& attempt_id,
                            head_value& base, publish_report& report);
    bool fence(head_value& base, const std::string& attempt_id, publish_report& report);
    void write_head(const head_value& base, const config_head& next, publish_report& report);
    bool resolve_head(const head_value& base, const config_head& next, publish_report& report);
    void destroy_expired(std::uint64_t generation);
    void pause(milliseconds time) const;

    config_store& store;
    publish_options options;
};

/// Edit that sets the state of a failure domain. Fails with `not_found` when the domain does not exist.
std::function<status(object_set&)> set_domain_state(const failure_domain_id& domain, service_state state);

} // namespace rml
