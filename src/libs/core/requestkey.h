#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/incarnation.h"

#include <string>
#include <string_view>

namespace Core {

/// Part of an idempotency key that a look-up answer provides: the home, which may start the request, and its backup.
struct KeyPrefix {
    EntryVmId home;
    Incarnation homeIncarnation;
    Epoch epoch;
    /// Empty if the service runs without a backup.
    EntryVmId backup;
    Incarnation backupIncarnation;

    friend auto operator<=>(const KeyPrefix&, const KeyPrefix&) -> std::strong_ordering = default;
};

/// Idempotency key of a request that must run at most once.
struct RequestKey {
    KeyPrefix prefix;
    /// Chosen by the caller, 1 to 128 characters of [A-Za-z0-9_-].
    std::string unique;

    friend auto operator<=>(const RequestKey&, const RequestKey&) -> std::strong_ordering = default;
};

inline constexpr std::size_t maximumUniqueLength = 128;

/// Formats the prefix as "home:incarnation:epoch:backup:incarnation".
auto toString(const KeyPrefix& prefix) -> std::string;
/// Formats the key as the prefix, ':' and the caller's unique part.
auto toString(const RequestKey& key) -> std::string;
auto parseKeyPrefix(std::string_view text) -> Result<KeyPrefix>;
auto parseRequestKey(std::string_view text) -> Result<RequestKey>;

} // namespace Core

template <> struct std::hash<Core::RequestKey> {
    auto operator()(const Core::RequestKey& key) const noexcept -> std::size_t;
};
