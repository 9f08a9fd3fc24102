#include "targets/target_hooks.hpp"

namespace tanagertrack::targets
{

std::string_view to_string(attempt_result value)
{
    switch (value)
    {
    case attempt_result::complete:
        return "complete";
    case attempt_result::not_run:
        return "not_run";
    case attempt_result::lost_at_start:
        return "lost_at_start";
    case attempt_result::lost_midway:
        return "lost_midway";
    case attempt_result::invalid:
        return "invalid";
    }
    return "unknown";
}

} // namespace tanagertrack::targets
