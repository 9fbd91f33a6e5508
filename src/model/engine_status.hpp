/// Status report of an engine.
#pragma once

#include "base/failure.hpp"
#include "base/ids.hpp"

#include <cstdint>
#include <string>

namespace rml {

/// Status of one engine. Load figures are as old as the report.
struct engine_status
{
    instance_id instance;
    std::uint64_t incarnation{0}; ///< changes on every start of the engine process
    group_id group;               ///< empty: not assigned
    std::uint64_t group_epoch{0};
    std::uint32_t rank{0};
    model_id model;
    std::string version;
    bool loaded{false};       ///< weights of model and version are in memory
    bool leaving{false};      ///< the engine has announced its shutdown
    std::uint32_t running{0}; ///< requests in the current batch
    std::uint32_t queued{0};  ///< requests waiting inside the engine
    /// Concurrent requests that the engine reports it can run now; 0: not reported.
    std::uint32_t warm_slots{0};
    std::uint64_t fencing{0}; ///< highest fencing token accepted
};

/// JSON document of GET /status.
std::string encode_engine_status(const engine_status& report);

/// Fails with `malformed`.
result<engine_status> decode_engine_status(const std::string& json);

} // namespace rml
