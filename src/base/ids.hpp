/// Typed identifiers. Identifiers of different kinds cannot be compared or converted.
#pragma once

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace rml {

/// A name with a tag type. An empty name means that no object is named.
template <class Tag>
class string_id
{
public:
    string_id() = default;
    explicit string_id(std::string name) : text(std::move(name)) {}

    const std::string& str() const { return this->text; }
    bool empty() const { return this->text.empty(); }

    friend bool operator==(const string_id& a, const string_id& b) { return a.text == b.text; }
    friend bool operator!=(const string_id& a, const string_id& b) { return a.text != b.text; }
    friend bool operator<(const string_id& a, const string_id& b) { return a.text < b.text; }
    friend std::ostream& operator<<(std::ostream& out, const string_id& id) { return out << id.text; }

private:
    std::string text;
};

using instance_id = string_id<struct instance_tag>; ///< a machine of the platform
using daemon_id = string_id<struct daemon_tag>;     ///< an entry daemon
using group_id = string_id<struct group_tag>;       ///< a replica made of several instances
using region_id = string_id<struct region_tag>;     ///< a site
using failure_domain_id =
    string_id<struct failure_domain_tag>; ///< a zone that operators can take out of service
using fabric_domain_id = string_id<struct fabric_domain_tag>; ///< instances on one fast fabric
using model_id = string_id<struct model_tag>;                 ///< a model, without its version
using model_pool_id = string_id<struct model_pool_tag>;       ///< the groups that serve one model
using service_id = string_id<struct service_tag>;             ///< a plain office service
using account_id = string_id<struct account_tag>;             ///< a caller's account

} // namespace rml

namespace std {
template <class Tag>
struct hash<rml::string_id<Tag>>
{
    size_t operator()(const rml::string_id<Tag>& id) const noexcept { return hash<string>{}(id.str()); }
};
} // namespace std
