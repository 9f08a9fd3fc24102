#include "peers/observation_messages.hpp"

#include <algorithm>
#include <chrono>

namespace tanagertrack::peers
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace
{

std::uint32_t age_ms(common::time_point at, common::time_point now)
{
    const auto age = duration_cast<milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(std::max<milliseconds::rep>(0, age));
}

} // namespace

void add_observations(LoadMessage& message,
                      const quarantine::observations& observed,
                      common::time_point now)
{
    for (const auto& it : observed.crashes)
    {
        auto& out = *message.add_crashes();
        out.set_id(it.id);
        out.set_target(it.target);
        for (const auto part : routing::all_parts(it.prompt))
            out.add_prompt_parts(part);
        out.set_answer_begun(it.answer_begun);
        out.set_age_ms(age_ms(it.at, now));
    }
    for (const auto& it : observed.sound_parts)
    {
        auto& out = *message.add_sound_parts();
        out.set_part(it.part);
        out.set_age_ms(age_ms(it.at, now));
    }
}

quarantine::observations read_observations(const LoadMessage& message,
                                           common::time_point now)
{
    quarantine::observations out;
    for (const auto& it : message.crashes())
    {
        quarantine::crash_report report;
        report.id = it.id();
        report.target = it.target();
        report.prompt = routing::make_prompt(
            {it.prompt_parts().data(),
             static_cast<std::size_t>(it.prompt_parts_size())});
        report.answer_begun = it.answer_begun();
        report.at = now - milliseconds(it.age_ms());
        out.crashes.push_back(std::move(report));
    }
    for (const auto& it : message.sound_parts())
        out.sound_parts.push_back({it.part(), now - milliseconds(it.age_ms())});
    return out;
}

} // namespace tanagertrack::peers
