#pragma once

#include "lavenderpick/Document/Document.h"
#include "lavenderpick/Document/EntryReader.h"

#include <string>
#include <vector>

namespace Lavenderpick {

/// Every problem of one section: fields, unknown fields and rules over the section as a whole.
std::vector<DocumentProblem> checkSection(const Document &document, const std::string &section);

/// Every problem of the document: each section, and references from one section to another.
std::vector<DocumentProblem> checkDocument(const Document &document);

/// Every problem that speaks against an edit of `section`: those of the section, and those that
/// the edit brings to other sections. A problem that another team's section had before, such as
/// after a release with a stricter rule, does not block this team.
std::vector<DocumentProblem> checkEdit(const Document &before, const Document &after,
                                       const std::string &section);

} // namespace Lavenderpick
