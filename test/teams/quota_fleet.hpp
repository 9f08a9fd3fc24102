#ifndef TANAGERTRACK_TEST_TEAMS_QUOTA_FLEET_HPP
#define TANAGERTRACK_TEST_TEAMS_QUOTA_FLEET_HPP

#include "teams/fleet_quota.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace tanagertrack::test
{

/// Entries that decide on the requests of one team and exchange messages, in
/// simulated time, without a network.
class quota_fleet
{
public:
    /// Length of a step in ms.
    static constexpr int step_ms = 5;

    /// Network between the entries.
    struct link_settings
    {
        int min_delay_ms = 1;
        int max_delay_ms = 10;
        double loss = 0;
    };

    quota_fleet(std::size_t entries, teams::quota_settings settings,
                std::uint64_t seed);

    /// Sets the rate of requests of the whole team, as a function of time.
    std::function<double(int ms)> rate = [](int)
    {
        return 0.0;
    };

    /// Sets the limit that an entry knows at a time.
    std::function<teams::quota_limit(std::size_t entry, int ms)> limit;

    /// Shares of the entries in the requests; need not add up to 1.
    std::vector<double> weights;
    link_settings links;

    /// Part of the network in which each entry is. Messages stay within.
    std::vector<int> parts;

    /// Share of admitted requests that are returned as not run.
    double returned = 0;

    void freeze(std::size_t entry);

    /// Resumes an entry. It handles the messages and requests that have waited,
    /// in any order.
    void resume(std::size_t entry);

    /// Replaces an entry by a new process. The others get to know of it, and it
    /// of them, after the given time.
    void restart(std::size_t entry, int known_after_ms);

    void step();

    int now_ms() const
    {
        return now_ms_;
    }

    /// Requests that ran, and that were refused, in each step.
    std::vector<std::uint32_t> ran;
    std::vector<std::uint32_t> refused;

    /// Bytes of counters that one entry sent in messages to one other, and
    /// number of messages.
    std::uint64_t uses_sent = 0;
    std::uint64_t messages_sent = 0;

private:
    struct message
    {
        int arrives_ms = 0;
        std::size_t to = 0;
        std::string from;
        std::shared_ptr<std::vector<teams::team_use>> uses;
    };

    struct node
    {
        std::string name;
        std::unique_ptr<teams::fleet_quota> quota;
        teams::quota_limit limit;
        bool frozen = false;
        bool changed = false;
        int sent_ms = 0;
        unsigned starts = 0;
        std::deque<message> waiting;
        unsigned queued_requests = 0;
    };

    struct introduction
    {
        int at_ms = 0;
        std::size_t entry = 0;
        std::string name;
        std::string replaced;
    };

    common::time_point time() const;
    void send(std::size_t from);
    void deliver(const message& it);
    void handle_request(std::size_t entry);
    void introduce(const introduction& it);

    teams::quota_settings settings_;
    std::mt19937_64 random_;
    std::vector<node> nodes_;
    std::vector<introduction> introductions_;

    /// Messages on their way, by step of arrival.
    std::vector<std::vector<message>> in_flight_;
    int now_ms_ = 0;
};

} // namespace tanagertrack::test

#endif
