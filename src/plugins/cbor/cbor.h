#pragma once

#include "core/error.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

/// Encodes and decodes the CBOR payloads of messages between entry VMs.
namespace Cbor {

auto pack(const nlohmann::json& value) -> std::string;
/// Returns an InvalidMessage error for a payload that does not match its message kind. `what` names the message, for
/// example "a relay message".
auto invalidMessage(std::string_view what, std::string_view detail) -> Core::Error;

/// Returns true if arrays and maps in the payload are nested so deep that decoding it could exhaust the stack.
auto isNestedTooDeep(const std::string& payload) -> bool;

/// Decodes the payload and returns read(value). Converts exceptions from the decoder and from read() to InvalidMessage
/// errors.
template <typename Reader>
auto unpack(const std::string& payload, std::string_view what, Reader read)
    -> Core::Result<decltype(read(nlohmann::json()))>
{
    if (isNestedTooDeep(payload))
        return tl::unexpected(invalidMessage(what, "it is nested too deep"));
    try {
        return read(nlohmann::json::from_cbor(payload));
    } catch (const std::exception& error) {
        return tl::unexpected(invalidMessage(what, error.what()));
    }
}

} // namespace Cbor
