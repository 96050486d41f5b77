#include "httpserver/partreader.h"

#include <boost/asio/post.hpp>

namespace HttpServer {

namespace detail {

    PartReader::PartReader(
        std::shared_ptr<Ports::BodyStream> body, Strand executor, std::shared_ptr<const ServerState> server)
        : m_body(std::move(body))
        , m_executor(std::move(executor))
        , m_server(std::move(server))
        , m_wakeUp(m_executor)
    {
    }

    PartReader::~PartReader() { stop(); }

    auto PartReader::read(std::shared_ptr<PartReader> self) -> boost::asio::awaitable<std::optional<std::string>>
    {
        self->m_part.reset();
        if (!self->m_isStopped)
            self->m_body->read(
                [weak = self->weak_from_this(), server = self->m_server](Core::Result<std::string> part) {
                    if (server->isDestroyed)
                        return;
                    if (const auto reader = weak.lock())
                        reader->deliver(std::move(part));
                });
        while (!self->m_part && !self->m_isStopped)
            co_await self->m_wakeUp.wait();
        if (self->m_isStopped || !*self->m_part) {
            self->m_hasEnded = !self->m_isStopped;
            co_return std::nullopt;
        }
        self->m_hasEnded = (*self->m_part)->empty();
        co_return std::move(**self->m_part);
    }

    auto PartReader::stop() -> void
    {
        if (m_hasEnded || std::exchange(m_isStopped, true))
            return;
        m_body->cancel();
        m_wakeUp.notify();
    }

    auto PartReader::deliver(Core::Result<std::string> part) -> void
    {
        boost::asio::post(m_executor, [self = shared_from_this(), part = std::move(part)]() mutable {
            self->m_part = std::move(part);
            self->m_wakeUp.notify();
        });
    }

} // namespace detail

} // namespace HttpServer
