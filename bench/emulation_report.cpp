#include "bench/emulation_report.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <functional>
#include <iomanip>
#include <ostream>

namespace tanagertrack::bench
{

namespace
{

namespace json = boost::json;

/// Returns the mean of `value` over the seeds, or 0 if there are no results.
double mean_of(const policy_results& policy,
               const std::function<double(const emulation_result&)>& value)
{
    double sum = 0;
    for (const auto& it : policy.results)
        sum += value(it);
    return sum /
           static_cast<double>(std::max<std::size_t>(1, policy.results.size()));
}

/// One column of the table.
struct column
{
    const char* name;
    int digits;
    double (*value)(const emulation_result&);
};

constexpr column columns[] = {
    {"requests", 0,
     [](const emulation_result& it)
     {
         return static_cast<double>(it.online.requests);
     }},
    {"in time", 3,
     [](const emulation_result& it)
     {
         return static_cast<double>(it.online.in_time) /
                static_cast<double>(
                    std::max<std::uint64_t>(1, it.online.requests));
     }},
    {"refused", 1,
     [](const emulation_result& it)
     {
         return static_cast<double>(it.online.refused);
     }},
    {"wait p99, ms", 1,
     [](const emulation_result& it)
     {
         return it.online.wait_p99_ms;
     }},
    {"first event p50, ms", 1,
     [](const emulation_result& it)
     {
         return it.online.first_event_p50_ms;
     }},
    {"p99, ms", 1,
     [](const emulation_result& it)
     {
         return it.online.first_event_p99_ms;
     }},
    {"answer p99, ms", 0,
     [](const emulation_result& it)
     {
         return it.online.answer_p99_ms;
     }},
    {"items due", 0,
     [](const emulation_result& it)
     {
         return static_cast<double>(it.batch.due);
     }},
    {"in time", 3,
     [](const emulation_result& it)
     {
         return it.batch.in_time_share();
     }},
    {"preempted", 0,
     [](const emulation_result& it)
     {
         return static_cast<double>(it.batch.preempted);
     }},
    {"events lost", 0,
     [](const emulation_result& it)
     {
         return it.batch.lost_events;
     }},
    {"use", 3,
     [](const emulation_result& it)
     {
         return it.use;
     }},
};

// Geometry of the plot, in pixels.
constexpr double width = 900;
constexpr double height = 300;
constexpr double margin = 40;

/// Writes values of the samples as polylines over time. The vertical axis ends
/// at `max_value`. `samples` must outlive the object.
class plot_line
{
public:
    plot_line(const std::vector<fleet_sample>& samples, double max_value)
        : samples_(samples), max_value_(std::max(1.0, max_value))
    {
    }

    /// Writes one line and, at height `label_y`, its name. `value` returns the
    /// value of a sample.
    void
    write(std::ostream& out, const char* colour, const char* name,
          double label_y,
          const std::function<std::size_t(const fleet_sample&)>& value) const
    {
        const double last =
            samples_.empty()
                ? 1
                : std::max(1.0,
                           static_cast<double>(samples_.back().at.count()));
        out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
        for (const auto& it : samples_)
        {
            const double x = margin + (width - 2 * margin) *
                                          static_cast<double>(it.at.count()) /
                                          last;
            const double y =
                height - margin -
                (height - 2 * margin) *
                    std::min(1.0, static_cast<double>(value(it)) / max_value_);
            out << x << ',' << y << ' ';
        }
        out << "\"/>\n<text x=\"" << margin + 8 << "\" y=\"" << label_y
            << "\" fill=\"" << colour << "\">" << name << "</text>\n";
    }

private:
    const std::vector<fleet_sample>& samples_;
    double max_value_;
};

} // namespace

void write_table(std::ostream& out, const std::vector<policy_results>& all)
{
    out << "| policy |";
    for (const auto& it : columns)
        out << ' ' << it.name << " |";
    out << "\n| --- |";
    for (std::size_t i = 0; i < std::size(columns); ++i)
        out << " ---: |";
    out << '\n' << std::fixed;
    for (const auto& policy : all)
    {
        out << "| " << policy.name << " |";
        for (const auto& it : columns)
            out << ' ' << std::setprecision(it.digits)
                << mean_of(policy, it.value) << " |";
        out << '\n';
    }
}

void write_json(std::ostream& out, const std::vector<policy_results>& all)
{
    json::array rows;
    for (const auto& policy : all)
    {
        for (const auto& it : policy.results)
        {
            json::object row{{"policy", policy.name}};
            const auto& online = it.online;
            row["online"] = {{"requests", online.requests},
                             {"in_time", online.in_time},
                             {"refused", online.refused},
                             {"failed", online.failed},
                             {"queued", online.queued},
                             {"wait_p50_ms", online.wait_p50_ms},
                             {"wait_p99_ms", online.wait_p99_ms},
                             {"first_event_p50_ms", online.first_event_p50_ms},
                             {"first_event_p99_ms", online.first_event_p99_ms},
                             {"answer_p50_ms", online.answer_p50_ms},
                             {"answer_p99_ms", online.answer_p99_ms}};
            row["batch"] = {{"due", it.batch.due},
                            {"in_time", it.batch.in_time},
                            {"done", it.batch.done},
                            {"preempted", it.batch.preempted},
                            {"lost_events", it.batch.lost_events}};
            row["use"] = it.use;
            rows.push_back(std::move(row));
        }
    }
    out << json::serialize(rows) << '\n';
}

void write_plot(std::ostream& out, const emulation_result& result,
                std::size_t slots)
{
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
        << "\" height=\"" << height << "\" font-family=\"sans-serif\" "
        << "font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
        << "fill=\"white\"/>\n";
    out << "<text x=\"" << margin << "\" y=\"" << margin / 2 << "\">" << slots
        << " places; time from 0 to "
        << (result.samples.empty() ? 0 : result.samples.back().at.count())
        << " ms</text>\n";
    const plot_line line(result.samples, static_cast<double>(slots));
    constexpr double label_step = 16;
    double y = margin + label_step;
    line.write(out, "#1f77b4", "online requests", y,
               [](const fleet_sample& it)
               { return it.online_running + it.online_waiting; });
    y += label_step;
    line.write(out, "#2ca02c", "batch items under way", y,
               [](const fleet_sample& it) { return it.batch_running; });
    y += label_step;
    line.write(out, "#d62728", "batch items that wait", y,
               [](const fleet_sample& it) { return it.batch_waiting; });
    out << "</svg>\n";
}

} // namespace tanagertrack::bench
