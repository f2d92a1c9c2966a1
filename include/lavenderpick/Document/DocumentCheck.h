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

} // namespace Lavenderpick
