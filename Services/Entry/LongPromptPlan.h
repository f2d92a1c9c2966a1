#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderpick {

/// One engine of a group that shares a prompt.
struct GroupMember
{
    std::string upstream;
    std::string address; ///< Of the agent.
    std::int64_t freeTokens { 0 };

    bool operator==(const GroupMember &) const = default;
};

/// The part of a prompt that one engine holds.
struct PromptSegment
{
    std::string_view text;
    std::int64_t tokens { 0 }; ///< Memory to reserve, in tokens.

    bool operator==(const PromptSegment &) const = default;
};

/// The order of steps for one prompt over several engines (P1 to P5). Performs no I/O.
///
/// Reservations are made in ascending upstream name and given up together, so that two prompts
/// can't hold parts of what the other needs forever.
class LongPromptPlan
{
public:
    enum class Step {
        Reserve, ///< Reserve `segment()` at `member()`, then `onReserved` or `onRefused`.
        Prefill, ///< Prefill `segment()` at `member()`, then `onPrefilled` or `onFailed`.
        Decode,  ///< Run the attempt with `segment()` at `member()`, then `onDecoded`.
        Release, ///< Release the reservations at the first `reservedCount()` members; the plan
                 ///< ends.
    };

    /// `prompt` must outlive the plan. The members are sorted by name; the last one decodes and
    /// keeps room for `outputTokens`.
    LongPromptPlan(std::vector<GroupMember> members, std::string_view prompt,
                   std::int64_t promptTokens, std::int64_t outputTokens);

    Step step() const { return m_step; }
    std::size_t index() const { return m_index; }
    const GroupMember &member() const { return m_members[m_index]; }
    const PromptSegment &segment() const { return m_segments[m_index]; }
    const std::vector<GroupMember> &members() const { return m_members; }

    /// Tokens of the segments before the present one.
    std::int64_t contextTokens() const;

    /// KV handles of the segments prefilled so far, in order.
    const std::vector<std::string> &handles() const { return m_handles; }

    void onReserved();

    /// The member refused or did not answer; its reservation may exist nevertheless.
    void onRefused();
    void onPrefilled(const std::string &handle);
    void onFailed();
    void onDecoded();

    std::size_t reservedCount() const { return m_reserved; }

    /// Whether the plan ended because memory was refused, so that a new plan may succeed.
    bool wasRefused() const { return m_refused; }

private:
    void split(std::string_view prompt, std::int64_t promptTokens, std::int64_t outputTokens);

    std::vector<GroupMember> m_members;
    std::vector<PromptSegment> m_segments;
    std::vector<std::string> m_handles;
    std::size_t m_index { 0 };
    std::size_t m_reserved { 0 };
    Step m_step { Step::Reserve };
    bool m_refused { false };
};

} // namespace Lavenderpick
