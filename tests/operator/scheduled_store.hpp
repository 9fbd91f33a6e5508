/// In-memory config_store for several publishers at once. A scheduler decides which publisher's call runs
/// next and whether it fails, so that each interleaving is reproducible from a list of numbers.
#pragma once

#include "objects/config_head.hpp"
#include "operator/config_store.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rml::testing {

enum class store_fault
{
    none,
    reply_lost,   ///< the call takes effect, the caller sees a timeout
    request_lost, ///< the call has no effect, the caller sees a timeout
    delayed, ///< the caller sees a timeout, the write is tried between later calls or at the end of the run
    refused, ///< no connection
    crash,   ///< the publisher ends before the call
};

/// Thrown from a store call to end a publisher.
struct publisher_crash
{
};

/// Contents of the store and the history of the head. Records violations of the protocol.
class store_core
{
public:
    result<std::optional<stored_value>> get(const std::string& key) const
    {
        const auto found = this->values.find(key);
        return found == this->values.end() ? std::optional<stored_value>() : found->second;
    }

    result<std::uint64_t> put(const std::string& key, const std::string& bytes, std::uint64_t expected)
    {
        const auto found = this->values.find(key);
        if ((found == this->values.end() ? 0 : found->second.revision) != expected) {
            return failure{failure_kind::conflict, key};
        }
        this->values[key] = {bytes, ++this->revision};
        if (key == config_head_key) {
            this->record_head();
        }
        return this->revision;
    }

    status destroy(const std::string& key, std::uint64_t expected)
    {
        const auto found = this->values.find(key);
        if (found == this->values.end() || found->second.revision != expected) {
            return failure{failure_kind::conflict, key};
        }
        this->values.erase(found);
        return success();
    }

    /// Attempt that published each generation.
    std::map<std::uint64_t, std::string> published;
    std::vector<std::string> violations;

    /// Checks that the set of every published generation is still stored.
    void check_sets()
    {
        for (const auto& [generation, attempt] : this->published) {
            const auto found = this->values.find(config_set_key(generation));
            if (found == this->values.end() || !this->holds(found->second.bytes, attempt, "")) {
                this->violations.push_back("set of generation " + std::to_string(generation) + " replaced");
            }
        }
    }

private:
    static bool holds(const std::string& bytes, const std::string& attempt, const std::string& digest)
    {
        const auto set = decode_published_set(bytes);
        return succeeded(set) && value(set).attempt_id == attempt &&
               (digest.empty() || object_set_digest(value(set).set) == digest);
    }

    void record_head()
    {
        const auto head = value(decode_config_head(this->values[std::string(config_head_key)].bytes));
        const auto previous = this->published.empty() ? 0 : this->published.rbegin()->first;
        if (head.generation == previous) {
            return;
        }
        if (head.generation != previous + 1) {
            this->violations.push_back("head went from " + std::to_string(previous) + " to " +
                                       std::to_string(head.generation));
        }
        const auto found = this->values.find(config_set_key(head.generation));
        if (found == this->values.end() || !holds(found->second.bytes, head.attempt_id, head.digest)) {
            this->violations.push_back("head " + std::to_string(head.generation) + " without its set");
        }
        this->published[head.generation] = head.attempt_id;
    }

    std::map<std::string, stored_value> values;
    std::uint64_t revision{0};
};

/// Runs publishers in threads, one store call at a time.
class store_schedule
{
public:
    /// `choices` determine the order and the faults. After the last choice calls run in turn without faults.
    explicit store_schedule(std::vector<std::uint16_t> choices) : choices(std::move(choices)) {}

    using body = std::function<void(config_store&)>;

    void run(const std::vector<body>& publishers)
    {
        std::vector<std::thread> threads;
        for (std::size_t id = 0; id < publishers.size(); ++id) {
            this->alive.insert(id);
        }
        for (std::size_t id = 0; id < publishers.size(); ++id) {
            threads.emplace_back([this, id, &publishers] {
                session store(*this, id);
                try {
                    publishers[id](store);
                } catch (const publisher_crash&) {
                }
                const std::lock_guard guard(this->mutex);
                this->alive.erase(id);
                this->changed.notify_all();
            });
        }
        this->schedule();
        for (auto& thread : threads) {
            thread.join();
        }
        while (!this->delayed_writes.empty()) {
            this->apply_delayed_write();
        }
        this->core.check_sets();
    }

