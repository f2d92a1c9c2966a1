#pragma once

#include <string>
#include <string_view>

namespace Lavenderpick {

/// SHA-256 of the bytes, in lower-case hex.
std::string sha256(std::string_view bytes);

/// A SHA-256 that is fed piece by piece.
class Sha256Stream
{
public:
    Sha256Stream();
    void update(std::string_view bytes);

    /// The digest of all bytes so far, in lower-case hex; more bytes may follow.
    std::string hexDigest() const;

private:
    alignas(16) unsigned char m_state[128];
};

/// Keyed BLAKE2b over the bytes, in lower-case hex (32 bytes of tag). Any length of key is
/// accepted.
std::string keyedTag(std::string_view key, std::string_view bytes);

/// The salted hash of a caller's key as it stands in the document.
std::string saltedKeyHash(std::string_view salt, std::string_view key);

/// Compares without revealing through its duration where the texts differ.
bool equalConstantTime(std::string_view left, std::string_view right);

} // namespace Lavenderpick
