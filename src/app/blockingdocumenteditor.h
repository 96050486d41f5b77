#pragma once

#include "configuration/documenteditor.h"
#include "httpclient/httpclient.h"
#include "httpstore/httpobjectstore.h"
#include "jsoncodec/jsondocumentcodec.h"
#include "runtime/asioruntime.h"

#include <optional>

namespace App {

/// Reads and edits the steering document in the store. Each call blocks until its result arrives.
class BlockingDocumentEditor {
public:
    explicit BlockingDocumentEditor(const Core::Address& store);

    auto read() -> Core::Result<Configuration::SteeringDocument>;
    auto edit(Configuration::SectionEdit edit) -> Core::Result<Configuration::AcceptedEdit>;
    [[nodiscard]] auto codec() const -> const Configuration::DocumentCodec& { return m_codec; }

private:
    template <typename Content, typename Start> auto runUntilComplete(Start start) -> Core::Result<Content>;

    Runtime::AsioRuntime m_runtime { 1 };
    HttpClient::Client m_client;
    HttpStore::HttpObjectStore m_store;
    JsonCodec::JsonDocumentCodec m_codec;
    std::shared_ptr<Configuration::DocumentEditor> m_editor;
};

} // namespace App
