#include "batch/environment.hpp"

namespace tanagertrack::batch
{

batch_order parse_batch_order(std::string_view name)
{
    if (name == "due")
        return batch_order::due;
    return name == "by_entry" ? batch_order::by_entry : batch_order::urgency;
}

} // namespace tanagertrack::batch
