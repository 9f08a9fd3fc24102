#include "common/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/framework/accumulator_base.hpp>
#include <boost/accumulators/framework/extractor.hpp>
#include <boost/accumulators/framework/parameters/sample.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/assert.hpp>

#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <mutex>
#include <variant>
#include <vector>

namespace tanagertrack::common
{

namespace
{

/// Upper bounds of the buckets double from 0.5 ms; the last bucket has none.
constexpr std::size_t bucket_count = 22;
constexpr double first_bound_s = 0.0005;

/// Upper bound of a bucket in seconds.
double bucket_bound(std::size_t index)
{
    return std::ldexp(first_bound_s, static_cast<int>(index));
}

std::size_t bucket_index(double seconds)
{
    std::size_t i = 0;
    while (i + 1 < bucket_count && seconds > bucket_bound(i))
        ++i;
    return i;
}

using bucket_array = std::array<std::uint64_t, bucket_count>;

} // namespace

namespace accumulator_impl
{

namespace acc = boost::accumulators;

/// Accumulator that counts samples in buckets whose bounds double. Boost's
/// density accumulator has to know the range of the samples in advance.
struct doubling_buckets_impl : acc::accumulator_base
{
    using result_type = const bucket_array&;

    explicit doubling_buckets_impl(acc::dont_care)
    {
    }

    template<typename Args>
    void operator()(const Args& args)
    {
        ++buckets_[bucket_index(args[acc::sample])];
    }

    result_type result(acc::dont_care) const
    {
        return buckets_;
    }

private:
    bucket_array buckets_{};
};

namespace tag
{

struct doubling_buckets : acc::depends_on<>
{
    using impl = boost::mpl::always<doubling_buckets_impl>;
};

} // namespace tag

const acc::extractor<tag::doubling_buckets> doubling_buckets = {};

} // namespace accumulator_impl

namespace
{

namespace acc = boost::accumulators;

using accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    accumulator_impl::tag::doubling_buckets>>;

std::string format_labels(metric_labels labels)
{
    std::string text;
    for (const auto& label : labels)
    {
        text += text.empty() ? "" : ",";
        text += label.name;
        text += "=\"";
        for (const char c : label.value)
        {
            if (c == '"' || c == '\\')
                text += '\\';
            text += c == '\n' ? ' ' : c;
        }
        text += '"';
    }
    return text;
}

/// Labels of the series that counts label values beyond the limit.
std::string overflow_labels(metric_labels labels)
{
    std::string text;
    for (const auto& label : labels)
    {
        text += text.empty() ? "" : ",";
        text += label.name;
        text += "=\"other\"";
    }
    return text;
}

std::string format_number(double value)
{
    std::array<char, 32> buf;
    const int n = std::snprintf(buf.data(), buf.size(), "%.9g", value);
    return {buf.data(), static_cast<std::size_t>(n)};
}

} // namespace

struct histogram::impl
{
    mutable std::mutex mutex;
    accumulator values;
};

histogram::histogram() : impl_(std::make_unique<impl>())
{
}

histogram::~histogram() = default;

void histogram::record(double seconds)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->values(seconds);
}

std::uint64_t histogram::count() const
{
    const std::lock_guard lock(impl_->mutex);
    return acc::count(impl_->values);
}

double histogram::quantile(double fraction) const
{
    BOOST_ASSERT(fraction >= 0 && fraction <= 1);
    const std::lock_guard lock(impl_->mutex);
    const auto total = acc::count(impl_->values);
    const auto rank = fraction * static_cast<double>(total);
    const auto& buckets = accumulator_impl::doubling_buckets(impl_->values);

    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < bucket_count; ++i)
    {
        cumulative += buckets[i];
        if (cumulative != 0 && static_cast<double>(cumulative) >= rank)
            return bucket_bound(i);
    }
    return 0;
}

struct metrics_registry::impl
{
    using series = std::variant<counter, gauge, histogram>;

    /// All series of one metric name.
    struct family
    {
        std::string help;
        std::string type;
        std::map<std::string, std::unique_ptr<series>, std::less<>> members;
    };

    explicit impl(std::size_t n) : max_series(n)
    {
    }

    /// Finds or creates the series with these labels.
    template<typename Metric>
    Metric& get(std::string_view name, std::string_view help,
                std::string_view type, metric_labels labels)
    {
        const std::lock_guard lock(mutex);
        auto& group = families[std::string(name)];
        if (group.type.empty())
        {
            group.help = help;
            group.type = type;
        }

        auto key = format_labels(labels);
        auto it = group.members.find(key);
        if (it == group.members.end())
        {
            // Further label values of a full family share one series.
            if (group.members.size() >= max_series)
                key = overflow_labels(labels);
            it = group.members.try_emplace(key).first;
            if (!it->second)
                it->second =
                    std::make_unique<series>(std::in_place_type<Metric>);
        }
        return std::get<Metric>(*it->second);
    }

    std::size_t max_series;
    mutable std::mutex mutex;
    std::map<std::string, family, std::less<>> families;
};

namespace
{

std::string with_labels(std::string_view name, std::string_view labels)
{
    std::string text(name);
    if (!labels.empty())
        text.append("{").append(labels).append("}");
    return text;
}

void render_histogram(std::string& out, const std::string& name,
                      const std::string& labels, const bucket_array& buckets,
                      double sum)
{
    const auto prefix = labels.empty() ? "" : labels + ",";
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < bucket_count; ++i)
    {
        cumulative += buckets[i];
        const auto bound =
            i + 1 < bucket_count ? format_number(bucket_bound(i)) : "+Inf";
        out += name + "_bucket{" + prefix + "le=\"" + bound + "\"} " +
               std::to_string(cumulative) + "\n";
    }
    out += with_labels(name + "_sum", labels) + " " + format_number(sum) + "\n";
    out += with_labels(name + "_count", labels) + " " +
           std::to_string(cumulative) + "\n";
}

} // namespace

metrics_registry::metrics_registry(std::size_t max_series)
    : impl_(std::make_unique<impl>(max_series))
{
}

metrics_registry::~metrics_registry() = default;

counter& metrics_registry::get_counter(std::string_view name,
                                       std::string_view help,
                                       metric_labels labels)
{
    return impl_->get<counter>(name, help, "counter", labels);
}

gauge& metrics_registry::get_gauge(std::string_view name, std::string_view help,
                                   metric_labels labels)
{
    return impl_->get<gauge>(name, help, "gauge", labels);
}

histogram& metrics_registry::get_histogram(std::string_view name,
                                           std::string_view help,
                                           metric_labels labels)
{
    return impl_->get<histogram>(name, help, "histogram", labels);
}

std::string metrics_registry::render() const
{
    const std::lock_guard lock(impl_->mutex);
    std::string out;
    for (const auto& [name, group] : impl_->families)
    {
        out += "# HELP " + name + " " + group.help + "\n";
        out += "# TYPE " + name + " " + group.type + "\n";
        for (const auto& [labels, member] : group.members)
        {
            if (const auto* it = std::get_if<histogram>(member.get()))
            {
                const std::lock_guard values_lock(it->impl_->mutex);
                const auto& values = it->impl_->values;
                render_histogram(out, name, labels,
                                 accumulator_impl::doubling_buckets(values),
                                 acc::sum(values));
                continue;
            }
            const auto* count = std::get_if<counter>(member.get());
            const auto value =
                count != nullptr
                    ? std::to_string(count->value())
                    : std::to_string(std::get<gauge>(*member).value());
            out += with_labels(name, labels) + " " + value + "\n";
        }
    }
    return out;
}

} // namespace tanagertrack::common
