#include "store/keyed_follower.hpp"
#include "store/partition_follower.hpp"
#include "support/event_loop.hpp"
#include "support/fake_store.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace tanagertrack;
using namespace std::chrono_literals;
using test::call_outcome;
using test::run_until;

namespace
{

/// A follower of one partition and what it told.
struct fixture
{
    fixture()
    {
        store::follower_hooks hooks;
        hooks.on_records =
            [this](std::uint64_t offset, std::span<const std::string> its)
        {
            BOOST_TEST(offset == records.size() + started_at);
            records.insert(records.end(), its.begin(), its.end());
        };
        hooks.on_expired = [this](std::uint64_t first)
        {
            expired.push_back(first);
        };
        hooks.on_reachable = [this](bool it)
        {
            reachable.push_back(it);
        };
        hooks.on_caught_up = [this]
        {
            caught_up.push_back(follower->next_offset());
        };
        store::follower_settings settings;
        settings.wait = 20ms;
        settings.retry = {1ms, 2ms};
        follower = std::make_shared<store::partition_follower>(
            context, fake.service(), store::partition_ref{"t", 0}, settings,
            std::move(hooks));
    }

    ~fixture()
    {
        follower->stop();
        test::run_ready(context);
    }

    void append(const std::string& record)
    {
        fake.model.append({"t", 0, {record}, {}, {}, 0, 0},
                          common::clock::now());
        fake.wake();
    }

