#include "lavenderpick/Base/Digest.h"

#include <array>
#include <cstring>
#include <sodium.h>

namespace Lavenderpick {

namespace {

static_assert(sizeof(crypto_hash_sha256_state) <= 128);

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

template <std::size_t Size>
std::string toHex(const std::array<unsigned char, Size> &bytes)
{
    std::string hex(Size * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
    hex.pop_back();
    return hex;
}

} // namespace

std::string sha256(std::string_view bytes)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest {};
    crypto_hash_sha256(digest.data(), bytesOf(bytes), bytes.size());
    return toHex(digest);
}

Sha256Stream::Sha256Stream()
{
    crypto_hash_sha256_state state;
    crypto_hash_sha256_init(&state);
    std::memcpy(m_state, &state, sizeof state);
}

void Sha256Stream::update(std::string_view bytes)
{
    crypto_hash_sha256_state state;
    std::memcpy(&state, m_state, sizeof state);
    crypto_hash_sha256_update(&state, bytesOf(bytes), bytes.size());
    std::memcpy(m_state, &state, sizeof state);
}

std::string Sha256Stream::hexDigest() const
{
    crypto_hash_sha256_state state;
    std::memcpy(&state, m_state, sizeof state);
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest {};
    crypto_hash_sha256_final(&state, digest.data());
    return toHex(digest);
}

std::string keyedTag(std::string_view key, std::string_view bytes)
{
    std::array<unsigned char, crypto_generichash_BYTES> derivedKey {};
    crypto_generichash(derivedKey.data(), derivedKey.size(), bytesOf(key), key.size(), nullptr, 0);
    std::array<unsigned char, crypto_generichash_BYTES> tag {};
    crypto_generichash(tag.data(), tag.size(), bytesOf(bytes), bytes.size(), derivedKey.data(),
                       derivedKey.size());
    return toHex(tag);
}

std::string saltedKeyHash(std::string_view salt, std::string_view key)
{
    return keyedTag(salt, key);
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
            && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace Lavenderpick
