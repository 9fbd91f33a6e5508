#include "platform/platform.hpp"
#include "standin/scenario.hpp"

#include <memory>
#include <optional>
#include <random>

using namespace rml;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int scripts = 2000;
constexpr std::size_t stack_bytes = 256 * 1024; // Catch2 needs more than the default
const std::string own_value = "own attempt";
const std::string other_value = "other attempt";

/// One-key store that rejects requests, loses replies, applies writes late, and has a second writer.
class faulty_store final : public platform::key_value_store
{
public:
    explicit faulty_store(std::uint64_t script, bool present) : random(script)
    {
        if (present) {
            this->apply("before", 0);
        }
    }

    result<std::optional<platform::kv_record>> get(const std::string&, time_point,
                                                   http::yield_context) override
    {
        this->inject_events();
        if (this->chance(4)) {
            return failure{failure_kind::timeout, "get"};
        }
        return this->record;
    }
    result<std::uint64_t> create(const std::string&, const std::string& value, const platform::lease_id&,
                                 time_point, http::yield_context) override
    {
        return this->write(value, 0);
    }
    result<std::uint64_t> update(const std::string&, const std::string& value, std::uint64_t expected,
                                 const platform::lease_id&, time_point, http::yield_context) override
    {
        return this->write(value, expected);
    }

    std::uint64_t revision() const { return this->record ? this->record->revision : 0; }
    /// Applies the writes that are still delayed.
    void apply_remaining() { this->apply_delayed(); }

    int own_applied{0};
    std::uint64_t own_revision{0};
    bool own_pending() const { return !this->delayed_writes.empty(); }

    result<std::vector<platform::kv_key>> list(const std::string&, time_point, http::yield_context) override
    {
        return failure{};
    }
    status destroy(const std::string&, std::uint64_t, time_point, http::yield_context) override
    {
        return failure{};
    }
    result<platform::watch_result> watch(const std::string&, std::uint64_t, milliseconds, time_point,
                                         http::yield_context) override
    {
        return failure{};
    }
    result<platform::lease_id> create_lease(milliseconds, time_point, http::yield_context) override
    {
        return failure{};
    }
    status renew_lease(const platform::lease_id&, time_point, http::yield_context) override
    {
        return failure{};
    }
    status destroy_lease(const platform::lease_id&, time_point, http::yield_context) override
    {
        return failure{};
    }
    platform::store_stats stats() const override { return {}; }

private:
    bool chance(unsigned one_in) { return this->random() % one_in == 0; }

    bool apply(const std::string& value, std::uint64_t expected)
    {
        if (this->revision() != expected) {
            return false;
        }
        this->record = platform::kv_record{value, ++this->last_revision};
        if (value == own_value) {
            ++this->own_applied;
            this->own_revision = this->last_revision;
        }
        return true;
    }
    void apply_delayed()
    {
        for (const auto expected : this->delayed_writes) {
            this->apply(own_value, expected);
        }
        this->delayed_writes.clear();
    }
    void inject_events()
    {
        if (this->chance(3)) {
            this->apply_delayed();
        }
        if (this->chance(6)) {
            this->apply(other_value, this->revision());
        }
    }
    result<std::uint64_t> write(const std::string& value, std::uint64_t expected)
    {
        this->inject_events();
        switch (this->random() % 5) {
        case 0:
            return failure{failure_kind::unavailable, "write"};
        case 1:
            this->delayed_writes.push_back(expected);
            return failure{failure_kind::outcome_unknown, "write"};
        case 2:
            this->apply(value, expected);
            return failure{failure_kind::outcome_unknown, "write"};
        default:
            break;
        }
        if (!this->apply(value, expected)) {
            return failure{failure_kind::conflict, "write"};
        }
        return this->last_revision;
    }

    std::mt19937_64 random;
    std::optional<platform::kv_record> record;
    std::vector<std::uint64_t> delayed_writes; ///< expected revisions of own writes that are applied later
    std::uint64_t last_revision{0};
};

struct outcome_counts
{
    int succeeded{0};
    int conflicts{0};
    int unknown{0};
    int unavailable{0};
};

void check_script(std::uint64_t script, outcome_counts& counts, http::yield_context yield)
{
    faulty_store store(script, script % 2 == 0);
    const platform::write_once_request request{
        "plan/a", own_value, store.revision(), {}, [](const std::string& value) {
            return value == own_value;
        }};
    const auto written = platform::write_once(store, request, test::soon(), yield);
    store.apply_remaining();
    INFO("script " << script);
    CHECK(store.own_applied <= 1);
    if (succeeded(written)) {
        ++counts.succeeded;
        CHECK(store.own_applied == 1);
        CHECK(value(written) == store.own_revision);
        return;
    }
    switch (error(written).kind) {
    case failure_kind::outcome_unknown:
        ++counts.unknown;
        break;
    case failure_kind::conflict:
        ++counts.conflicts;
        CHECK(store.own_applied == 0);
        break;
    case failure_kind::unavailable:
        ++counts.unavailable;
        CHECK(store.own_applied == 0);
        break;
    default:
        FAIL("unexpected failure " << to_string(error(written).kind));
    }
}

} // namespace

TEST_CASE("write_once reports the outcome correctly under lost replies, delayed writes and other writers",
          "[platform]")
{
    boost::asio::io_context context;
    outcome_counts counts;
    int running = scripts;
    // All scripts run concurrently, so that the pauses between attempts overlap.
    for (int script = 0; script < scripts; ++script) {
        boost::asio::spawn(
            context,
            [&, script](http::yield_context yield) {
                check_script(seed + static_cast<std::uint64_t>(script), counts, yield);
                --running;
            },
            boost::coroutines::attributes(stack_bytes));
    }
    context.run();
    CHECK(running == 0);
    // Guards against a fake store that never produces one of the outcomes.
    CHECK(counts.succeeded > 0);
    CHECK(counts.conflicts > 0);
    CHECK(counts.unknown > 0);
    CHECK(counts.unavailable > 0);
    CHECK(counts.succeeded + counts.conflicts + counts.unknown + counts.unavailable == scripts);
}
