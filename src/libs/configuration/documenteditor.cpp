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

    auto holdsEdit(const SteeringDocument& document, const SectionEdit& edit) -> bool
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

struct DocumentEditor::Attempt {
    SectionEdit edit;
    EditCallback callback;
    std::size_t count = 0;
    /// A write was sent whose outcome is not known.
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
    const auto attempt = std::make_shared<Attempt>();
    attempt->edit = std::move(edit);
    attempt->callback = std::move(callback);
    read([self = shared_from_this(), attempt](
             const Core::Result<SteeringDocument>& document) { self->apply(attempt, document); });
}

auto DocumentEditor::apply(const std::shared_ptr<Attempt>& attempt, const Core::Result<SteeringDocument>& document)
    -> void
{
    if (!document) {
        if (document.error().kind == Core::ErrorKind::InvalidDocument)
            attempt->callback(tl::unexpected(document.error()));
        else
            retry(attempt, document.error());
        return;
    }
    const auto& edit = attempt->edit;
    if (holdsEdit(*document, edit)) {
        attempt->callback(AcceptedEdit { document->version, attempt->count == 0 });
        return;
    }
    if (valuesOf(*document, edit.section) != edit.expected) {
        attempt->callback(Core::fail(Core::ErrorKind::Conflict,
            toString(edit.section) + " was changed by somebody else since you read it; this edit was not applied",
            "show the section again, bring your change into it, and edit it once more"));
        return;
    }
    write(attempt, withEdit(*document, edit));
}

auto DocumentEditor::write(const std::shared_ptr<Attempt>& attempt, const SteeringDocument& document) -> void
{
    if (const auto composed = composeConfiguration(document); !composed) {
        attempt->callback(tl::unexpected(composed.error()));
        return;
    }
    auto text = m_codec.encode(document);
    if (text.size() > maximumDocumentSize.value()) {
        attempt->callback(Core::fail(Core::ErrorKind::TooLarge,
            "the document would be " + std::to_string(text.size()) + " bytes; the store holds "
                + std::to_string(maximumDocumentSize.value()),
            "make the section smaller"));
        return;
    }
    m_store.write(steeringDocumentName, document.version, std::move(text),
        [self = shared_from_this(), attempt](
            const Core::Result<Core::Version>& result) { self->finishWrite(attempt, result); });
}

auto DocumentEditor::finishWrite(const std::shared_ptr<Attempt>& attempt, const Core::Result<Core::Version>& result)
    -> void
{
    if (result) {
        attempt->callback(AcceptedEdit { *result, false });
        return;
    }
    // A write that may still arrive names the version that it replaces, so the next attempt and it exclude each other.
    const auto kind = result.error().kind;
    attempt->isUncertain
        = attempt->isUncertain || kind == Core::ErrorKind::OutcomeUnknown || kind == Core::ErrorKind::Timeout;
    retry(attempt, result.error());
}

auto DocumentEditor::retry(const std::shared_ptr<Attempt>& attempt, const Core::Error& cause) -> void
{
    if (cause.kind == Core::ErrorKind::TooLarge || ++attempt->count >= maximumAttempts) {
        if (attempt->isUncertain)
            attempt->callback(Core::fail(Core::ErrorKind::OutcomeUnknown,
                "the edit may have been accepted; the store does not say: " + cause.message,
                "repeat it with the same edit id '" + attempt->edit.id.value() + "'; it is applied at most once"));
        else
            attempt->callback(tl::unexpected(cause));
        return;
    }
    attempt->timer = m_scheduler.after(backoffBefore(attempt->count), [self = shared_from_this(), attempt] {
        // Ends the cycle of attempt, timer and task.
        const auto timer = std::move(attempt->timer);
        self->read([self, attempt](const Core::Result<SteeringDocument>& document) { self->apply(attempt, document); });
    });
}

} // namespace Configuration
