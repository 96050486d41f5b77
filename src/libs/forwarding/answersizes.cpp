#include "forwarding/answersizes.h"

namespace Forwarding {

namespace {

    /// A smaller answer lowers the estimate by the difference divided by this; a larger one replaces it.
    constexpr std::uint64_t decayDivisor = 64;

} // namespace

auto AnswerSizes::usual(const RouteId& route) -> std::optional<Core::Bytes>
{
    return m_sizes.with(route, [&route](const auto& sizes) -> std::optional<Core::Bytes> {
        const auto found = sizes.find(route);
        if (found == sizes.end())
            return std::nullopt;
        return Core::Bytes(found->second);
    });
}

auto AnswerSizes::record(const RouteId& route, Core::Bytes size) -> void
{
    m_sizes.with(route, [&](auto& sizes) {
        // Forgetting them costs no more than the room of a few large answers.
        if (sizes.size() >= maximumRoutesPerShard && !sizes.contains(route))
            sizes.clear();
        auto& usual = sizes[route];
        usual = size.value() >= usual ? size.value() : usual - (usual - size.value()) / decayDivisor;
    });
}

} // namespace Forwarding
