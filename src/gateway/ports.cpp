#include "gateway/ports.hpp"

namespace rml::gateway {

group_order group_order::join(join_permit permit, model_id model, std::vector<instance_id> members)
{
    group_order out(group_action::join, permit.group());
    out.weights = std::move(model);
    out.instances = std::move(members);
    out.evidence = std::move(permit);
    return out;
}

group_order group_order::stage(model_id model)
{
    group_order out(group_action::stage, {});
    out.weights = std::move(model);
    return out;
}

std::string_view to_string(group_action action)
{
    switch (action) {
    case group_action::join:
        return "join";
    case group_action::open:
        return "open";
    case group_action::close:
        return "close";
    case group_action::leave:
        return "leave";
    case group_action::stage:
        return "stage";
    }
    return "unknown";
}

std::string_view to_string(order_verdict verdict)
{
    switch (verdict) {
    case order_verdict::started:
        return "started";
    case order_verdict::already:
        return "already";
    case order_verdict::not_now:
        return "not possible in the current state";
    case order_verdict::stale:
        return "stale";
    case order_verdict::wrong_incarnation:
        return "wrong incarnation";
    case order_verdict::unknown_order:
        return "unknown order";
    }
    return "unknown";
}

} // namespace rml::gateway
