#pragma once

#include "Services/Operator/CommandLine.h"
#include "Services/Operator/OperatorSettings.h"
#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Document/DocumentStore.h"
#include "lavenderpick/Http/HttpClient.h"
#include "lavenderpick/Platform/HttpPlatform.h"

#include <optional>
#include <string>

namespace Lavenderpick {

/// The connections and the key that the actions of the operator's tool share.
class OperatorSession
{
public:
    explicit OperatorSession(const OperatorSettings &settings);

    /// Adds the option `--settings`.
    static void addOption(CommandLine &line);

    /// Reads the settings that `--settings` names.
    static OperatorSettings settingsOf(const CommandLine &line);

    DocumentStore &store() { return m_store; }
    VmList &vmList() { return m_platform; }

    /// The operator whose key is in the key file. Throws `Error` of kind Unauthenticated when the
    /// document knows no such key.
    OperatorEntry authenticate(const Document &document) const;

    /// The name of the operator. Throws `Error` of kind Forbidden unless the key allows changes of
    /// the section.
    ///
    /// An empty document has no operators yet. Its first edit must be to `operators` and must give
    /// the key at hand that section, so that the editor is not locked out afterwards.
    std::string authorize(const Document &present, const Document &edited,
                          const std::string &section) const;

    /// The body of `GET path` at a process, signed with the cluster key where there is one.
    /// Nothing when the process does not respond or refuses.
    std::optional<nlohmann::json> ask(const std::string &address, const std::string &path);

    bool hasClusterKey() const { return !m_settings.clusterKeyFile.empty(); }

private:
    std::string operatorKey() const;

    OperatorSettings m_settings;
    SystemClock m_clock;
    SystemRandom m_random;
    HttpPlatform m_platform;
    DocumentStore m_store;
    std::string m_clusterKey;
};

} // namespace Lavenderpick
