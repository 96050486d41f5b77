#include "preset.h"

#include <numeric>

namespace PolicyBench {

namespace {

    using namespace std::chrono_literals;
    using Core::Rank;

    constexpr auto sharedSuffix = "-shared";
    constexpr double normalFloor = 0.15;
    constexpr double deferrableFloor = 0.1;

    auto service(const char* name, Rank rank, double floor) -> ServiceSize
    {
        ServiceSize size;
        size.policy.service = Core::ServiceId(name);
        size.policy.pool = size.policy.service;
        size.policy.rank = rank;
        size.policy.floor = Core::Share(floor);
        return size;
    }

    auto services(const char* urgent, const char* normal, const char* deferrable) -> std::vector<ServiceSize>
    {
        auto urgentSize = service(urgent, Rank::Urgent, 0);
        urgentSize.serviceTime = 20ms;
        urgentSize.deadline = 200ms;
        urgentSize.steadyShare = 0.35;
        urgentSize.policy.targetLatency = Core::Millis(50);
        auto normalSize = service(normal, Rank::Normal, normalFloor);
        normalSize.serviceTime = 30ms;
        normalSize.deadline = 1s;
        normalSize.steadyShare = 0.2;
        normalSize.policy.isIdempotent = false;
        auto deferrableSize = service(deferrable, Rank::Deferrable, deferrableFloor);
        deferrableSize.serviceTime = 100ms;
        deferrableSize.deadline = 30s;
        deferrableSize.steadyShare = 0.15;
        deferrableSize.policy.targetLatency = Core::Millis(1000);
        return { urgentSize, normalSize, deferrableSize };
    }

    auto peachtree() -> Preset
    {
        Preset preset { "peachtree", { "atl", "sav", "mac" }, 6, 10, 1ms, 20ms, 1ms, Core::Mbit(4000), 1ms,
            services("lookup", "booking", "audit") };
        preset.services[0].endpointSlots = { 4, 3, 3 };
        preset.services[1].endpointSlots = { 4, 3 };
        preset.services[2].endpointSlots = { 4, 3 };
        return preset;
    }

    auto ljusgrip() -> Preset
    {
        Preset preset { "ljusgrip", { "sthlm", "gbg", "malmo" }, 6, 10, 500us, 20ms, 8ms, Core::Mbit(4000), 1ms,
            services("search", "booking", "archive") };
        for (auto& size : preset.services)
            size.endpointSlots = { 3, 3 };
        return preset;
    }

    auto sharePool(Preset preset) -> Preset
    {
        preset.name += sharedSuffix;
        for (auto& size : preset.services)
            size.policy.pool = preset.services[0].policy.service;
        return preset;
    }

} // namespace

auto Preset::slots() const -> std::uint32_t
{
    std::uint32_t sum = 0;
    for (const auto& size : services)
        sum = std::accumulate(size.endpointSlots.begin(), size.endpointSlots.end(), sum);
    return sum;
}

auto findPreset(const std::string& name) -> std::optional<Preset>
{
    for (const auto& preset : { peachtree(), ljusgrip() }) {
        if (name == preset.name)
            return preset;
        if (name == preset.name + sharedSuffix)
            return sharePool(preset);
    }
    return std::nullopt;
}

auto presetNames() -> std::vector<std::string>
{
    return { "peachtree", "peachtree-shared", "ljusgrip", "ljusgrip-shared" };
}

} // namespace PolicyBench