    store_core core;

private:
    class session final : public config_store
    {
    public:
        session(store_schedule& owner, std::size_t id) : owner(owner), id(id) {}

        result<std::optional<stored_value>> get(std::string_view key) override
        {
            return this->owner.call<std::optional<stored_value>>(
                this->id, false,
                [&core = this->owner.core, key = std::string(key)] { return core.get(key); });
        }
        result<std::uint64_t> create(std::string_view key, std::string_view bytes) override
        {
            return this->update(key, bytes, 0);
        }
        result<std::uint64_t> update(std::string_view key, std::string_view bytes,
                                     std::uint64_t expected) override
        {
            return this->owner.call<std::uint64_t>(this->id, true,
                                                   [&core = this->owner.core, key = std::string(key),
                                                    bytes = std::string(bytes),
                                                    expected] { return core.put(key, bytes, expected); });
        }
        status destroy(std::string_view key, std::uint64_t expected) override
        {
            return this->owner.call<std::monostate>(this->id, false,
                                                    [&core = this->owner.core, key = std::string(key),
                                                     expected] { return core.destroy(key, expected); });
        }

    private:
        store_schedule& owner;
        std::size_t id;
    };

    template <class T, class Operation>
    result<T> call(std::size_t id, bool writes, Operation operation)
    {
        std::unique_lock lock(this->mutex);
        this->waiting.insert(id);
        this->changed.notify_all();
        this->changed.wait(lock, [&] { return this->granted == id; });
        this->granted = no_publisher;
        this->waiting.erase(id);
        switch (this->fault) {
        case store_fault::none:
            return operation();
        case store_fault::reply_lost:
            operation();
            return failure{failure_kind::timeout, "reply lost"};
        case store_fault::request_lost:
            return failure{failure_kind::timeout, "request lost"};
        case store_fault::delayed:
            if (writes) {
                this->delayed_writes.emplace_back([operation] { operation(); });
            }
            return failure{failure_kind::timeout, "delayed"};
        case store_fault::refused:
            return failure{failure_kind::connection_refused, "refused"};
        case store_fault::crash:
            throw publisher_crash{};
        }
        return failure{failure_kind::unavailable, "unknown fault"};
    }

    void schedule()
    {
        std::unique_lock lock(this->mutex);
        while (true) {
            this->changed.wait(lock, [&] {
                return this->granted == no_publisher && this->waiting.size() == this->alive.size();
            });
            if (this->alive.empty()) {
                return;
            }
            const auto choice = this->next < this->choices.size() ? this->choices[this->next] : 0U;
            const bool choices_exhausted = this->next++ >= this->choices.size();
            if (!choices_exhausted && !this->delayed_writes.empty() && choice % 3 == 0) {
                this->apply_delayed_write();
            }
            auto chosen = this->waiting.begin();
            std::advance(chosen, (choices_exhausted ? this->next : choice / 64U) % this->waiting.size());
            this->fault = choices_exhausted ? store_fault::none : fault_of(choice % 64U);
            this->granted = *chosen;
            this->changed.notify_all();
        }
    }

    static store_fault fault_of(unsigned number)
    {
        constexpr unsigned faults = 6;
        // Two calls in three succeed, so that publications progress far enough to race.
        return number < 42 ? store_fault::none : static_cast<store_fault>(number % faults);
    }

    void apply_delayed_write()
    {
        const auto write = this->delayed_writes.front();
        this->delayed_writes.erase(this->delayed_writes.begin());
        write();
    }

    static constexpr std::size_t no_publisher = ~std::size_t{0};

    std::vector<std::uint16_t> choices;
    std::size_t next{0};
    std::mutex mutex;
    std::condition_variable changed;
    std::set<std::size_t> alive;
    std::set<std::size_t> waiting;
    std::size_t granted{no_publisher};
    store_fault fault{store_fault::none};
    std::vector<std::function<void()>> delayed_writes;
};

} // namespace rml::testing
