#include "report.hpp"

#include <boost/json.hpp>

#include <cstdio>
#include <fstream>

namespace tanagertrack::bench
{

report::report(std::string scenario) : scenario_(std::move(scenario))
{
}

void report::add(std::string_view table, const std::vector<figure>& figures)
{
    if (rows_.empty() || rows_.back().table != table)
    {
        std::printf("\n%.*s\n", static_cast<int>(table.size()), table.data());
        for (const auto& it : figures)
            std::printf("%18.*s", static_cast<int>(it.name.size()),
                        it.name.data());
        std::printf("\n");
    }
    for (const auto& it : figures)
        std::printf("%18.10g", it.value);
    std::printf("\n");
    std::fflush(stdout);
    rows_.push_back({std::string(table), figures});
}

bool report::write_json(const std::string& file) const
{
    if (file.empty())
        return true;
    boost::json::array rows;
    for (const auto& it : rows_)
    {
        boost::json::object object{{"table", it.table}};
        for (const auto& number : it.figures)
            object[number.name] = number.value;
        rows.push_back(std::move(object));
    }
    std::ofstream out(file);
    out << boost::json::serialize(boost::json::object{
               {"scenario", scenario_}, {"rows", std::move(rows)}})
        << "\n";
    return out.good();
}

} // namespace tanagertrack::bench
