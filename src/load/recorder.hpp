/// Counts and latencies of a load run, and their output.
#pragma once

#include "base/time.hpp"
#include "load/answer_check.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace rml::load {

/// How the sends of one key ended, for the comparison with the service's counts.
struct key_history
{
    std::uint64_t sends{0};
    std::uint64_t answered{0};
    std::uint64_t refused{0}; ///< with outcome not-run
};

/// Once-only keys whose runs contradict their answers.
struct once_only_check
{
    bool checked{false};
    std::uint64_t keys{0};
    std::uint64_t run_twice{0};        ///< run more than once
    std::uint64_t refused_but_run{0};  ///< every send said not-run, the service ran it
    std::uint64_t answered_not_run{0}; ///< an answer, but no run
};

/// Compares histories with the service's runs per key.
once_only_check check_keys(const std::map<std::string, key_history>& histories,
                           const std::map<std::string, std::uint64_t>& runs);

/// A moment of the run, by arrival.
struct second_counts
{
    std::uint64_t arrivals{0};
    std::uint64_t answered{0};
    std::uint64_t refused{0};
    std::uint64_t other{0};
};

enum class report_format
{
    table,
    json,
    csv, ///< one line per second of the run
};

class recorder
{
public:
    recorder();
    ~recorder();
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;

    void record(microseconds arrival, bool once_only, verdict v);
    void record_first_token(duration time);
    void record_between_tokens(duration time);
    void record_whole(duration time);
    void record_refusal(int status, const std::string& kind);
    void record_key(const std::string& key, verdict v);
    void record_address_update() { ++this->address_updates; }
    /// A request that went to another entry because the first could not be reached.
    void record_other_entry() { ++this->other_entries; }
    void update_once_only(const once_only_check& check) { this->once_only = check; }

    const std::map<std::string, key_history>& keys() const { return this->histories; }
    std::uint64_t count(verdict v) const;
    /// True when an answer was wrong: foreign, incomplete, or a once-only key contradicts its answers.
    bool violated() const;
    void write(std::ostream& out, report_format format) const;

private:
    struct latencies;

    void write_table(std::ostream& out) const;
    void write_json(std::ostream& out) const;
    void write_csv(std::ostream& out) const;

    std::array<std::uint64_t, verdicts> generations{};
    std::array<std::uint64_t, verdicts> calls{};
    std::map<std::string, std::uint64_t> refusals; ///< "<status> <kind>"
    std::map<std::string, key_history> histories;
    std::vector<second_counts> timeline;
    std::uint64_t address_updates{0};
    std::uint64_t other_entries{0};
    once_only_check once_only;
    std::unique_ptr<latencies> times;
};

} // namespace rml::load
