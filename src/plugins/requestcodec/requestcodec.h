#pragma once

#include "core/request.h"

#include <nlohmann/json_fwd.hpp>

/// Requests and replies between entry VMs, as values to be encoded in CBOR.
namespace RequestCodec {

/// The deadline is left out: it travels as the time that is left, since the clocks of two processes differ.
auto toJson(const Core::ServiceRequest& request) -> nlohmann::json;
/// Throws std::exception when the value is anything else.
auto requestFrom(const nlohmann::json& value) -> Core::ServiceRequest;
auto toJson(const Core::Reply& reply) -> nlohmann::json;
/// Throws std::exception when the value is anything else.
auto replyFrom(const nlohmann::json& value) -> Core::Reply;

} // namespace RequestCodec