    boost::asio::io_context context;
    test::fake_store fake{context};
    std::shared_ptr<store::partition_follower> follower;
    std::uint64_t started_at = 0;
    std::vector<std::string> records;
    std::vector<std::uint64_t> expired;
    std::vector<bool> reachable;
    std::vector<std::uint64_t> caught_up;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(partition_follower, fixture)

// Guards against records that are told twice or not at all.
BOOST_AUTO_TEST_CASE(records_come_in_order)
{
    append("a");
    append("b");
    follower->start(0);
    BOOST_TEST(run_until(context, [&] { return records.size() == 2; }));
    append("c");
    BOOST_TEST(run_until(context, [&] { return records.size() == 3; }));
    BOOST_TEST((records == std::vector<std::string>{"a", "b", "c"}));
    BOOST_TEST(follower->next_offset() == 3);
}

// Guards against a follower that starts while the store fails, or at an empty
// partition, and never says that it has read all.
BOOST_AUTO_TEST_CASE(end_is_told_once_for_each_start)
{
    unsigned failures = 2;
    fake.read_outcome = [&]
    {
        return failures > 0 && failures-- > 0 ? call_outcome::refused
                                              : call_outcome::done;
    };
    follower->start(0);
    BOOST_TEST(run_until(context, [&] { return caught_up.size() == 1; }));
    append("a");
    BOOST_TEST(run_until(context, [&] { return records.size() == 1; }));
    test::run_for(context, 50ms);
    BOOST_TEST(caught_up.size() == 1);
    started_at = 1;
    records.clear();
    follower->start(1);
    BOOST_TEST(run_until(context, [&] { return caught_up.size() == 2; }));
    BOOST_TEST(caught_up.back() == 1);
}

// A confirmation reads beside the read that is held back; the records of both
// must be told once.
BOOST_AUTO_TEST_CASE(confirmation_covers_what_was_appended_before)
{
    follower->start(0);
    BOOST_TEST(run_until(context, [&] { return fake.reads >= 1; }));
    fake.model.append({"t", 0, {"a", "b"}, {}, {}, 0, 0}, common::clock::now());
    bool confirmed = false;
    follower->confirm(0ms,
                      [&](std::error_code ec)
                      {
                          BOOST_TEST(!ec);
                          BOOST_TEST(records.size() == 2);
                          confirmed = true;
                      });
    BOOST_TEST(run_until(context, [&] { return confirmed; }));
    fake.wake();
    test::run_ready(context);
    BOOST_TEST(records.size() == 2);
}

BOOST_AUTO_TEST_CASE(fresh_view_needs_no_read)
{
    follower->start(0);
    BOOST_TEST(run_until(context, [&]
                         { return follower->current_as_of().has_value(); }));
    const auto reads = fake.reads;
    bool confirmed = false;
    follower->confirm(10s, [&](std::error_code ec) { confirmed = !ec; });
    BOOST_TEST(confirmed);
    BOOST_TEST(fake.reads == reads);
}

// Guards against a 404 for a job that only an unreachable store knows.
BOOST_AUTO_TEST_CASE(confirmation_fails_without_the_store)
{
    follower->start(0);
    fake.read_outcome = []
    {
        return call_outcome::refused;
    };
    std::error_code result;
    follower->confirm(0ms, [&](std::error_code ec) { result = ec; });
    BOOST_TEST(run_until(context, [&] { return !!result; }));
    BOOST_TEST(run_until(context, [&] { return !reachable.empty(); }));
    BOOST_TEST(!follower->reachable());

    fake.read_outcome = []
    {
        return call_outcome::done;
    };
    BOOST_TEST(run_until(context, [&] { return follower->reachable(); }));
    BOOST_TEST((reachable == std::vector<bool>{false, true}));
}

// Guards against a follower that waits for ever at an offset that is gone.
BOOST_AUTO_TEST_CASE(lost_offset_is_told)
{
    append("a");
    append("b");
    fake.model.trim("t", 0, 1);
    follower->start(0);
    BOOST_TEST(run_until(context, [&] { return !expired.empty(); }));
    BOOST_TEST(expired.front() == 1u);
    started_at = 1;
    follower->start(1);
    BOOST_TEST(run_until(context, [&] { return records.size() == 1; }));
    BOOST_TEST(records.front() == "b");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(keyed_follower)

namespace
{

struct keyed_fixture
{
    keyed_fixture()
    {
        store::keyed_hooks hooks;
        hooks.on_value = [this](const std::string& key,
                                std::optional<std::string_view> value)
        {
            if (value)
                values[key] = *value;
            else
                values.erase(key);
        };
        hooks.on_list = [this](const std::vector<std::string>& keys)
        {
            lists.push_back(keys);
        };
        hooks.on_reachable = [](bool) {
        };
        store::follower_settings settings;
        settings.wait = 20ms;
        settings.retry = {1ms, 2ms};
        follower = std::make_shared<store::keyed_follower>(
            context, fake.service(), store::partition_ref{"keyed.k", 0},
            settings, std::move(hooks));
    }

    ~keyed_fixture()
    {
        follower->stop();
        test::run_ready(context);
    }

    void put(const std::string& key, const std::optional<std::string>& value)
    {
        fake.model.put("keyed.k", key, value, common::clock::now());
        fake.wake();
    }

    boost::asio::io_context context;
    test::fake_store fake{context};
    std::shared_ptr<store::keyed_follower> follower;
    std::map<std::string, std::string> values;
    std::vector<std::vector<std::string>> lists;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(list_then_changes, keyed_fixture)
{
    put("a", "1");
    put("a", "2");
    follower->start();
    BOOST_TEST(run_until(context, [&] { return lists.size() == 1; }));
    BOOST_TEST(values["a"] == "2");
    put("b", "3");
    BOOST_TEST(run_until(context, [&] { return values.size() == 2; }));
    put("a", std::nullopt);
    BOOST_TEST(run_until(context, [&] { return values.size() == 1; }));
    BOOST_TEST(lists.size() == 1);
}

// Guards against changes that are missed when the store forgets its history.
BOOST_FIXTURE_TEST_CASE(gap_in_the_history_loads_the_list_again, keyed_fixture)
{
    put("a", "1");
    put("b", "1");
    follower->start();
    BOOST_TEST(run_until(context, [&] { return lists.size() == 1; }));

    // Changed and removed while the follower can't read.
    fake.read_outcome = []
    {
        return call_outcome::refused;
    };
    fake.wake();
    test::run_ready(context);
    put("a", "2");
    put("b", std::nullopt);
    fake.model.forget_history();
    fake.read_outcome = []
    {
        return call_outcome::done;
    };
    BOOST_TEST(run_until(context, [&] { return lists.size() == 2; }));
    BOOST_TEST(values["a"] == "2");
    BOOST_TEST((lists.back() == std::vector<std::string>{"a"}));
}

// A record of another writer that is no key and value must not stop the rest.
BOOST_FIXTURE_TEST_CASE(unreadable_record_is_skipped, keyed_fixture)
{
    follower->start();
    BOOST_TEST(run_until(context, [&] { return lists.size() == 1; }));
    fake.model.append({"keyed.k", 0, {"\x7fshort", ""}, {}, {}, 0, 0},
                      common::clock::now());
    put("a", "1");
    BOOST_TEST(run_until(context, [&] { return values.size() == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()
