#ifndef TANAGERTRACK_TEST_PROCESS_HPP
#define TANAGERTRACK_TEST_PROCESS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace tanagertrack::test
{

/// A child process, killed by its id when the object goes.
class process
{
public:
    /// Starts `arguments[0]`; its output goes to the end of the file
    /// `log_path`.
    process(const std::vector<std::string>& arguments,
            const std::string& log_path);
    ~process();

    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;

    /// Sends a signal; nothing after the process has ended.
    void signal(int number);

    /// SIGKILL, and waits for the end.
    void kill();

    /// Waits for the end; nothing when it does not end in time. The wait
    /// status is as of waitpid.
    std::optional<int> wait(std::chrono::milliseconds timeout);

private:
    pid_t id_ = 0;
};

} // namespace tanagertrack::test

#endif
