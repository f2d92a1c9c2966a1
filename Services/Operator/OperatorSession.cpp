#include "Services/Operator/OperatorSession.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Http/MessageAuthenticator.h"

namespace Lavenderpick {

OperatorSession::OperatorSession(const OperatorSettings &settings)
    : m_settings(settings)
    , m_platform(settings.platformAddress, m_clock, settings.timeout)
    , m_store(m_platform, m_platform, m_random, m_clock)
    , m_clusterKey(hasClusterKey() ? readKeyFile(settings.clusterKeyFile) : "")
{ }

void OperatorSession::addOption(CommandLine &line)
{
    line.addText("settings", "settings of the operator's tool");
}

OperatorSettings OperatorSession::settingsOf(const CommandLine &line)
{
    return OperatorSettings::fromFile(line.requiredText("settings"));
}

std::string OperatorSession::operatorKey() const
{
    if (m_settings.operatorKeyFile.empty())
        throw Error(ErrorKind::Unauthenticated, "The settings name no operator key",
                    "Add operator.key_file to the settings.");
    return readKeyFile(m_settings.operatorKeyFile);
}

OperatorEntry OperatorSession::authenticate(const Document &document) const
{
    auto entry = document.operatorByKey(operatorKey());
    if (!entry)
        throw Error(ErrorKind::Unauthenticated,
                    "The document knows no operator with the key in '" + m_settings.operatorKeyFile
                            + "'",
                    "Ask whoever may change 'operators' to add the hash of your key.");
    return *entry;
}

std::string OperatorSession::authorize(const Document &present, const Document &edited,
                                       const std::string &section) const
{
    const bool isFirstEdit = present.version() == 0;
    if (isFirstEdit && section != SectionName::operators)
        throw Error(ErrorKind::Forbidden, "The document is empty and has no operators",
                    "Apply the section 'operators' first.");
    const OperatorEntry entry = authenticate(isFirstEdit ? edited : present);
    if (!entry.mayChange(section))
        throw Error(ErrorKind::Forbidden,
                    "Operator '" + entry.name + "' may not change '" + section + "'",
                    "Ask the team that owns the section, or whoever may change 'operators'.");
    return entry.name;
}

std::optional<nlohmann::json> OperatorSession::ask(const std::string &address,
                                                   const std::string &path)
{
    try {
        HttpRequest request { .method = "GET", .path = path };
        request.timeout = m_settings.timeout;
        if (hasClusterKey())
            request.headers.emplace(
                    authenticationHeader,
                    MessageAuthenticator(m_clusterKey, m_clock).sign("GET", path, ""));
        const HttpResponse response = HttpClient(address, m_clock).send(request);
        nlohmann::json json = nlohmann::json::parse(response.body, nullptr, false);
        if (json.is_discarded())
            json = { { "status", response.status } };
        const bool refused =
                response.status == 401 || response.status == 403 || response.status == 404;
        return refused ? std::nullopt : std::optional(std::move(json));
    } catch (const Error &) {
        return std::nullopt;
    }
}

} // namespace Lavenderpick
