#include "Services/Entry/JobProgress.h"

#include "lavenderpick/Base/Json.h"

namespace Lavenderpick {

std::string JobProgress::toText() const
{
    return nlohmann::json { { "text", text }, { "tokens", tokens } }.dump();
}

JobProgress JobProgress::parse(const std::string &text)
{
    const nlohmann::json json = parseJson(text, "progress of a job");
    return { .text = requireString(json, "text"), .tokens = requireInteger(json, "tokens") };
}

} // namespace Lavenderpick
