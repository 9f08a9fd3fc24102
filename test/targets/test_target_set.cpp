#include "support/event_loop.hpp"
#include "support/test_protocol.hpp"
#include "targets/target_set.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace tanagertrack;
using namespace tanagertrack::test;

namespace
{

constexpr std::size_t n_targets = 40;

/// The targets of an entry that uses at most `most` of them.
struct entry_targets
{
    entry_targets(boost::asio::io_context& context, const std::string& entry,
                  std::size_t most)
        : set(context, {"d", "r", {}, entry, most}, [] {})
    {
        for (std::size_t n = 0; n < n_targets; ++n)
            set.add(name(n), make_announcement({"127.0.0.1", 1}));
    }

    static std::string name(std::size_t n)
    {
        return "t" + std::to_string(n);
    }

    std::set<std::string> used() const
    {
        std::set<std::string> out;
        for (const auto& it : set.of_service("s"))
            out.insert(it->id());
        return out;
    }

    targets::target_set set;
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_set)

BOOST_AUTO_TEST_CASE(entry_uses_all_targets_unless_told_otherwise)
{
    boost::asio::io_context context;
    const entry_targets one(context, "e", 0);
    BOOST_TEST(one.used().size() == n_targets);
    BOOST_TEST(one.set.of_service("other").empty());
}

// Guards against connections of each entry to each target, and against targets
// that no entry uses.
BOOST_AUTO_TEST_CASE(entries_together_use_all_targets)
{
    boost::asio::io_context context;
    constexpr std::size_t most = 10;
    std::set<std::string> all;
    for (int n = 0; n < 40; ++n)
    {
        const entry_targets it(context, "e" + std::to_string(n), most);
        const auto used = it.used();
        BOOST_TEST(used.size() == most);
        all.insert(used.begin(), used.end());
    }
    BOOST_TEST(all.size() == n_targets);
}

// Guards against an entry that loses its connections when one target goes.
BOOST_AUTO_TEST_CASE(removed_target_is_replaced_by_one_other)
{
    boost::asio::io_context context;
    entry_targets it(context, "e", 10);
    const auto before = it.used();
    const auto gone = *before.begin();
    it.set.remove(gone);
    const auto after = it.used();
    BOOST_TEST(after.size() == 10U);
    BOOST_TEST(!after.contains(gone));
    std::size_t kept = 0;
    for (const auto& id : before)
        kept += after.contains(id) ? 1 : 0;
    BOOST_TEST(kept == 9U);
    it.set.add(gone, make_announcement({"127.0.0.1", 1}));
    BOOST_TEST((it.used() == before));
}

BOOST_AUTO_TEST_CASE(changed_regions_change_the_distances)
{
    boost::asio::io_context context;
    targets::target_set set(context, {"home", "r", {}, "e", 0}, [] {});
    set.add("t", make_announcement({"127.0.0.1", 1}));
    BOOST_TEST((set.find("t")->load.far == routing::distance::same_region));
    set.set_regions({{"d", "far away"}});
    BOOST_TEST((set.find("t")->load.far == routing::distance::other_region));
}

BOOST_AUTO_TEST_SUITE_END()
