#include "common/periodic_timer.hpp"
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

/// A follower of one partition, and everything that its hooks received.
struct fixture
{
    fixture()
    {
        store::follower_hooks hooks;
        hooks.on_records =
            [this](std::uint64_t offset, std::span<const std::string> received)
        {
            BOOST_TEST(offset == records.size() + started_at);
            records.insert(records.end(), received.begin(), received.end());
        };
        hooks.on_expired = [this](std::uint64_t first)
        {
            expired.push_back(first);
        };
        hooks.on_reachable = [this](bool value)
        {
            reachable.push_back(value);
        };
        hooks.on_caught_up = [this]
        {
            caught_up.push_back(follower->next_offset());
        };
        store::follower_settings settings;
        settings.wait = 20ms;
        settings.max_confirmation = 50ms;
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

    void start_and_catch_up()
    {
        follower->start(0);
        BOOST_TEST(run_until(
            context, [&] { return follower->current_as_of().has_value(); }));
    }

    /// Confirms the log as of now, and checks that the confirmation succeeds
    /// with `n` records delivered.
    void confirm_records(std::size_t n)
    {
        bool confirmed = false;
        follower->confirm(common::clock::now(),
                          [&](std::error_code ec)
                          {
                              BOOST_TEST(!ec);
                              BOOST_TEST(records.size() == n);
                              confirmed = true;
                          });
        BOOST_TEST(run_until(context, [&] { return confirmed; }));
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

// Guards against records that are delivered twice or not at all.
BOOST_AUTO_TEST_CASE(records_are_delivered_in_order_and_once)
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

// Guards against a follower that never calls on_caught_up because its first
// reads fail or because the partition is empty.
BOOST_AUTO_TEST_CASE(caught_up_hook_is_called_once_per_start)
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

// Guards against records that are delivered twice: a confirmation reads while
// the store still delays the regular read, and both return the same records.
BOOST_AUTO_TEST_CASE(
    confirmation_delivers_earlier_records_once_while_a_read_is_pending)
{
    follower->start(0);
    BOOST_TEST(run_until(context, [&] { return fake.reads >= 1; }));
    fake.model.append({"t", 0, {"a", "b"}, {}, {}, 0, 0}, common::clock::now());
    confirm_records(2);
    fake.wake();
    test::run_ready(context);
    BOOST_TEST(records.size() == 2);
}

BOOST_AUTO_TEST_CASE(confirmation_needs_no_read_when_the_view_is_recent)
{
    start_and_catch_up();
    const auto reads = fake.reads;
    bool confirmed = false;
    follower->confirm(*follower->current_as_of(),
                      [&](std::error_code ec) { confirmed = !ec; });
    BOOST_TEST(confirmed);
    BOOST_TEST(fake.reads == reads);
}

// Guards against calls to the store that grow with the number of readers: one
// read serves all confirmations that were asked for before it started.
BOOST_AUTO_TEST_CASE(concurrent_confirmations_share_one_read)
{
    constexpr int readers = 100;
    start_and_catch_up();
    const auto reads = fake.reads;
    int confirmed = 0;
    for (int n = 0; n < readers; ++n)
        follower->confirm(common::clock::now(),
                          [&](std::error_code ec) { confirmed += ec ? 0 : 1; });
    BOOST_TEST(run_until(context, [&] { return confirmed == readers; }));

    // The first confirmation starts a read; the next read serves the others.
    // A regular read may end in between.
    BOOST_TEST(fake.reads - reads <= 3);
}

// Guards against a confirmation that is ended by a read that started before it:
// records appended in between would be missing.
BOOST_AUTO_TEST_CASE(confirmation_is_not_served_by_a_read_that_began_before_it)
{
    start_and_catch_up();
    bool first_confirmed = false;
    follower->confirm(common::clock::now(),
                      [&](std::error_code) { first_confirmed = true; });

    // The model changes without waking reads, as if the answer to the first
    // read were already on its way.
    fake.model.append({"t", 0, {"a"}, {}, {}, 0, 0}, common::clock::now());
    confirm_records(1);
    BOOST_TEST(first_confirmed);
}

// Guards against a reader that waits without end for a store that accepts calls
// and doesn't answer them, or that answers but never lets the reader catch up.
BOOST_AUTO_TEST_CASE(confirmation_fails_in_time_while_the_store_is_silent)
{
    start_and_catch_up();
    fake.read_outcome = []
    {
        return call_outcome::silent;
    };
    std::vector<std::error_code> outcomes;
    for (int n = 0; n < 2; ++n)
        follower->confirm(common::clock::now(),
                          [&](std::error_code ec) { outcomes.push_back(ec); });
    BOOST_TEST(run_until(context, [&] { return outcomes.size() == 2; }));
    for (const auto& ec : outcomes)
        BOOST_TEST((ec == common::result_code::log_unavailable));

    // The answers of the silent time come late and change nothing; the next
    // confirmation succeeds.
    fake.read_outcome = []
    {
        return call_outcome::done;
    };
    append("a");
    fake.answer_silent_reads();
    confirm_records(1);
    BOOST_TEST(outcomes.size() == 2);
}

// Guards against a confirmation that succeeds while the store is unreachable: a
// caller would get 404 for a job whose records were not read yet.
BOOST_AUTO_TEST_CASE(confirmation_fails_while_the_store_is_unreachable)
{
    follower->start(0);
    fake.read_outcome = []
    {
        return call_outcome::refused;
    };
    std::error_code result;
    follower->confirm(common::clock::now(),
                      [&](std::error_code ec) { result = ec; });
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

// Guards against a follower that retries forever at an offset that the store
// no longer retains.
BOOST_AUTO_TEST_CASE(expired_offset_is_reported_with_the_first_retained_one)
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

BOOST_AUTO_TEST_SUITE(follower_herd)

namespace
{

/// Puts a store behind a link that all readers share in equal parts. A read
/// that has not ended after `timeout` fails.
class shared_link
{
public:
    explicit shared_link(boost::asio::io_context& context)
        : timer_(context, step, [this] { carry(); })
    {
        timer_.start();
    }

    store::store_service service(test::fake_store& fake)
    {
        auto out = fake.service();
        out.read =
            [this, read = out.read](const store::read_call& call, auto done)
        {
            read(call,
                 [this, done](const store::read_result& result)
                 {
                     std::size_t bytes = 0;
                     for (const auto& it : result.records)
                         bytes += it.size();
                     transfers_.push_back({result, static_cast<double>(bytes),
                                           common::clock::now() + timeout,
                                           done});
                 });
        };
        return out;
    }

private:
    struct transfer
    {
        store::read_result result;
        double bytes_left = 0;
        common::time_point deadline;
        std::function<void(store::read_result)> done;
    };

    void carry()
    {
        const auto now = common::clock::now();
        const std::chrono::duration<double, std::milli> elapsed = now - last_;
        last_ = now;
        if (transfers_.empty())
            return;
        const auto share = bytes_per_ms * elapsed.count() /
                           static_cast<double>(transfers_.size());
        for (auto& it : std::exchange(transfers_, {}))
        {
            it.bytes_left -= share;
            if (it.bytes_left <= 0)
                it.done(it.result);
            else if (now < it.deadline)
                transfers_.push_back(std::move(it));
            else
                it.done(
                    {make_error_code(common::result_code::log_unavailable)});
        }
    }

    static constexpr double bytes_per_ms = 200'000;
    static constexpr auto timeout = 150ms;
    static constexpr auto step = 1ms;
    common::periodic_timer timer_;
    common::time_point last_ = common::clock::now();
    std::vector<transfer> transfers_;
};

} // namespace

// Guards against readers that start at the same time, as after a loss of power,
// and never catch up: reads of the maximum size would all time out, each time.
BOOST_AUTO_TEST_CASE(many_followers_that_start_at_once_all_catch_up)
{
    constexpr unsigned readers = 100;
    constexpr unsigned records = 500;
    constexpr std::size_t record_bytes = 1024;
    boost::asio::io_context context;
    test::fake_store fake{context};
    shared_link link{context};
    for (unsigned n = 0; n < records; ++n)
        fake.model.append(
            {"t", 0, {std::string(record_bytes, 'x')}, {}, {}, 0, 0},
            common::clock::now());

    // All records of all readers take 256 ms on the link: reads of all records
    // at once would need more than their timeout.
    unsigned caught_up = 0;
    std::vector<std::shared_ptr<store::partition_follower>> followers;
    for (unsigned n = 0; n < readers; ++n)
    {
        store::follower_hooks hooks;
        hooks.on_records = [](std::uint64_t, std::span<const std::string>) {
        };
        hooks.on_reachable = [](bool) {
        };
        hooks.on_caught_up = [&caught_up]
        {
            ++caught_up;
        };
        store::follower_settings settings;
        settings.retry = {1ms, 20ms};
        followers.push_back(std::make_shared<store::partition_follower>(
            context, link.service(fake), store::partition_ref{"t", 0}, settings,
            std::move(hooks)));
        followers.back()->start(0);
    }
    BOOST_TEST(run_until(context, [&] { return caught_up == readers; }));
    for (const auto& it : followers)
        it->stop();
    fake.wake();
    test::run_ready(context);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(keyed_follower)

namespace
{

/// A follower of a keyed topic, with the values and lists it has delivered.
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

BOOST_FIXTURE_TEST_CASE(existing_keys_are_listed_and_then_changes_are_applied,
                        keyed_fixture)
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

// Guards against missed changes: the store deletes its history before the
// follower has read the changes in it.
BOOST_FIXTURE_TEST_CASE(keys_are_loaded_again_after_a_gap_in_the_history,
                        keyed_fixture)
{
    put("a", "1");
    put("b", "1");
    follower->start();
    BOOST_TEST(run_until(context, [&] { return lists.size() == 1; }));

    // A key is changed and another one removed while reads fail.
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

// Guards against a follower that stops at a malformed record of another writer.
BOOST_FIXTURE_TEST_CASE(malformed_record_is_skipped, keyed_fixture)
{
    follower->start();
    BOOST_TEST(run_until(context, [&] { return lists.size() == 1; }));
    fake.model.append({"keyed.k", 0, {"\x7fshort", ""}, {}, {}, 0, 0},
                      common::clock::now());
    put("a", "1");
    BOOST_TEST(run_until(context, [&] { return values.size() == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()
