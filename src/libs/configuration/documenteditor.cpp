#include "configuration/documenteditor.h"

#include <algorithm>

namespace Configuration {

namespace {

    constexpr std::size_t maximumAttempts = 12;
    constexpr Core::Millis firstBackoff { 50 };
    constexpr Core::Millis maximumBackoff { 1000 };

    auto backoffBefore(std::size_t attempt) -> Core::Duration
    {
        return std::min<Core::Duration>(firstBackoff * (1U << std::min<std::size_t>(attempt, 6)), maximumBackoff);
    }

    auto containsEdit(const SteeringDocument& document, const SectionEdit& edit) -> bool
    {
        const auto found = document.recentEdits.find(edit.section);
        return found != document.recentEdits.end()
            && std::find(found->second.begin(), found->second.end(), edit.id) != found->second.end();
    }

    auto withEdit(SteeringDocument document, const SectionEdit& edit) -> SteeringDocument
    {
        document.sections[edit.section] = edit.replacement;
        auto& ids = document.recentEdits[edit.section];
        ids.push_back(edit.id);
        if (ids.size() > recentEditLimit)
            ids.erase(ids.begin(), ids.end() - recentEditLimit);
        return document;
    }

} // namespace

struct DocumentEditor::PendingEdit {
    SectionEdit edit;
    EditCallback callback;
    std::size_t attemptCount = 0;
    /// True after a write whose outcome is unknown.
    bool isUncertain = false;
    std::unique_ptr<Ports::Timer> timer;
};

DocumentEditor::DocumentEditor(Ports::ObjectStore& store, Ports::Scheduler& scheduler, const DocumentCodec& codec)
    : m_store(store)
    , m_scheduler(scheduler)
    , m_codec(codec)
{
}

auto DocumentEditor::read(DocumentCallback callback) -> void
{
    m_store.read(steeringDocumentName,
        [self = shared_from_this(), callback = std::move(callback)](const Core::Result<Ports::StoredObject>& object) {
            if (object)
                callback(self->m_codec.decode(object->text, object->version));
            else if (object.error().kind == Core::ErrorKind::NotFound)
                callback(SteeringDocument());
            else
                callback(tl::unexpected(object.error()));
        });
}

auto DocumentEditor::edit(SectionEdit edit, EditCallback callback) -> void
{
    const auto pending = std::make_shared<PendingEdit>();
    pending->edit = std::move(edit);
    pending->callback = std::move(callback);
    read([self = shared_from_this(), pending](
             const Core::Result<SteeringDocument>& document) { self->apply(pending, document); });
}

auto DocumentEditor::apply(const std::shared_ptr<PendingEdit>& pending, const Core::Result<SteeringDocument>& document)
    -> void
{
    if (!document) {
        if (document.error().kind == Core::ErrorKind::InvalidDocument)
            pending->callback(tl::unexpected(document.error()));
        else
            retry(pending, document.error());
        return;
    }
    const auto& edit = pending->edit;
    if (containsEdit(*document, edit)) {
        pending->callback(AcceptedEdit { document->version, pending->attemptCount == 0 });
        return;
    }
    if (valuesOf(*document, edit.section) != edit.expected) {
        pending->callback(Core::fail(Core::ErrorKind::Conflict,
            toString(edit.section) + " was changed by another edit since it was read; this edit was not applied",
            "show the section again, merge your change into it, and submit the edit again"));
        return;
    }
    write(pending, withEdit(*document, edit));
}

auto DocumentEditor::write(const std::shared_ptr<PendingEdit>& pending, const SteeringDocument& document) -> void
{
    if (const auto composed = composeConfiguration(document); !composed) {
        pending->callback(tl::unexpected(composed.error()));
        return;
    }
    auto text = m_codec.encode(document);
    if (text.size() > maximumDocumentSize.value()) {
        pending->callback(Core::fail(Core::ErrorKind::TooLarge,
            "the document would be " + std::to_string(text.size()) + " bytes; the store accepts at most "
                + std::to_string(maximumDocumentSize.value()),
            "reduce the size of the section"));
        return;
    }
    m_store.write(steeringDocumentName, document.version, std::move(text),
        [self = shared_from_this(), pending](
            const Core::Result<Core::Version>& result) { self->finishWrite(pending, result); });
}

auto DocumentEditor::finishWrite(const std::shared_ptr<PendingEdit>& pending, const Core::Result<Core::Version>& result)
    -> void
{
    if (result) {
        pending->callback(AcceptedEdit { *result, false });
        return;
    }
    // A delayed write is conditional on the version that it replaces, so at most one of it and the next attempt
    // succeeds.
    const auto kind = result.error().kind;
    pending->isUncertain
        = pending->isUncertain || kind == Core::ErrorKind::OutcomeUnknown || kind == Core::ErrorKind::Timeout;
    retry(pending, result.error());
}

auto DocumentEditor::retry(const std::shared_ptr<PendingEdit>& pending, const Core::Error& cause) -> void
{
    if (cause.kind == Core::ErrorKind::TooLarge || ++pending->attemptCount >= maximumAttempts) {
        if (pending->isUncertain)
            pending->callback(Core::fail(Core::ErrorKind::OutcomeUnknown,
                "the edit may have been accepted; its outcome cannot be read from the store: " + cause.message,
                "retry it with the same edit id '" + pending->edit.id.value() + "'; it is applied at most once"));
        else
            pending->callback(tl::unexpected(cause));
        return;
    }
    pending->timer = m_scheduler.after(backoffBefore(pending->attemptCount), [self = shared_from_this(), pending] {
        // Breaks the reference cycle of pending edit, timer and task.
        const auto timer = std::move(pending->timer);
        self->read([self, pending](const Core::Result<SteeringDocument>& document) { self->apply(pending, document); });
    });
}

} // namespace Configuration
