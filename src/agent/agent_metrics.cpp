#include "agent/agent_metrics.hpp"

namespace tanagertrack::agent
{

namespace
{

agent_metrics::class_metrics make_class(common::metrics_registry& registry,
                                        std::string_view kind)
{
    const common::metric_labels labels = {{"class", kind}};
    return {
        registry.get_histogram("tanagertrack_agent_queue_wait_seconds",
                               "time from receipt to a slot", labels),
        registry.get_histogram("tanagertrack_agent_first_token_seconds",
                               "time from a slot to the first text", labels),
        registry.get_histogram("tanagertrack_agent_step_seconds",
                               "time between two pieces of text", labels),
        registry.get_counter("tanagertrack_agent_finished_total",
                             "work with a complete answer", labels),
        registry.get_counter("tanagertrack_agent_failed_total",
                             "work that failed at the target", labels),
        registry.get_counter("tanagertrack_agent_cancelled_total",
                             "work given up by its entry", labels),
        registry.get_gauge("tanagertrack_agent_running",
                           "work that holds a slot", labels),
        registry.get_gauge("tanagertrack_agent_queued",
                           "work that waits for a slot", labels),
    };
}

} // namespace

agent_metrics::agent_metrics(common::metrics_registry& registry)
    : preemptions(registry.get_counter("tanagertrack_agent_preemptions_total",
                                       "batch items that gave up a slot")),
      stale_claims(
          registry.get_counter("tanagertrack_agent_stale_claims_total",
                               "work refused because of a replaced claim")),
      registry_(registry), online_(make_class(registry, "online")),
      batch_(make_class(registry, "batch"))
{
}

void agent_metrics::refused(common::result_code code)
{
    registry_
        .get_counter("tanagertrack_agent_refusals_total",
                     "work refused as not run",
                     {{"code", common::info(code).name}})
        .add();
}

} // namespace tanagertrack::agent
