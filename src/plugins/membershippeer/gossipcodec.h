#pragma once

#include "membership/gossip.h"

namespace MembershipPeer {

/// Encodes gossip as CBOR. Fields are array elements without names, which keeps heartbeats small.
auto encodeGossip(const Membership::Gossip& gossip) -> std::string;
/// Fails with InvalidMessage if the payload is malformed.
auto decodeGossip(const std::string& payload) -> Core::Result<Membership::Gossip>;

/// Request to a relay, with the address to probe and the gossip for the relay itself.
struct RelayedProbe {
    Core::Address target;
    Membership::Gossip gossip;
};

auto encodeRelayedProbe(const RelayedProbe& probe) -> std::string;
auto decodeRelayedProbe(const std::string& payload) -> Core::Result<RelayedProbe>;

} // namespace MembershipPeer
