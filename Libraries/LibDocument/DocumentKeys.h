#pragma once

#include "lavenderpick/Platform/Table.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Lavenderpick {

inline const RowKey documentHeadKey { "document", "head" };
inline const std::string documentChangeTable = "document-change";
inline const std::string documentSnapshotPrefix = "document/snapshot-";

/// A version with leading zeros, so that keys sort as their numbers do.
std::string paddedVersion(std::int64_t version);

RowKey documentChangeKey(std::int64_t version);
std::string documentSnapshotName(std::int64_t version);

} // namespace Lavenderpick
