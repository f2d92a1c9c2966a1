#include "lavenderpick/Forward/RequestDialect.h"

namespace Lavenderpick {

std::vector<std::string> RequestDialect::sharedPromptParts(const HeaderList &headers) const
{
    std::vector<std::string> ids;
    for (const PromptPart &part : promptParts(headers))
        ids.push_back(part.id);
    if (!ids.empty())
        ids.pop_back();
    return ids;
}

} // namespace Lavenderpick
