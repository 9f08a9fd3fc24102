#ifndef TANAGERTRACK_COMMON_IO_THREAD_HPP
#define TANAGERTRACK_COMMON_IO_THREAD_HPP

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::common
{

/// A thread that runs an `io_context` and the tasks that other threads post to
/// its bounded queue.
class io_thread
{
public:
    using task = std::function<void()>;

    /// `name` has at most 15 characters, the limit for thread names on Linux.
    /// `queue_capacity` is 1 to 65,000 tasks. The thread is started by `start`.
    io_thread(std::string name, std::size_t queue_capacity);

    /// Stops and joins the thread.
    ~io_thread();

    io_thread(const io_thread&) = delete;
    io_thread& operator=(const io_thread&) = delete;

    /// Starts the thread. Must be called at most once.
    void start();

    /// Stops the context and joins the thread. Tasks still in the queue are not
    /// run.
    void stop();

    /// Queues a task. Thread-safe. Returns false and drops the task if the
    /// queue is full.
    [[nodiscard]] bool post(task work);

    /// Posts a task directly to the context, bypassing the bounded queue.
    /// Thread-safe. For completions that release a caller's resources and must
    /// not be dropped; their number is bounded by the requests in flight.
    void post_completion(task work);

    /// The context for sockets and timers of this thread.
    boost::asio::io_context& context();

    /// Returns true if called on this thread.
    bool is_current() const;

private:
    struct impl;

    void drain();
    void run();

    std::string name_;
    std::unique_ptr<impl> impl_;
    std::atomic<bool> drain_scheduled_{false};
    std::thread thread_;
};

} // namespace tanagertrack::common

#endif
