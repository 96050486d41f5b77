#include "datagrampeer/datagrampeer.h"

#include "cbor/cbor.h"
#include "runtime/endpoints.h"
#include "runtime/eventbatch.h"

#include <array>
#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <cmath>
#include <stdexcept>

namespace DatagramPeer {

namespace {

    namespace asio = boost::asio;
    using Udp = asio::ip::udp;
    using ErrorCode = boost::system::error_code;

    constexpr std::size_t maximumDatagramBytes = 1024;

    /// Position of the introduction in an encoded heartbeat, which has one only if the store may not list the sender.
    constexpr std::size_t introductionIndex = 4;

    /// Position of the digest of what the sender has quarantined, which follows an introduction: processes of an
    /// earlier version expect nothing else before it, and ignore it.
    constexpr std::size_t quarantineIndex = 5;

    /// Position, in an introduction, of the mark of a heartbeat that was passed on.
    constexpr std::size_t forwardedIndex = 5;

    /// Position, in an introduction, of the processor time that the sender may use.
    constexpr std::size_t processorIndex = 6;

    auto decodeCores(const nlohmann::json& value) -> EntryFleet::Cores
    {
        const auto cores = value.get<double>();
        if (!std::isfinite(cores) || cores < 0)
            throw std::out_of_range("the processor time is not in the expected range");
        return EntryFleet::Cores(cores);
    }

    auto decodeIntroduction(const EntryFleet::Heartbeat& heartbeat, const nlohmann::json& value)
        -> EntryFleet::EntryVmEntry
    {
        const auto text = [&value](std::size_t index) { return value.at(index).get<std::string>(); };
        return { heartbeat.sender, heartbeat.start, Core::FailureDomainId(text(0)), Core::RegionId(text(1)),
            Core::Address(text(2)), Core::Address(text(3)), Core::Address(text(4)),
            decodeCores(value.at(processorIndex)) };
    }

    auto toUdp(const asio::ip::tcp::endpoint& endpoint) -> Udp::endpoint
    {
        return { endpoint.address(), endpoint.port() };
    }

} // namespace

auto encodeHeartbeat(const EntryFleet::Heartbeat& heartbeat) -> std::string
{
    auto values = nlohmann::json::array(
        { heartbeat.sender.value(), heartbeat.start.value(), heartbeat.isLeaving, heartbeat.isBusy });
    if (const auto& entry = heartbeat.introduction) {
        values.push_back({ entry->failureDomain.value(), entry->region.value(), entry->front.value(),
            entry->heartbeats.value(), entry->peers.value(), heartbeat.isForwarded, entry->processor.value() });
        if (heartbeat.quarantine != Dispatch::QuarantineDigest())
            values.push_back(heartbeat.quarantine.value());
    }
    return Cbor::pack(values);
}

auto decodeHeartbeat(const std::string& payload) -> Core::Result<EntryFleet::Heartbeat>
{
    return Cbor::unpack(payload, "a heartbeat", [](const nlohmann::json& value) {
        EntryFleet::Heartbeat heartbeat { Core::EntryVmId(value.at(0).get<std::string>()),
            Core::ProcessStartId(value.at(1).get<std::int64_t>()), value.at(2).get<bool>() };
        heartbeat.isBusy = value.at(3).get<bool>();
        if (value.size() > introductionIndex) {
            heartbeat.introduction = decodeIntroduction(heartbeat, value.at(introductionIndex));
            heartbeat.isForwarded = value.at(introductionIndex).at(forwardedIndex).get<bool>();
        }
        if (value.size() > quarantineIndex)
            heartbeat.quarantine = Dispatch::QuarantineDigest(value.at(quarantineIndex).get<std::uint64_t>());
        return heartbeat;
    });
}

class DatagramPeer::Implementation : public std::enable_shared_from_this<DatagramPeer::Implementation> {
public:
    Implementation(asio::io_context& context, const Core::Address& address)
        : m_strand(asio::make_strand(context))
        , m_socket(m_strand, toUdp(Runtime::requireEndpoint(address)))
    {
    }

    auto start(HeartbeatCallback callback) -> void
    {
        m_heartbeatCallback = std::move(callback);
        asio::post(m_strand, [self = shared_from_this()] { self->receiveNext(); });
    }

    auto send(const Core::Address& to, std::string payload) -> void
    {
        const auto endpoint = Runtime::parseEndpoint(to);
        if (!endpoint)
            return;
        asio::post(m_strand, [self = shared_from_this(), target = toUdp(*endpoint), payload = std::move(payload)] {
            // Errors are ignored, because the next heartbeat makes up for a lost one.
            ErrorCode ignored;
            self->m_socket.send_to(asio::buffer(payload), target, 0, ignored);
        });
    }

    auto close() -> void
    {
        asio::post(m_strand, [self = shared_from_this()] {
            ErrorCode ignored;
            self->m_socket.close(ignored);
        });
    }

    [[nodiscard]] auto malformedCount() const -> std::uint64_t { return m_malformedCount; }

private:
    auto receiveNext() -> void
    {
        m_socket.async_receive_from(
            asio::buffer(m_buffer), m_sender, [self = shared_from_this()](const ErrorCode& error, std::size_t size) {
                if (error == asio::error::operation_aborted || !self->m_socket.is_open())
                    return;
                if (!error)
                    self->processDatagram(std::string(self->m_buffer.data(), size));
                self->receiveWaiting();
                self->receiveNext();
            });
    }

    auto receiveWaiting() -> void
    {
        ErrorCode error;
        m_socket.non_blocking(true, error);
        for (int received = 0; !error && received < Runtime::eventBatch; ++received) {
            const auto size = m_socket.receive_from(asio::buffer(m_buffer), m_sender, 0, error);
            if (!error)
                processDatagram(std::string(m_buffer.data(), size));
        }
    }

    auto processDatagram(const std::string& payload) -> void
    {
        const auto heartbeat = decodeHeartbeat(payload);
        if (heartbeat)
            m_heartbeatCallback(*heartbeat);
        else
            ++m_malformedCount;
    }

    asio::strand<asio::io_context::executor_type> m_strand;
    asio::basic_datagram_socket<Udp, asio::strand<asio::io_context::executor_type>> m_socket;
    HeartbeatCallback m_heartbeatCallback;
    std::array<char, maximumDatagramBytes> m_buffer {};
    Udp::endpoint m_sender;
    std::atomic<std::uint64_t> m_malformedCount { 0 };
};

DatagramPeer::DatagramPeer(asio::io_context& context, const Core::Address& address)
    : m_implementation(std::make_shared<Implementation>(context, address))
{
}

DatagramPeer::~DatagramPeer() { m_implementation->close(); }

auto DatagramPeer::start(HeartbeatCallback callback) -> void { m_implementation->start(std::move(callback)); }

auto DatagramPeer::send(const Core::Address& to, const EntryFleet::Heartbeat& heartbeat) -> void
{
    m_implementation->send(to, encodeHeartbeat(heartbeat));
}

auto DatagramPeer::malformedCount() const -> std::uint64_t { return m_implementation->malformedCount(); }

} // namespace DatagramPeer
