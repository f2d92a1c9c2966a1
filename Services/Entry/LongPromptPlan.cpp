#include "Services/Entry/LongPromptPlan.h"

#include <algorithm>
#include <cmath>

namespace Lavenderpick {

namespace {

// The engine counts tokens only when it reads them; the estimate may be short by this share.
constexpr double reserveMargin = 1.02;

bool isContinuationByte(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xc0U) == 0x80U;
}

// Moves a cut to the start of a character, so that each segment is valid text.
std::size_t characterStart(std::string_view text, std::size_t position)
{
    while (position > 0 && position < text.size() && isContinuationByte(text[position]))
        --position;
    return position;
}

} // namespace

LongPromptPlan::LongPromptPlan(std::vector<GroupMember> members, std::string_view prompt,
                               std::int64_t promptTokens, std::int64_t outputTokens)
    : m_members(std::move(members))
{
    std::sort(m_members.begin(), m_members.end(),
              [](const GroupMember &left, const GroupMember &right) {
                  return left.upstream < right.upstream;
              });
    split(prompt, promptTokens, outputTokens);
}

void LongPromptPlan::split(std::string_view prompt, std::int64_t promptTokens,
                           std::int64_t outputTokens)
{
    std::vector<double> shares;
    double total = 0;
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const bool decodes = index + 1 == m_members.size();
        const auto free = static_cast<double>(std::max<std::int64_t>(
                m_members[index].freeTokens - (decodes ? outputTokens : 0), 1));
        shares.push_back(free);
        total += free;
    }
    double share = 0;
    std::size_t start = 0;
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        share += shares[index];
        const bool decodes = index + 1 == m_members.size();
        const auto position =
                static_cast<std::size_t>(static_cast<double>(prompt.size()) * (share / total));
        const std::size_t end = decodes ? prompt.size() : characterStart(prompt, position);
        const double part = static_cast<double>(end - start)
                / static_cast<double>(std::max<std::size_t>(prompt.size(), 1));
        const double tokens = std::ceil(static_cast<double>(promptTokens) * part * reserveMargin);
        m_segments.push_back(
                { .text = prompt.substr(start, end - start),
                  .tokens = static_cast<std::int64_t>(tokens) + (decodes ? outputTokens : 0) });
        start = end;
    }
}

std::int64_t LongPromptPlan::contextTokens() const
{
    std::int64_t tokens = 0;
    for (std::size_t index = 0; index < m_index; ++index)
        tokens += m_segments[index].tokens;
    return tokens;
}

void LongPromptPlan::onReserved()
{
    ++m_reserved;
    ++m_index;
    if (m_index < m_members.size())
        return;
    m_index = 0;
    m_step = m_members.size() > 1 ? Step::Prefill : Step::Decode;
}

void LongPromptPlan::onRefused()
{
    // A lost answer may hide a reservation that was made, so this member is released too.
    m_reserved = m_index + 1;
    m_refused = true;
    m_step = Step::Release;
}

void LongPromptPlan::onPrefilled(const std::string &handle)
{
    m_handles.push_back(handle);
    ++m_index;
    if (m_index + 1 == m_members.size())
        m_step = Step::Decode;
}

void LongPromptPlan::onFailed()
{
    m_step = Step::Release;
}

void LongPromptPlan::onDecoded()
{
    m_step = Step::Release;
}

} // namespace Lavenderpick
