#include "quarantine/part_quarantine.hpp"
#include "support/test_protocol.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

using namespace tanagertrack;
using namespace tanagertrack::quarantine;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

routing::part_key key(const std::string& id)
{
    return routing::make_part_key(id);
}

part_set set_of(const std::vector<std::string>& ids)
{
    part_set parts;
    for (const auto& it : ids)
        parts.push_back(key(it));
    std::ranges::sort(parts);
    return parts;
}

/// A quarantine whose time a test moves.
struct fixture
{
    /// Reports that a target crashed on a request with this prompt.
    void crash(const std::string& prompt, std::uint32_t target,
               bool answer_begun = true)
    {
        crash_report report;
        report.id = ++reports;
        report.target = target;
        report.prompt = make_prompt(prompt);
        report.answer_begun = answer_begun;
        report.at = now;
        BOOST_TEST(quarantine.report_crash(report, now));
    }

    /// Reports that a target has answered a request with this prompt.
    void answer(const std::string& prompt)
    {
        std::vector<sound_part> parts;
        for (const auto part : routing::all_parts(make_prompt(prompt)))
            parts.push_back({part, now});
        quarantine.report_sound(parts);
    }

    void pass(std::chrono::milliseconds time)
    {
        quarantine.run_checks(now);
        now += time;
        quarantine.run_checks(now);
    }

    bool refuses(const std::string& prompt)
    {
        return quarantine.time_refused(make_prompt(prompt), now).has_value();
    }

    /// Three crashes on two prompts that share "bad", and the verdict.
    void reach_verdict()
    {
        crash("a,bad,1", 1);
        crash("a,bad,1", 2);
        crash("b,bad,2", 3);
        pass(1s);
        BOOST_REQUIRE(refuses("c,bad,3"));
    }

