#include "cli/command.hpp"

#include <cstdlib>
#include <iostream>

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto environment = [](const std::string& name) -> std::string
    {
        const char* text = std::getenv(name.c_str());
        return text != nullptr ? text : "";
    };
    return tanagertrack::cli::run_command(arguments,
                                          {std::cout, std::cerr, environment});
}
