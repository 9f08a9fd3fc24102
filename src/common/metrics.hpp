#ifndef TANAGERTRACK_COMMON_METRICS_HPP
#define TANAGERTRACK_COMMON_METRICS_HPP

#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace tanagertrack::common
{

/// Label of a time series.
struct metric_label
{
    std::string_view name;
    std::string_view value;
};

using metric_labels = std::initializer_list<metric_label>;

/// A number that only increases. Thread-safe.
class counter
{
public:
    void add(std::uint64_t n = 1)
    {
        value_.fetch_add(n, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A number that can increase and decrease. Thread-safe.
class gauge
{
public:
    void set(std::int64_t value)
    {
        value_.store(value, std::memory_order_relaxed);
    }

    void add(std::int64_t n)
    {
        value_.fetch_add(n, std::memory_order_relaxed);
    }

    std::int64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> value_{0};
};

/// Distribution of durations in seconds, counted in buckets whose upper bounds
/// double from 0.5 ms to 524 s. Thread-safe.
class histogram
{
public:
    histogram();
    ~histogram();

    /// Adds one observation in seconds, which must be at least 0.
    void record(double seconds);

    /// Number of observations.
    std::uint64_t count() const;

    /// Returns the upper bound in seconds of the bucket that contains the
    /// quantile `fraction` (0 to 1), or 0 if there are no observations. For the
    /// last bucket, which has no upper bound, returns twice the bound of the
    /// previous one.
    double quantile(double fraction) const;

private:
    friend class metrics_registry;
    struct impl;

    std::unique_ptr<impl> impl_;
};

/// All metrics of a process. A series is created on first use; references to it
/// are valid as long as the registry. Thread-safe.
class metrics_registry
{
public:
    /// A metric has at most `max_series` series. Further label values share one
    /// more series with the label value "other".
    explicit metrics_registry(std::size_t max_series = 1000);
    ~metrics_registry();

    /// Returns the series with these labels, created if necessary. A name must
    /// always be used with the same kind of metric.
    counter& get_counter(std::string_view name, std::string_view help,
                         metric_labels labels = {});
    gauge& get_gauge(std::string_view name, std::string_view help,
                     metric_labels labels = {});
    histogram& get_histogram(std::string_view name, std::string_view help,
                             metric_labels labels = {});

    /// Returns all series in the Prometheus text format.
    std::string render() const;

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

} // namespace tanagertrack::common

#endif
