/// Random identifiers.
#pragma once

#include <string>

namespace rml::caller {

/// 128 random bits as 32 hex digits.
std::string create_random_id();

} // namespace rml::caller
