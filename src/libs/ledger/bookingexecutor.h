#pragma once

#include "configuration/servicepolicy.h"
#include "core/request.h"

namespace Ledger {

/// Executes non-idempotent requests at most once for each idempotency key.
class BookingExecutor {
public:
    virtual ~BookingExecutor() = default;
    /// Invokes the callback exactly once, on any thread.
    virtual auto execute(
        Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback) -> void
        = 0;
};

/// Issues prefixes for idempotency keys whose home is this entry VM.
class KeyPrefixSource {
public:
    virtual ~KeyPrefixSource() = default;
    /// Returns the prefix of the current epoch, or an empty string while no keys are accepted.
    [[nodiscard]] virtual auto currentPrefix() const -> std::string = 0;
    /// Returns the prefix for services with or without a backup, or an empty string while no such keys are accepted.
    [[nodiscard]] virtual auto currentPrefix(bool needsBackup) const -> std::string = 0;
};

/// Returns the given prefix without its backup, or an empty string if the text is not a valid prefix.
auto prefixWithoutBackup(const std::string& prefix) -> std::string;
/// Returns true if the text is a valid key prefix that names a backup.
auto namesBackup(const std::string& prefix) -> bool;

} // namespace Ledger
