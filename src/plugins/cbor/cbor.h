#pragma once

#include "core/error.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

/// CBOR payloads of the messages between entry VMs.
namespace Cbor {

auto pack(const nlohmann::json& value) -> std::string;
/// InvalidMessage for a payload that is not what its kind of message holds.
auto invalidMessage(std::string_view what, std::string_view detail) -> Core::Error;

/// Returns read(value of the payload). Whatever it throws becomes an InvalidMessage error; "what" names the message,
/// for example "a relay message".
template <typename Reader>
auto unpack(const std::string& payload, std::string_view what, Reader read)
    -> Core::Result<decltype(read(nlohmann::json()))>
{
    try {
        return read(nlohmann::json::from_cbor(payload));
    } catch (const std::exception& error) {
        return tl::unexpected(invalidMessage(what, error.what()));
    }
}

} // namespace Cbor
