#ifndef TANAGERTRACK_ROUTING_SERVICE_CURVE_HPP
#define TANAGERTRACK_ROUTING_SERVICE_CURVE_HPP

#include "common/clock.hpp"

namespace tanagertrack::routing
{

/// Time that a unit of work takes on the targets of a service, as a line over
/// the number of running requests. Fitted by least squares with forgetting; a
/// common factor follows faster, so that a slow entry does not take its own
/// delays for those of the targets. Not thread-safe.
class service_curve
{
public:
    /// Adds a measurement and returns the logarithm of its time relative to the
    /// curve. `relative_time` is the known one of the target.
    double add(double time_ms, double running, double relative_time,
               common::time_point now);

    /// Returns the increase of the time for each running request, relative to
    /// that of an idle target.
    double slope() const
    {
        return slope_;
    }

private:
    /// Fits the line to the sums.
    void fit();

    common::time_point updated_;
    double weight_ = 0;
    double sum_x_ = 0;
    double sum_y_ = 0;
    double sum_xx_ = 0;
    double sum_xy_ = 0;
    double base_ = 0;
    double slope_ = 0.05; // a typical engine with continuous batching

    /// Logarithm of the common factor, and its weight.
    double level_ = 0;
    double level_weight_ = 0;
};

} // namespace tanagertrack::routing

#endif
