#include "decision/send_right.hpp"

namespace rml {

send_right send_right_of(const target_standing& target, time_point now)
{
    if (target.leaving || target.domain_drained) {
        return send_right::withdrawn;
    }
    if (now < target.paused_until) {
        return send_right::paused;
    }
    return now < target.ejected_until ? send_right::last_resort : send_right::allowed;
}

} // namespace rml
