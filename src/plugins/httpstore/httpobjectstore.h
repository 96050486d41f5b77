#pragma once

#include "httpclient/httpclient.h"
#include "ports/objectstore.h"

namespace HttpStore {

/// Accesses the platform's object API over HTTP. The API is described in docs/INTERFACES.md.
class HttpObjectStore : public Ports::ObjectStore {
public:
    HttpObjectStore(HttpClient::Client& client, Core::Address address);

    auto read(const std::string& name, ObjectCallback callback) -> void override;
    auto write(const std::string& name, Core::Version expected, std::string text, VersionCallback callback)
        -> void override;
    auto watch(const std::string& name, Core::Version after, Core::Duration timeout, ObjectCallback callback)
        -> void override;

private:
    auto fetch(const std::string& target, Core::Duration timeout, ObjectCallback callback) -> void;

    HttpClient::Client& m_client;
    Core::Address m_address;
};

} // namespace HttpStore
