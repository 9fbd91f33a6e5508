/// Random valid object sets for property tests.
#pragma once

#include "objects/objects.hpp"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace rml::testing {

inline std::string numbered(const char* prefix, int number)
{
    return prefix + std::to_string(number);
}

/// A set that passes check_objects, with two to four failure domains.
inline object_set arbitrary_set()
{
    const auto between = [](int low, int high) { return *rc::gen::inRange(low, high + 1); };
    object_set set;
    set.generation = static_cast<std::uint64_t>(between(1, 1000000));
    set.regions.push_back({region_id("region")});
    const int domains = between(2, 4);
    for (int d = 0; d < domains; ++d) {
        const failure_domain_id domain(numbered("domain-", d));
        set.failure_domains.push_back(
            {domain, region_id("region"),
             *rc::gen::arbitrary<bool>() ? service_state::drained : service_state::in_service});
        const fabric_domain_id fabric(numbered("fabric-", d));
        set.fabric_domains.push_back({fabric, domain, {}});
        for (int e = 0; e < between(4, 9); ++e) {
            const auto number = static_cast<std::uint16_t>(100 * d + e + 1);
            set.engines.push_back({instance_id(numbered("instance-", number)), endpoint{"127.0.0.1", number},
                                   fabric, static_cast<std::uint32_t>(between(1, 8)),
                                   *rc::gen::arbitrary<bool>()});
        }
    }
    set.models.push_back({model_id("model"), numbered("v", between(1, 9)), between(1, 4000) / 8.0, 4});
    for (int p = 0; p < between(1, 3); ++p) {
        model_pool_object pool;
        pool.name = model_pool_id(numbered("pool-", p));
        pool.model = model_id("model");
        pool.groups = static_cast<std::uint32_t>(between(1, 5));
        pool.failure_domains = {failure_domain_id("domain-0"), failure_domain_id("domain-1")};
        pool.ramp_step = milliseconds(between(1, 100000));
        set.pools.push_back(pool);
    }
    set.services.push_back({service_id("office"),
                            {{"127.0.0.1", 9001}, {"127.0.0.1", 9002}},
                            {"/bookings"},
                            milliseconds(between(1, 60000))});
    for (int a = 0; a < between(0, 5); ++a) {
        set.accounts.push_back({account_id(numbered("account-", a)),
                                std::string(63, 'a') + std::to_string(a),
                                between(1, 1000) / 7.0,
                                between(1, 100000) / 3.0,
                                {model_pool_id("pool-0")},
                                {service_id("office")}});
    }
    set.objectives.push_back({"first",
                              model_pool_id("pool-0"),
                              {},
                              objective_kind::first_token,
                              milliseconds(between(1, 5000)),
                              between(1, 999) / 1000.0,
                              seconds(between(60, 1000000))});
    set.objectives.push_back({"booked",
                              {},
                              service_id("office"),
                              objective_kind::answered,
                              milliseconds(0),
                              0.999,
                              seconds(3600)});
    set.entry_policy.max_daemons = static_cast<std::uint32_t>(between(1, 390));
    return set;
}

/// A small valid set: two failure domains with four engines each and one pool.
inline object_set small_set()
{
    object_set set;
    set.regions.push_back({region_id("region")});
    set.models.push_back({model_id("model"), "v1", 80, 4});
    for (int d = 0; d < 2; ++d) {
        const failure_domain_id domain(numbered("domain-", d));
        const fabric_domain_id fabric(numbered("fabric-", d));
        set.failure_domains.push_back({domain, region_id("region"), service_state::in_service});
        set.fabric_domains.push_back({fabric, domain, {}});
        for (int e = 0; e < 4; ++e) {
            const auto number = static_cast<std::uint16_t>(10 * d + e + 1);
            set.engines.push_back(
                {instance_id(numbered("instance-", number)), endpoint{"127.0.0.1", number}, fabric, 8, true});
        }
    }
    model_pool_object pool;
    pool.name = model_pool_id("pool");
    pool.model = model_id("model");
    pool.failure_domains = {failure_domain_id("domain-0"), failure_domain_id("domain-1")};
    set.pools.push_back(pool);
    set.accounts.push_back({account_id("account"), std::string(64, 'a'), 1, 10, {model_pool_id("pool")}, {}});
    return set;
}

/// Replaces, removes or inserts up to four bytes.
inline std::string mutate(std::string text)
{
    const int edits = *rc::gen::inRange(1, 5);
    for (int i = 0; i < edits && !text.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 20));
            break;
        default:
            text.insert(at, 1, *rc::gen::elementOf(std::string("{}[]\",:0-9e/*\x81\xbf\xff")));
            break;
        }
    }
    return text;
}

/// A value whose type or range may violate the rule of a field.
inline nlohmann::json arbitrary_value()
{
    using nlohmann::json;
    const auto values = std::vector<json>{nullptr,
                                          true,
                                          -1,
                                          0,
                                          1e300,
                                          std::nan(""),
                                          std::numeric_limits<std::uint64_t>::max(),
                                          std::numeric_limits<std::int64_t>::min(),
                                          "",
                                          "\xff\xfe",
                                          std::string(300, 'x'),
                                          "domain-0",
                                          json::array(),
                                          json::array({json::array({1})}),
                                          json::object({{"a", json::array({nullptr})}})};
    return values[*rc::gen::inRange<std::size_t>(0, values.size())];
}

/// Replaces, removes or adds a field of up to three elements of an object list.
inline void mutate_fields(nlohmann::json& list)
{
    const int edits = *rc::gen::inRange(1, 4);
    for (int i = 0; i < edits && !list.empty(); ++i) {
        auto& element = list[*rc::gen::inRange<std::size_t>(0, list.size())];
        if (!element.is_object() || element.empty()) {
            element = arbitrary_value();
            continue;
        }
        auto field = element.begin();
        std::advance(field, *rc::gen::inRange<std::size_t>(0, element.size()));
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            element.erase(field);
            break;
        case 1:
            element["\xc3\x28"] = arbitrary_value();
            break;
        case 2:
            element = arbitrary_value();
            break;
        default:
            *field = arbitrary_value();
            break;
        }
    }
}

} // namespace rml::testing
