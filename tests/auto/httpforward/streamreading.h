#pragma once

#include "ports/bodystream.h"

#include <future>

namespace HttpForwardTest {

/// Reads one part, and waits for it.
inline auto readPart(Ports::BodyStream& body) -> Core::Result<std::string>
{
    const auto promise = std::make_shared<std::promise<Core::Result<std::string>>>();
    body.read([promise](Core::Result<std::string> part) { promise->set_value(std::move(part)); });
    return promise->get_future().get();
}

/// Reads the body to its end. Fails if it breaks off.
inline auto readAll(Ports::BodyStream& body) -> Core::Result<std::string>
{
    std::string whole;
    while (true) {
        const auto part = readPart(body);
        if (!part)
            return tl::unexpected(part.error());
        if (part->empty())
            return whole;
        whole += *part;
    }
}

} // namespace HttpForwardTest
