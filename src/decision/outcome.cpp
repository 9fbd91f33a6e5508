#include "decision/outcome.hpp"

namespace rml {

std::string_view to_string(outcome value)
{
    switch (value) {
    case outcome::not_run:
        return "not-run";
    case outcome::completed:
        return "completed";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

void attempt_outcome::on_send()
{
    if (this->phase == attempt_phase::idle) {
        this->phase = attempt_phase::sent;
    }
}

void attempt_outcome::on_refused()
{
    if (this->phase == attempt_phase::sent) {
        this->phase = attempt_phase::refused;
    }
}

void attempt_outcome::on_completed()
{
    if (this->phase == attempt_phase::sent) {
        this->phase = attempt_phase::completed;
    }
}

void attempt_outcome::on_lost()
{
    if (!this->ended()) {
        this->phase = this->phase == attempt_phase::sent ? attempt_phase::lost : attempt_phase::unsent;
    }
}

outcome attempt_outcome::current() const
{
    switch (this->phase) {
    case attempt_phase::idle:
    case attempt_phase::unsent:
    case attempt_phase::refused:
        return outcome::not_run;
    case attempt_phase::completed:
        return outcome::completed;
    case attempt_phase::sent:
    case attempt_phase::lost:
        break;
    }
    return outcome::unknown;
}

void request_outcome::on_attempt(const attempt_outcome& attempt)
{
    const auto added = attempt.current();
    if (added == outcome::completed || this->sum == outcome::not_run) {
        this->sum = added;
    }
}

} // namespace rml
