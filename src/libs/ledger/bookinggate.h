#pragma once

#include "configuration/servicepolicy.h"
#include "core/request.h"

namespace Ledger {

/// Passes non-idempotent requests on at most once for each idempotency key.
class BookingGate {
public:
    virtual ~BookingGate() = default;
    /// Calls back exactly once, from any thread.
    virtual auto execute(
        Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback) -> void
        = 0;
};

/// Gives out prefixes for idempotency keys whose home is this entry VM.
class KeyPrefixSource {
public:
    virtual ~KeyPrefixSource() = default;
    /// Empty while no keys are taken.
    [[nodiscard]] virtual auto currentPrefix() const -> std::string = 0;
    /// Prefix for a service that needs a backup, or one without. Empty while no such keys are taken.
    [[nodiscard]] virtual auto currentPrefix(bool needsBackup) const -> std::string = 0;
};

/// Form of a prefix, given as text, for a service without a backup; empty when the text is no prefix.
auto prefixWithoutBackup(const std::string& prefix) -> std::string;
/// Whether the text is a key prefix that names a backup.
auto namesBackup(const std::string& prefix) -> bool;

} // namespace Ledger
