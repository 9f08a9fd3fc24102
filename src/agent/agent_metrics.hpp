#ifndef TANAGERTRACK_AGENT_AGENT_METRICS_HPP
#define TANAGERTRACK_AGENT_AGENT_METRICS_HPP

#include "agent/admission.hpp"
#include "common/metrics.hpp"
#include "common/result_code.hpp"

namespace tanagertrack::agent
{

/// Metrics of the agent. Any thread.
class agent_metrics
{
public:
    explicit agent_metrics(common::metrics_registry& registry);

    /// Series of one class of work.
    struct class_metrics
    {
        common::histogram& queue_wait;
        common::histogram& first_token;
        common::histogram& step;
        common::counter& finished;
        common::counter& failed;
        common::counter& cancelled;
        common::gauge& running;
        common::gauge& queued;
    };

    class_metrics& of(work_class kind)
    {
        return kind == work_class::online ? online_ : batch_;
    }

    common::counter& preemptions;
    common::counter& stale_claims;

    /// Counts a refusal.
    void refused(common::result_code code);

private:
    common::metrics_registry& registry_;
    class_metrics online_;
    class_metrics batch_;
};

} // namespace tanagertrack::agent

#endif
