#include "integration/process.hpp"

#include "integration/eventually.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <utility>

extern char** environ;

namespace tanagertrack::test
{

process::process(const std::vector<std::string>& arguments,
                 const std::string& log_path)
{
    std::vector<char*> argv;
    for (const auto& it : arguments)
        argv.push_back(const_cast<char*>(it.c_str()));
    argv.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error =
        posix_spawn(&id_, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::system_error(error, std::generic_category(), arguments[0]);
}

process::~process()
{
    kill();
}

process::process(process&& other) noexcept : id_(std::exchange(other.id_, 0))
{
}

process& process::operator=(process&& other) noexcept
{
    std::swap(id_, other.id_);
    return *this;
}

void process::signal(int number)
{
    if (id_ != 0)
        ::kill(id_, number);
}

void process::kill()
{
    if (id_ == 0)
        return;
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
    id_ = 0;
}

std::optional<int> process::wait(std::chrono::milliseconds timeout)
{
    int status = 0;
    const bool ended = eventually(
        timeout, [&] { return ::waitpid(id_, &status, WNOHANG) == id_; });
    if (!ended)
        return std::nullopt;
    id_ = 0;
    return status;
}

} // namespace tanagertrack::test
