#ifndef TANAGERTRACK_TEST_SUPPORT_QUIET_LOG_HPP
#define TANAGERTRACK_TEST_SUPPORT_QUIET_LOG_HPP

#include "common/logging.hpp"

#include <cstdlib>

namespace tanagertrack::test
{

/// Global fixture that suppresses all log output unless the environment
/// variable TANAGERTRACK_TEST_LOG is set.
struct quiet_log
{
    quiet_log()
    {
        common::log_settings settings;
        if (std::getenv("TANAGERTRACK_TEST_LOG") == nullptr)
            settings.max_lines_per_second = 0;
        common::init_logging(settings);
    }
};

} // namespace tanagertrack::test

#endif
