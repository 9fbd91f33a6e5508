/// A serving_state whose answers are set by the test.
#pragma once

#include "caller/serving_state.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace rml::test {

/// In-memory claim store that can inject a fault into the next write.
class fake_claims final : public caller::claim_store
{
public:
    enum class fault
    {
        none,
        reply_lost, ///< the write takes effect, the reply is lost
        down,       ///< nothing takes effect
    };

    claim_write_reply create(const std::string& key, const claim_document& document, time_point,
                             caller::yield_context) override
    {
        const auto reply = this->write(key, document, 0);
        std::this_thread::sleep_for(this->create_reply_delay);
        return reply;
    }

    claim_read_reply read(const std::string& key, time_point, caller::yield_context) override
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->claims.find(key);
        return found == this->claims.end() ? std::optional<stored_claim>{}
                                           : std::optional<stored_claim>(found->second);
    }

    claim_write_reply update(const std::string& key, const claim_document& document, std::uint64_t expect,
                             time_point, caller::yield_context) override
    {
        return this->write(key, document, expect);
    }

    milliseconds create_reply_delay{0}; ///< time between the creation and its reply

    void fail_next(fault next)
    {
        const std::scoped_lock lock(this->mutex);
        this->next_fault = next;
    }

    /// State of the only claim; `missing` when there is none.
    std::string state() const
    {
        const std::scoped_lock lock(this->mutex);
        if (this->claims.empty()) {
            return "missing";
        }
        switch (this->claims.begin()->second.document.state) {
        case claim_state::claimed:
            return "claimed";
        case claim_state::done:
            return "done";
        case claim_state::released:
            break;
        }
        return "released";
    }

private:
    claim_write_reply write(const std::string& key, const claim_document& document, std::uint64_t expect)
    {
        const std::scoped_lock lock(this->mutex);
        const auto fault = std::exchange(this->next_fault, fault::none);
        if (fault == fault::down) {
            return failure{failure_kind::timeout, "store"};
        }
        auto& slot = this->claims[key];
        if (slot.revision != expect) {
            return failure{failure_kind::conflict, "store"};
        }
        // Encoded and decoded, as in the real store client.
        slot = {value(decode_claim(encode_claim(document))), ++this->revision};
        if (fault == fault::reply_lost) {
            return failure{failure_kind::timeout, "store"};
        }
        return this->revision;
    }

    mutable std::mutex mutex;
    std::map<std::string, stored_claim> claims;
    std::uint64_t revision{0};
    fault next_fault{fault::none};
};

class fake_ticket final : public caller::admission_ticket
{
};

/// Grants the first of `permits` whose group was not tried.
class fake_state final : public caller::serving_state
{
public:
    fake_state()
    {
        account_object account_with_rights;
        account_with_rights.name = account_id("workshop");
        account_with_rights.pools = {model_pool_id("assistant")};
        account_with_rights.services = {service_id("office")};
        this->account = std::make_shared<const account_object>(account_with_rights);
    }

    std::shared_ptr<const account_object> find_account(std::string_view token) const override
    {
        return token == "secret" ? this->account : nullptr;
    }
    std::shared_ptr<const office_service_object> find_service(const service_id& name) const override
    {
        return this->service && this->service->name == name ? this->service : nullptr;
    }
    caller::entry_list entries() const override { return {{{"127.0.0.1", 8080}}, milliseconds(30000)}; }
    bool ready() const override { return this->is_ready; }

    caller::admission_result acquire_admission(const caller::admission_request&,
                                               caller::yield_context) override
    {
        if (this->refuse_admission) {
            return caller::admission_refusal{{failure_kind::rate_limited, "queue full"}, milliseconds(1500)};
        }
        return std::make_unique<fake_ticket>();
    }

    result<caller::dispatch_permit> acquire_permit(const caller::dispatch_request& request,
                                                   caller::yield_context) override
    {
        const std::scoped_lock lock(this->mutex);
        this->dispatches.push_back(request);
        for (const auto& permit : this->permits) {
            if (std::find(request.tried.begin(), request.tried.end(), permit.group) == request.tried.end()) {
                ++this->open_permits;
                return permit;
            }
        }
        return failure{this->no_group_failure, "no group"};
    }

    void finish_permit(const caller::dispatch_permit&, const caller::permit_report& report) override
    {
        const std::scoped_lock lock(this->mutex);
        --this->open_permits;
        this->ends.push_back(report.end);
    }

    bool take_retry_token() override
    {
        const std::scoped_lock lock(this->mutex);
        return this->retry_tokens-- > 0;
    }

    caller::claim_store& claims() override { return this->stored; }

    void record(const caller::request_record& ended) override
    {
        const std::scoped_lock lock(this->mutex);
        this->records.push_back(ended);
    }

    std::size_t record_count() const
    {
        const std::scoped_lock lock(this->mutex);
        return this->records.size();
    }

    std::shared_ptr<const account_object> account;
    std::shared_ptr<const office_service_object> service;
    bool is_ready{true};
    bool refuse_admission{false};
    std::vector<caller::dispatch_permit> permits;
    failure_kind no_group_failure{failure_kind::unavailable}; ///< returned when all groups were tried
    int retry_tokens{10};
    fake_claims stored;

    mutable std::mutex mutex;
    int open_permits{0};
    std::vector<caller::dispatch_request> dispatches;
    std::vector<caller::permit_end> ends;
    std::vector<caller::request_record> records;
};

} // namespace rml::test
