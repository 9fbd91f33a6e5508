/// Exit codes of all programs (docs/design.md, section 11).
#pragma once

namespace rml {

enum class exit_code
{
    success = 0,
    failed = 1,      ///< the operation failed, also by a lost race
    usage = 2,       ///< wrong arguments
    invalid = 3,     ///< invalid settings or objects
    unavailable = 4, ///< the store or a daemon does not answer
};

} // namespace rml
