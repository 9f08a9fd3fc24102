#ifndef TANAGERTRACK_TEST_CROWD_HPP
#define TANAGERTRACK_TEST_CROWD_HPP

#include <cstddef>
#include <string>
#include <vector>

namespace tanagertrack::test
{

/// What the callers of a crowd do with answers.
enum class answer_use
{
    read,

    /// The callers never read. Each begins once the answer of the previous one
    /// has begun to arrive.
    ignore
};

/// Connections to a loopback port that all send the same bytes and then stay
/// open. Single-threaded.
class crowd
{
public:
    crowd(int port, std::size_t count, std::string bytes,
          answer_use use = answer_use::read);
    ~crowd();

    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Sends until each caller has sent everything or was closed, or until none
    /// could send or receive for a second because the server has stopped to
    /// read. Then waits until the server has read what the kernel holds for it,
    /// or has stopped to.
    void run();

private:
    struct caller
    {
        int fd = -1;
        std::size_t sent = 0;
        bool answered = false;
        bool closed = false;
    };

    void connect(caller& it);
    bool send(caller& it);
    bool receive(caller& it) const;

    /// Sends and receives as far as possible without blocking, for callers
    /// before `end`. Returns true if any caller made progress.
    bool step(std::size_t end);
    bool is_done(std::size_t end) const;
    void run_until_done(std::size_t end);
    void wait_for_server();

    int port_;
    std::string bytes_;
    answer_use use_;
    std::vector<caller> callers_;
};

/// Connects to a loopback port, sends a request and returns what arrives until
/// the connection ends, or until nothing arrives for 5 s.
std::string exchange_bytes(int port, const std::string& request);

} // namespace tanagertrack::test

#endif
