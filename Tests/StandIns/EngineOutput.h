#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Lavenderpick::StandIns {

/// The engine stand-in's answer as a pure function of the prompt, so that any client can verify it.
constexpr std::uint64_t emptyPromptDigest = 0xcbf29ce484222325ULL;
constexpr std::int64_t bytesPerToken = 4;

/// 64-bit FNV-1a over `bytes`, continued from `digest`; digests of prompt parts chain.
constexpr std::uint64_t extendPromptDigest(std::uint64_t digest, std::string_view bytes)
{
    for (const char byte : bytes)
        digest = (digest ^ static_cast<unsigned char>(byte)) * 0x100000001b3ULL;
    return digest;
}

constexpr std::int64_t tokensInBytes(std::size_t bytes)
{
    return (static_cast<std::int64_t>(bytes) + bytesPerToken - 1) / bytesPerToken;
}

/// Text of output token `index`: three letters and a space.
inline std::string outputToken(std::uint64_t promptDigest, std::int64_t index)
{
    // The splitmix64 finalizer; neighbouring indexes must give unrelated letters.
    std::uint64_t bits =
            promptDigest + 0x9e3779b97f4a7c15ULL * static_cast<std::uint64_t>(index + 1);
    bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
    bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
    bits ^= bits >> 31;
    std::string text(4, ' ');
    for (int letter = 0; letter < 3; ++letter, bits /= 26)
        text[letter] = static_cast<char>('a' + bits % 26);
    return text;
}

/// The whole answer of `tokens` tokens to `prompt`.
inline std::string expectedOutput(std::string_view prompt, std::int64_t tokens)
{
    const std::uint64_t digest = extendPromptDigest(emptyPromptDigest, prompt);
    std::string text;
    for (std::int64_t index = 0; index < tokens; ++index)
        text += outputToken(digest, index);
    return text;
}

} // namespace Lavenderpick::StandIns
