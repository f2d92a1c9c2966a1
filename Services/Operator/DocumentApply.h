#pragma once

#include "Services/Operator/CommandLine.h"
#include "Services/Operator/OperatorSession.h"
#include "Services/Operator/SectionFile.h"

#include <string>

namespace Lavenderpick {

/// The action `document apply`.
class DocumentApply
{
public:
    DocumentApply(OperatorSession &session, const CommandLine &line)
        : m_session(session)
        , m_line(line)
    { }

    /// Applies the file if its section still has the version `base`. Throws `Error`.
    ExitCode run(const SectionFile &file, std::int64_t base);

private:
    ExitCode reportConflict(const std::string &section, std::int64_t base,
                            std::int64_t currentVersion);

    OperatorSession &m_session;
    const CommandLine &m_line;
};

/// The version of the document and of each section.
nlohmann::json sectionVersions(const Document &document);
std::string describeVersions(const Document &document);

} // namespace Lavenderpick
