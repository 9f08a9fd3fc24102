#include "transport/message_stream.hpp"

#include <google/protobuf/message_lite.h>

#include <string>

namespace tanagertrack::transport
{

bool message_stream::send(const google::protobuf::MessageLite& message)
{
    return send(std::string_view(message.SerializeAsString()));
}

} // namespace tanagertrack::transport
