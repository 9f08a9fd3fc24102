#ifndef TANAGERTRACK_TEST_PROCESS_HPP
#define TANAGERTRACK_TEST_PROCESS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace tanagertrack::test
{

/// Child process; the destructor kills it with SIGKILL.
class process
{
public:
    /// Starts the program `arguments[0]` with the arguments. Its output and
    /// error output are appended to the file `log_path`. Throws
    /// std::system_error if the process can't be started.
    process(const std::vector<std::string>& arguments,
            const std::string& log_path);
    ~process();

    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;

    /// Process id; 0 once the process has ended and was waited for.
    pid_t id() const
    {
        return id_;
    }

    /// Sends a signal. Does nothing after kill(), or after wait() has returned
    /// a status.
    void signal(int number);

    /// Sends SIGKILL and waits until the process has ended.
    void kill();

    /// Waits until the process has ended and returns its status in the format
    /// of waitpid. Returns std::nullopt if it doesn't end within `timeout`.
    std::optional<int> wait(std::chrono::milliseconds timeout);

private:
    /// 0 once the process has ended and was waited for.
    pid_t id_ = 0;
};

} // namespace tanagertrack::test

#endif
