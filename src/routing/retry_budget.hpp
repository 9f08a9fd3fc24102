#ifndef TANAGERTRACK_ROUTING_RETRY_BUDGET_HPP
#define TANAGERTRACK_ROUTING_RETRY_BUDGET_HPP

namespace tanagertrack::routing
{

/// Bounds of the retries of an entry.
struct retry_budget_settings
{
    /// Retries for each request, on average, 0 to 1. 0: none at all.
    double ratio = 0.1;

    /// Retries that can be saved up, and that there are at start. Enough for
    /// the requests in flight on a few targets that are lost at once.
    double burst = 100;
};

/// Bounds retries to a share of the requests, so that a failure of many
/// targets is not multiplied. One thread.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings);

    /// A request came; saves up its share of a retry.
    void record_request();

    /// Takes one retry. False: there is none left.
    [[nodiscard]] bool try_acquire();

    /// Retries left.
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
