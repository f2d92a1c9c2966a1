#include "lavenderpick/Base/Random.h"

#include <cstdio>
#include <sodium.h>

namespace Lavenderpick {

std::uint64_t Random::below(std::uint64_t bound)
{
    return bound == 0 ? 0 : next() % bound;
}

double Random::unit()
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(next() >> 11) * scale;
}

SeededRandom::SeededRandom(std::uint64_t seed)
    : m_engine(seed)
{ }

std::uint64_t SeededRandom::next()
{
    return m_engine();
}

std::uint64_t SystemRandom::next()
{
    std::uint64_t value = 0;
    randombytes_buf(&value, sizeof value);
    return value;
}

std::string newIdentifier(Random &random, const std::string &prefix)
{
    char hex[33];
    std::snprintf(hex, sizeof hex, "%016llx%016llx", static_cast<unsigned long long>(random.next()),
                  static_cast<unsigned long long>(random.next()));
    return prefix + "-" + hex;
}

} // namespace Lavenderpick
