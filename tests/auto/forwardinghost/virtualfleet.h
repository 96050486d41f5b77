#pragma once

#include "fakes/forwarding/forwardingsite.h"

/// Site of two regions, of which each has half of the VMs.
struct VirtualFleet {
    static constexpr Core::Millis settlingTime { 9000 };

    explicit VirtualFleet(std::size_t vmCount)
        : site(1, vmCount)
        , size(vmCount)
    {
        configure();
        for (std::size_t index = 0; index < size; ++index) {
            site.startVm(index);
            site.world.runFor(Core::Millis(300) / static_cast<int>(size));
        }
        site.world.runFor(settlingTime);
    }

    auto configure() -> void
    {
        auto configuration = std::make_shared<Forwarding::RoutingConfiguration>();
        configuration->version = Core::Version(++version);
        site.configure(std::move(configuration));
    }

    [[nodiscard]] auto readers() -> std::vector<std::size_t>
    {
        std::vector<std::size_t> readers;
        for (std::size_t index = 0; index < size; ++index) {
            if (site.vm(index) != nullptr && site.vm(index)->sharedReads().isReadingStore())
                readers.push_back(index);
        }
        return readers;
    }

    /// Returns true if the VM has the newest configuration.
    [[nodiscard]] auto isCurrent(std::size_t index) -> bool
    {
        const auto known = site.vm(index)->forwarder().configuration();
        return known && known->version == Core::Version(version);
    }

    [[nodiscard]] auto outdated() -> std::vector<std::size_t>
    {
        std::vector<std::size_t> outdated;
        for (std::size_t index = 0; index < size; ++index) {
            if (site.isRunning(index) && !isCurrent(index))
                outdated.push_back(index);
        }
        return outdated;
    }

    /// Changes the configuration and returns how long the last running VM takes to know of it.
    auto delayOfChange() -> Core::Duration
    {
        constexpr Core::Millis step { 5 };
        constexpr Core::Millis longest { 10'000 };
        configure();
        const auto start = site.world.now();
        while (!outdated().empty() && site.world.now() - start < longest)
            site.world.runFor(step);
        return site.world.now() - start;
    }

    Fakes::ForwardingSite site;
    const std::size_t size;
    std::uint64_t version = 0;
};
