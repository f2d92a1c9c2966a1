#include "DocumentKeys.h"

namespace Lavenderpick {

std::string paddedVersion(std::int64_t version)
{
    constexpr std::size_t digits = 12;
    const std::string number = std::to_string(version);
    return std::string(number.size() < digits ? digits - number.size() : 0, '0') + number;
}

RowKey documentChangeKey(std::int64_t version)
{
    return { documentChangeTable, paddedVersion(version) };
}

std::string documentSnapshotName(std::int64_t version)
{
    return documentSnapshotPrefix + paddedVersion(version);
}

} // namespace Lavenderpick
