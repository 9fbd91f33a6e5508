/// Model of a key-value store with leases for tests of the decision modules, in virtual time and without I/O.
#pragma once

#include "decision/duty.hpp"
#include "decision/plan_commit.hpp"

#include <map>
#include <string>

namespace rml::test {

inline time_point at(std::int64_t ms)
{
    return time_point(milliseconds(1000000 + ms));
}

class store_model
{
public:
    duty_reply apply(const duty_call& call, time_point now)
    {
        this->expire(now);
        duty_reply reply;
        reply.number = call.number;
        reply.outcome = store_outcome::ok;
        switch (call.kind) {
        case duty_call_kind::create_lease:
            reply.lease = std::to_string(++this->last_lease);
            this->leases[reply.lease] = now + call.ttl;
            break;
        case duty_call_kind::renew_lease:
        case duty_call_kind::destroy_lease: {
            const auto found = this->leases.find(call.lease);
            if (found == this->leases.end()) {
                reply.outcome = store_outcome::not_found;
            } else {
                found->second = call.kind == duty_call_kind::renew_lease ? now + limits::duty_lease : now;
            }
            break;
        }
        case duty_call_kind::create_key:
            if (this->leases.count(call.lease) == 0) {
                reply.outcome = store_outcome::not_found;
            } else if (this->keys.count(call.key) != 0) {
                reply.outcome = store_outcome::conflict;
            } else {
                this->keys[call.key] = {call.value, ++this->revision, call.lease};
            }
            break;
        case duty_call_kind::read:
        case duty_call_kind::watch:
            reply.outcome = this->read(call.key, reply.value, reply.revision);
            if (call.kind == duty_call_kind::watch && reply.outcome == store_outcome::ok &&
                reply.revision == call.revision) {
                reply.outcome = store_outcome::unchanged;
            }
            break;
        }
        reply.revision = reply.revision == 0 ? this->revision : reply.revision;
        this->expire(now);
        return reply;
    }

    plan_reply apply(const plan_call& call, time_point now)
    {
        this->expire(now);
        plan_reply reply;
        reply.number = call.number;
        if (call.kind == plan_call_kind::read) {
            reply.outcome = this->read(call.key, reply.value, reply.revision);
            return reply;
        }
        const auto found = this->keys.find(call.key);
        const auto current = found == this->keys.end() ? 0 : found->second.revision;
        reply.outcome = store_outcome::conflict;
        reply.revision = current;
        if (current == call.expected) {
            this->keys[call.key] = {call.value, ++this->revision, ""};
            reply.outcome = store_outcome::ok;
            reply.revision = this->revision;
        }
        return reply;
    }

    /// Current value of a key, or empty.
    std::string peek(const std::string& key, time_point now)
    {
        this->expire(now);
        return this->keys.count(key) == 0 ? std::string() : this->keys[key].value;
    }

    std::uint64_t revision_of(const std::string& key)
    {
        return this->keys.count(key) == 0 ? 0 : this->keys[key].revision;
    }

private:
    struct record
    {
        std::string value;
        std::uint64_t revision{0};
        std::string lease;
    };

    store_outcome read(const std::string& key, std::string& value, std::uint64_t& at_revision)
    {
        const auto found = this->keys.find(key);
        if (found == this->keys.end()) {
            return store_outcome::not_found;
        }
        value = found->second.value;
        at_revision = found->second.revision;
        return store_outcome::ok;
    }

    void expire(time_point now)
    {
        for (auto it = this->leases.begin(); it != this->leases.end();) {
            if (it->second > now) {
                ++it;
                continue;
            }
            for (auto key = this->keys.begin(); key != this->keys.end();) {
                key = key->second.lease == it->first ? this->keys.erase(key) : std::next(key);
            }
            it = this->leases.erase(it);
        }
    }

    std::map<std::string, record> keys;
    std::map<std::string, time_point> leases;
    std::uint64_t revision{0};
    std::uint64_t last_lease{0};
};

} // namespace rml::test
