#pragma once

#include "core/units.h"
#include "ledger/booking.h"

#include <string>

namespace LedgerPeer {

/// CBOR encoding of the ledger's messages. Each decoder fails with InvalidMessage if the payload is malformed.
auto encode(const Core::Incarnation& incarnation) -> std::string;
auto decodeIncarnation(const std::string& payload) -> Core::Result<Core::Incarnation>;
auto encode(const Ledger::Intent& intent) -> std::string;
auto decodeIntent(const std::string& payload) -> Core::Result<Ledger::Intent>;
auto encode(Ledger::IntentOutcome outcome) -> std::string;
auto decodeIntentOutcome(const std::string& payload) -> Core::Result<Ledger::IntentOutcome>;
auto encode(const Ledger::Outcome& outcome) -> std::string;
auto decodeOutcome(const std::string& payload) -> Core::Result<Ledger::Outcome>;
auto encode(const Ledger::Query& query) -> std::string;
auto decodeQuery(const std::string& payload) -> Core::Result<Ledger::Query>;
auto encode(const Ledger::Resolution& resolution) -> std::string;
auto decodeResolution(const std::string& payload) -> Core::Result<Ledger::Resolution>;
auto encode(const Core::Reply& reply) -> std::string;
auto decodeReply(const std::string& payload) -> Core::Result<Core::Reply>;
/// Encodes the deadline as the time remaining at the given instant, since the clocks of two processes differ.
auto encode(const Core::ServiceRequest& request, Core::Instant now) -> std::string;
auto decodeRequest(const std::string& payload, Core::Instant now) -> Core::Result<Core::ServiceRequest>;

} // namespace LedgerPeer
