#include "preset.h"

#include <numeric>

namespace PolicyBench {

namespace {

    using namespace std::chrono_literals;
    using Core::Rank;

    constexpr auto sharedSuffix = "-shared";
    constexpr double normalFloor = 0.15;
    constexpr double deferrableFloor = 0.1;

    auto service(const char* name, Rank rank, double floor) -> ServiceSpec
    {
        ServiceSpec spec;
        spec.policy.service = Core::ServiceId(name);
        spec.policy.pool = spec.policy.service;
        spec.policy.rank = rank;
        spec.policy.floor = Core::Share(floor);
        return spec;
    }

    auto services(const char* urgent, const char* normal, const char* deferrable) -> std::vector<ServiceSpec>
    {
        auto urgentSpec = service(urgent, Rank::Urgent, 0);
        urgentSpec.serviceTime = 20ms;
        urgentSpec.deadline = 200ms;
        urgentSpec.steadyShare = 0.35;
        urgentSpec.policy.targetLatency = Core::Millis(50);
        auto normalSpec = service(normal, Rank::Normal, normalFloor);
        normalSpec.serviceTime = 30ms;
        normalSpec.deadline = 1s;
        normalSpec.steadyShare = 0.2;
        normalSpec.policy.isIdempotent = false;
        auto deferrableSpec = service(deferrable, Rank::Deferrable, deferrableFloor);
        deferrableSpec.serviceTime = 100ms;
        deferrableSpec.deadline = 30s;
        deferrableSpec.steadyShare = 0.15;
        deferrableSpec.policy.targetLatency = Core::Millis(1000);
        return { urgentSpec, normalSpec, deferrableSpec };
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
        for (auto& spec : preset.services)
            spec.endpointSlots = { 3, 3 };
        return preset;
    }

    auto sharePool(Preset preset) -> Preset
    {
        preset.name += sharedSuffix;
        for (auto& spec : preset.services)
            spec.policy.pool = preset.services[0].policy.service;
        return preset;
    }

} // namespace

auto Preset::slots() const -> std::uint32_t
{
    std::uint32_t sum = 0;
    for (const auto& spec : services)
        sum = std::accumulate(spec.endpointSlots.begin(), spec.endpointSlots.end(), sum);
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
