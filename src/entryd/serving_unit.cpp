#include "entryd/serving_unit.hpp"

namespace rml::entryd {

namespace {

/// Refuses every claim, so that no once-only request is sent.
class no_claims final : public caller::claim_store
{
public:
    claim_write_reply create(const std::string&, const claim_document&, time_point,
                             caller::yield_context) override
    {
        return unavailable();
    }
    claim_read_reply read(const std::string&, time_point, caller::yield_context) override
    {
        return unavailable();
    }
    claim_write_reply update(const std::string&, const claim_document&, std::uint64_t, time_point,
                             caller::yield_context) override
    {
        return unavailable();
    }

private:
    static failure unavailable() { return {failure_kind::unavailable, "no store"}; }
};

/// A daemon without configuration: knows no account and refuses all work.
class unconfigured_state final : public caller::serving_state
{
public:
    std::shared_ptr<const account_object> find_account(std::string_view) const override { return nullptr; }
    std::shared_ptr<const office_service_object> find_service(const service_id&) const override
    {
        return nullptr;
    }
    caller::entry_list entries() const override { return {}; }
    bool ready() const override { return false; }
    caller::admission_result acquire_admission(const caller::admission_request&,
                                               caller::yield_context) override
    {
        return caller::admission_refusal{unconfigured(), {}};
    }
    result<caller::dispatch_permit> acquire_permit(const caller::dispatch_request&,
                                                   caller::yield_context) override
    {
        return unconfigured();
    }
    void finish_permit(const caller::dispatch_permit&, const caller::permit_report&) override {}
    bool take_retry_token() override { return false; }
    caller::claim_store& claims() override { return this->stored; }
    void record(const caller::request_record&) override {}

private:
    static failure unconfigured() { return {failure_kind::unavailable, "no configuration"}; }

    no_claims stored;
};

class unconfigured_unit final : public serving_unit
{
public:
    caller::serving_state& state() override { return this->current; }
    status start() override { return success(); }
    void leave() override {}
    void stop() override {}
    std::optional<endpoint> peer_address() const override { return std::nullopt; }
    std::optional<endpoint> operator_address() const override { return std::nullopt; }

private:
    unconfigured_state current;
};

} // namespace

std::unique_ptr<serving_unit> create_serving_unit(boost::asio::io_context&, const settings&, metric_registry&)
{
    return std::make_unique<unconfigured_unit>();
}

} // namespace rml::entryd
