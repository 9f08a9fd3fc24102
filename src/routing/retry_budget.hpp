#ifndef TANAGERTRACK_ROUTING_RETRY_BUDGET_HPP
#define TANAGERTRACK_ROUTING_RETRY_BUDGET_HPP

namespace tanagertrack::routing
{

/// Limits on the retries of an entry.
struct retry_budget_settings
{
    /// Average number of retries per request, from 0 to 1; 0 disables retries.
    double ratio = 0.1;

    /// Maximum number of unused retries that accumulate, and the number that is
    /// available at start. Enough for the requests in flight on a few targets
    /// that are lost at once.
    double burst = 100;
};

/// Token bucket that limits retries to a share of the requests, so that retries
/// don't multiply the load when many targets fail. Not thread-safe.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings);

    /// Adds `ratio` to the available retries, up to `burst`.
    void record_request();

    /// Acquires one retry. Returns false if none is available.
    [[nodiscard]] bool try_acquire();

    /// Number of available retries; may be fractional.
    double available() const
    {
        return tokens_;
    }

private:
    retry_budget_settings settings_;
    double tokens_;
};

} // namespace tanagertrack::routing

#endif
