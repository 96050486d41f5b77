#include "app/blockingdocumenteditor.h"

namespace App {

BlockingDocumentEditor::BlockingDocumentEditor(const Core::Address& store)
    : m_client(m_runtime.context())
    , m_store(m_client, store)
    , m_editor(std::make_shared<Configuration::DocumentEditor>(m_store, m_runtime, m_codec))
{
}

template <typename Content, typename Start>
auto BlockingDocumentEditor::runUntilComplete(Start start) -> Core::Result<Content>
{
    std::optional<Core::Result<Content>> result;
    m_runtime.post([&] {
        start([&](Core::Result<Content> answer) {
            result.emplace(std::move(answer));
            m_runtime.stop();
        });
    });
    m_runtime.run();
    m_runtime.context().restart();
    return std::move(*result);
}

auto BlockingDocumentEditor::read() -> Core::Result<Configuration::SteeringDocument>
{
    return runUntilComplete<Configuration::SteeringDocument>(
        [this](auto callback) { m_editor->read(std::move(callback)); });
}

auto BlockingDocumentEditor::edit(Configuration::SectionEdit edit) -> Core::Result<Configuration::AcceptedEdit>
{
    return runUntilComplete<Configuration::AcceptedEdit>(
        [this, &edit](auto callback) { m_editor->edit(std::move(edit), std::move(callback)); });
}

} // namespace App
