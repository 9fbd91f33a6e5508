#include "decision/crash_notice.hpp"

#include "base/hash.hpp"

namespace rml {

request_fingerprint make_fingerprint(const account_id& account, std::string_view path, std::string_view body)
{
    return {hash64(body, hash64(path, hash64(account.str())))};
}

request_fingerprint make_part_fingerprint(std::string_view part)
{
    return {hash64(part, hash64("prompt part"))};
}

} // namespace rml
