#include "dispatch/requestfingerprint.h"

namespace Dispatch {

namespace {

    /// Parameters of 64-bit FNV-1a, http://www.isthe.com/chongo/tech/comp/fnv/
    constexpr std::uint64_t fnvBasis = 14695981039346656037ULL;
    constexpr std::uint64_t fnvPrime = 1099511628211ULL;
    constexpr std::uint64_t secondBasis = 0x9E3779B97F4A7C15ULL;

    auto mix(std::uint64_t hash, const std::string& text) -> std::uint64_t
    {
        for (const char character : text)
            hash = (hash ^ static_cast<unsigned char>(character)) * fnvPrime;
        // Terminates the field with its length, so that moving text between two fields changes the hash.
        return (hash ^ text.size()) * fnvPrime;
    }

    auto digest(std::uint64_t basis, const Core::ServiceRequest& request) -> std::uint64_t
    {
        return mix(mix(mix(basis, request.service.value()), request.operation), request.body);
    }

} // namespace

auto fingerprintOf(const Core::ServiceRequest& request) -> RequestFingerprint
{
    return { digest(fnvBasis, request), digest(secondBasis, request) };
}

} // namespace Dispatch
