#ifndef TANAGERTRACK_TEST_LOADED_ENTRY_HPP
#define TANAGERTRACK_TEST_LOADED_ENTRY_HPP

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>

namespace tanagertrack::test
{

/// Limits of the entries under test, in place of those of a host.
constexpr std::size_t memory_mb = 64;
constexpr std::size_t max_descriptors = 520;

/// Interface of an entry, the setting `callers`.
enum class interface_kind
{
    own,
    platform
};

std::ostream& operator<<(std::ostream& out, interface_kind kind);

/// One entry with a store and a service that echoes bodies, as processes on
/// loopback. The time-outs for reading are so long that no test relies on them.
class loaded_entry
{
public:
    explicit loaded_entry(interface_kind kind);
    ~loaded_entry();

    loaded_entry(const loaded_entry&) = delete;
    loaded_entry& operator=(const loaded_entry&) = delete;

    /// Port of the listener for callers.
    int port() const;

    /// Returns the request line and header fields for the service, without the
    /// empty line at the end.
    std::string service_head() const;

    /// The same for the submission of a batch job.
    std::string job_head() const;

    /// Makes the store accept calls without answering them.
    void silence_store() const;

    /// Checks that the process lives, that its peak of resident memory and its
    /// open descriptors are within the limits, and that it answers an ordinary
    /// request, after at most 20 s.
    void check() const;

private:
    struct parts;

    std::unique_ptr<parts> parts_;
};

} // namespace tanagertrack::test

#endif
