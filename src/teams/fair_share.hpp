#ifndef TANAGERTRACK_TEAMS_FAIR_SHARE_HPP
#define TANAGERTRACK_TEAMS_FAIR_SHARE_HPP

#include "common/clock.hpp"

#include <chrono>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

namespace tanagertrack::teams
{

/// Requests/s of a team at all entries together.
struct team_demand
{
    std::uint64_t team = 0;

    /// 0 is the highest.
    std::uint32_t priority = 0;
    double per_s = 0;
};

/// Constants of the decision.
struct share_settings
{
    /// Time between two computations of the fair rate.
    std::chrono::milliseconds interval{100};

    /// Time constants of the rate of admitted requests, and of the capacity.
    std::chrono::milliseconds rate_window{500};
    std::chrono::milliseconds capacity_window{1000};

    /// Mean wait that is aimed at, as a share of the objective, and the change
    /// of the divided capacity with the distance from it. Waits in the middle
    /// keep the targets busy, and requests in time.
    double aim = 0.3;
    double gain = 0.7;

    /// Requests are shared until the divided capacity is above this multiple of
    /// the demand.
    double end_at = 1.1;
};

/// Divides what the targets can take among the teams while it is short, by
/// max-min fairness, after core-stateless fair queueing (Stoica, Shenker,
/// Zhang, 1998): a team above the fair rate keeps the share fair rate / demand
/// of its requests. All entries know the demand of all teams, so that they
/// compute about the same rate. Teams of a better priority are filled first.
///
/// Has no clock, network or randomness. Not thread-safe.
class fair_share
{
public:
    explicit fair_share(share_settings settings = {}) : settings_(settings)
    {
    }

    /// Records the estimated wait of a request. Sharing begins with a
    /// wait above the objective of its route.
    void handle_wait(double wait_s, double objective_s);

    /// Returns true if `update` has something to compute now.
    bool is_due(common::time_point now) const
    {
        return now - updated_at_ >= settings_.interval;
    }

    /// Returns true if `update` needs the demand of the teams.
    bool needs_demand() const
    {
        return had_long_wait_ || is_active();
    }

    /// Computes the fair rate from the demand of all teams, and the number of
    /// requests that all entries have admitted so far.
    void update(const std::vector<team_demand>& demand, double admitted,
                common::time_point now);

    /// True while capacity is short.
    bool is_active() const
    {
        return capacity_ < unlimited;
    }

    /// Returns the share (0 to 1) of a team's requests that are kept.
    double kept_share(std::uint64_t team) const;

    /// Requests/s that are divided among the teams.
    double capacity() const
    {
        return capacity_;
    }

private:
    static constexpr double unlimited = std::numeric_limits<double>::infinity();

    /// Estimates what the targets take from what is admitted and from the
    /// change of the waits, and sets the capacity that is divided.
    void estimate_capacity(double total, double elapsed_s);
    void divide(const std::vector<team_demand>& demand);

    share_settings settings_;

    // Waits since the last update.
    bool had_long_wait_ = false;
    double wait_sum_s_ = 0;
    double ratio_sum_ = 0;
    unsigned wait_count_ = 0;
    double last_wait_s_ = 0;

    common::time_point updated_at_;
    double admitted_ = 0;
    double admitted_per_s_ = 0;
    double served_per_s_ = 0;
    double capacity_ = unlimited;

    /// Teams of which a part of the requests is refused.
    std::unordered_map<std::uint64_t, double> kept_;
};

} // namespace tanagertrack::teams

#endif
