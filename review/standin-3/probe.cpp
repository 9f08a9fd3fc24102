// Runs one case of the review against the project's own entries.
//
//   probe CASE RECORD     exits with 0 (the rule held), 1 (broken) or 2
//
// TROUBLE=0 in the environment leaves the disruption out.

#include "cases.hpp"

#include <cstring>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace review;
    ::signal(SIGPIPE, SIG_IGN);
    if (argc != 3)
    {
        std::cerr << "usage: probe CASE RECORD\n";
        return not_run;
    }
    const auto* setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::strcmp(setting, "0") != 0;
    int status = not_run;
    try
    {
        record log(argv[2]);
        status = run_case(argv[1], log, trouble);
        log("result: %d", status);
    }
    catch (const std::exception& e)
    {
        std::cerr << "probe: " << e.what() << '\n';
    }

    // Threads of the stand-ins still run: no destructors of static objects.
    std::_Exit(status);
}
