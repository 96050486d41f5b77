#pragma once

#include "fakes/booking/bookingfleet.h"

#include <deque>

/// Simulates bookings under random faults from one seed: entry VMs crash, restart, pause, lose connections and suspect
/// each other, upstreams shed requests, lose answers and crash, and callers repeatedly send the same keys through all
/// entry VMs.
class RandomisedBookingRun {
public:
    explicit RandomisedBookingRun(std::uint64_t seed);

    auto run(Core::Duration duration) -> void;

    [[nodiscard]] auto fleet() -> Fakes::BookingFleet& { return m_fleet; }
    [[nodiscard]] auto answers() const -> std::size_t { return m_answers; }
    [[nodiscard]] auto unknowns() const -> std::size_t { return m_unknowns; }
    [[nodiscard]] auto sent() const -> std::size_t { return m_sent; }

private:
    struct SentKey {
        Core::RequestKey key;
        std::string service;
    };

    auto step() -> void;
    auto sendNewKey() -> void;
    auto sendOldKey() -> void;
    auto send(const SentKey& sent, std::size_t copies) -> void;
    auto injectProcessFault() -> void;
    auto injectNetworkFault() -> void;
    auto changeViews() -> void;
    auto scriptUpstreams(std::size_t index) -> void;
    auto randomNode() -> std::size_t { return m_fleet.world.below(size); }
    auto countReplies() -> void;

    static constexpr std::size_t size = 4;

    Fakes::BookingFleet m_fleet;
    std::deque<SentKey> m_keys;
    std::vector<Fakes::PendingReply> m_pending;
    std::size_t m_sent = 0;
    std::size_t m_answers = 0;
    std::size_t m_unknowns = 0;
};