    const quarantine_settings settings{};
    std::vector<verdict> reached;
    unsigned lifted = 0;
    bool may_probe = true;
    std::uint64_t reports = 0;
    common::time_point now = common::time_point() + 24h;
    part_quarantine quarantine{
        settings,
        {.on_verdict = [this](const verdict& it) { reached.push_back(it); },
         .on_lifted = [this](const verdict&, std::string_view) { ++lifted; },
         .may_probe =
             [this]
         {
             return may_probe;
         }}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(part_quarantine_logic, fixture)

// Guards against requests that crash one target after the other.
BOOST_AUTO_TEST_CASE(part_of_several_crashing_prompts_is_refused)
{
    reach_verdict();
    BOOST_REQUIRE(reached.size() == 1);
    BOOST_TEST((reached[0].cause.parts == set_of({"bad"})));
    BOOST_TEST(!refuses("a,good,4"));
    BOOST_TEST(!refuses("a,4"));
}

// Guards against a verdict on a prompt that only one caller repeats, with which
// sound requests would be refused too; and against its endless repetition.
BOOST_AUTO_TEST_CASE(repeats_of_one_crashing_prompt_are_refused_alone)
{
    crash("a,b,1", 1);
    crash("a,b,1", 2);
    crash("a,b,1", 3);
    pass(1s);
    BOOST_TEST(refuses("a,b,1"));
    BOOST_TEST(!refuses("a,b,2"));
}

// Guards against a verdict that is reached one prompt later because a verdict
// on repeats of the first prompt explains its crashes.
BOOST_AUTO_TEST_CASE(crashes_of_a_repeated_prompt_count_against_a_shared_part)
{
    crash("a,bad,1", 1);
    crash("a,bad,1", 2);
    crash("a,bad,1", 3);
    pass(1s);
    crash("b,bad,2", 4);
    pass(1s);
    BOOST_TEST(refuses("c,bad,3"));
}

// Guards against refusing all requests of a caller whose first part is in all
// of the crashing prompts.
BOOST_AUTO_TEST_CASE(parts_that_were_answered_are_not_refused)
{
    quarantine.record_answer({key("first"), now});
    for (std::uint32_t n = 1; n <= 4; ++n)
        crash("first,second,bad," + std::to_string(n), n);
    pass(1s);
    BOOST_TEST((reached.back().cause.parts == set_of({"second", "bad"})));
    BOOST_TEST(!refuses("first,second,9"));

    // An answer with the second part shows that the third one is the cause.
    answer("first,second,9");
    BOOST_TEST(refuses("other,bad,9"));
}

// Guards against the same where the crashing part is not the last shared one.
BOOST_AUTO_TEST_CASE(position_of_the_crashing_part_does_not_matter)
{
    for (std::uint32_t n = 1; n <= 4; ++n)
    {
        answer("first,third,s" + std::to_string(n));
        crash("first,bad,third," + std::to_string(n), n);
    }
    pass(1s);
    BOOST_TEST((reached.back().cause.parts == set_of({"bad"})));
    BOOST_TEST(!refuses("first,third,9"));
}

// Guards against verdicts on popular parts when targets crash for another
// reason: requests with these parts are answered elsewhere meanwhile.
BOOST_AUTO_TEST_CASE(answer_after_the_crashes_prevents_a_verdict)
{
    for (std::uint32_t n = 1; n <= 6; ++n)
        crash("a," + std::to_string(n), n, false);
    quarantine.run_checks(now);
    now += 50ms;
    answer("a,7");
    pass(1s);
    BOOST_TEST(reached.empty());
    BOOST_TEST(!refuses("a,8"));
}

// Guards against a copy of a report that arrives after an answer has refuted
// it.
BOOST_AUTO_TEST_CASE(copies_of_a_refuted_report_are_ignored)
{
    crash_report report;
    report.id = 7;
    report.target = 1;
    report.prompt = make_prompt("a,1");
    report.at = now;
    BOOST_TEST(quarantine.report_crash(report, now));
    now += 50ms;
    answer("a,1");
    BOOST_TEST(!quarantine.report_crash(report, now));
    BOOST_TEST(!quarantine.suspects(report.prompt));
}

// Guards against blaming the other requests at a target that crashes.
BOOST_AUTO_TEST_CASE(requests_beside_the_crashing_one_are_not_suspected)
{
    for (std::uint32_t n = 1; n <= 5; ++n)
    {
        crash("a,bad," + std::to_string(n), n);
        crash("beside,x" + std::to_string(n), n, false);
    }
    pass(1s);
    BOOST_TEST(refuses("a,bad,9"));
    BOOST_TEST(!refuses("beside,9"));
}

// Guards against a verdict after a single crash that many entries have seen.
BOOST_AUTO_TEST_CASE(losses_of_one_target_at_a_time_are_one_crash)
{
    for (int n = 1; n <= 20; ++n)
    {
        crash("a," + std::to_string(n), 1);
        now += 10ms;
    }
    pass(1s);
    BOOST_TEST(reached.empty());
}

// Guards against missing the cause in a service with fewer targets than crashes
// are required.
BOOST_AUTO_TEST_CASE(later_losses_of_one_target_are_further_crashes)
{
    for (int n = 1; n <= 3; ++n)
    {
        crash("bad," + std::to_string(n), 1);
        now += 5s;
    }
    pass(1s);
    BOOST_TEST(refuses("bad,9"));
}

// Guards against a wrong verdict that stays: an answer that arrives for a
// request that was sent before shows that it was wrong.
BOOST_AUTO_TEST_CASE(answer_lifts_a_verdict)
{
    reach_verdict();
    answer("c,bad,3");
    BOOST_TEST(lifted == 1);
    BOOST_TEST(!refuses("c,bad,4"));
}

// Guards against an answer from before the crashes that lifts a verdict.
BOOST_AUTO_TEST_CASE(earlier_answer_does_not_lift_a_verdict)
{
    reach_verdict();
    const sound_part earlier{key("bad"), now - 10s};
    quarantine.report_sound({&earlier, 1});
    BOOST_TEST(lifted == 0);
    BOOST_TEST(refuses("c,bad,4"));
}

// Guards against a verdict that never ends, and against many requests that test
// whether it still holds.
BOOST_AUTO_TEST_CASE(one_request_at_a_time_is_sent_after_the_term)
{
    reach_verdict();
    now += settings.first_term;
    BOOST_TEST(!refuses("c,bad,4"));
    BOOST_TEST(refuses("c,bad,5"));

    // The target crashes: the next term is twice as long.
    now += 100ms;
    crash("c,bad,4", 9);
    BOOST_TEST(reached.back().terms == 2);
    now += settings.first_term;
    BOOST_TEST(refuses("c,bad,6"));
    now += settings.first_term;
    BOOST_TEST(!refuses("c,bad,6"));
    answer("c,bad,6");
    BOOST_TEST(!refuses("c,bad,7"));
    BOOST_TEST(!refuses("c,bad,8"));
}

// Guards against records in the store of parts that no caller uses any more.
BOOST_AUTO_TEST_CASE(verdict_without_requests_is_dropped_after_a_day)
{
    reach_verdict();
    now = reached.back().ends + settings.unused_time - 1ms;
    BOOST_TEST(quarantine.run_checks(now).has_value());
    BOOST_TEST(lifted == 0);
    now += 1ms;
    quarantine.run_checks(now);
    BOOST_TEST(lifted == 1);
    BOOST_TEST(quarantine.verdicts().empty());
}

// Guards against one target lost for each entry after a term.
BOOST_AUTO_TEST_CASE(only_the_leader_sends_after_the_term)
{
    reach_verdict();
    may_probe = false;
    now += settings.first_term + 1h;
    BOOST_TEST(refuses("c,bad,4"));
    may_probe = true;
    BOOST_TEST(!refuses("c,bad,4"));
}

// Guards against forgetting a verdict when the entry is replaced.
BOOST_AUTO_TEST_CASE(recorded_verdict_is_applied)
{
    quarantine.import_verdict({key("bad"), set_of({"bad"}), false}, 3, now);
    BOOST_TEST(refuses("a,bad,1"));
    BOOST_TEST(reached.empty());
    now += settings.first_term * 3;
    BOOST_TEST(refuses("a,bad,1"));
    quarantine.import_lifting(key("bad"));
    BOOST_TEST(!refuses("a,bad,1"));
}

// Guards against memory that grows with the callers' prompts.
BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    for (std::uint32_t n = 0; n < 2000; ++n)
    {
        const auto id = std::to_string(n);
        for (std::uint32_t target = 0; target < 3; ++target)
            crash("p" + id + ",q" + id, target);
        quarantine.record_answer({n, now});
        now += 2s;
        pass(1s);
    }
    BOOST_TEST(quarantine.verdicts().size() <= settings.max_verdicts);

    answered_parts answered(100);
    for (std::uint32_t n = 0; n < 1000; ++n)
        answered.record({n, now});
    BOOST_TEST(answered.size() <= 100);
    BOOST_TEST(answered.find(999).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
