#pragma once

#include "steering/relayport.h"

namespace RelayPeer {

/// Encode and decode the messages for relays and credits as CBOR. The decoders fail with InvalidMessage if the payload
/// is malformed.
auto encode(const Steering::RelayCall& call) -> std::string;
auto decodeRelayCall(const std::string& payload) -> Core::Result<Steering::RelayCall>;
auto encode(const Core::Reply& reply) -> std::string;
auto decodeReply(const std::string& payload) -> Core::Result<Core::Reply>;
auto encode(const Steering::CreditRequest& request) -> std::string;
auto decodeCreditRequest(const std::string& payload) -> Core::Result<Steering::CreditRequest>;
auto encode(const Steering::CreditGrant& grant) -> std::string;
auto decodeCreditGrant(const std::string& payload) -> Core::Result<Steering::CreditGrant>;

} // namespace RelayPeer
