#include "cbor/cbor.h"

namespace Cbor {

auto pack(const nlohmann::json& value) -> std::string
{
    std::string payload;
    nlohmann::json::to_cbor(value, payload);
    return payload;
}

auto invalidMessage(std::string_view what, std::string_view detail) -> Core::Error
{
    return { Core::ErrorKind::InvalidMessage,
        std::string(what) + " from a peer cannot be decoded: " + std::string(detail),
        "run compatible releases on all entry VMs" };
}

} // namespace Cbor
