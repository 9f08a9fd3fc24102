#ifndef TANAGERTRACK_BENCH_REPORT_HPP
#define TANAGERTRACK_BENCH_REPORT_HPP

#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::bench
{

/// One number of a row.
struct figure
{
    std::string_view name;
    double value = 0;
};

/// Measured rows of a scenario, printed as they come and written as JSON.
class report
{
public:
    explicit report(std::string scenario);

    /// Prints and keeps a row. `table` groups rows with the same figures.
    void add(std::string_view table, const std::vector<figure>& figures);

    /// Writes all rows to a file; nothing for an empty name. Returns false
    /// when the file can't be written.
    bool write_json(const std::string& file) const;

private:
    struct row
    {
        std::string table;
        std::vector<figure> figures;
    };

    std::string scenario_;
    std::vector<row> rows_;
};

} // namespace tanagertrack::bench

#endif
