#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace Lavenderpick {

/// The source of randomness; tests pass a seeded one. Not safe for concurrent use.
class Random
{
public:
    virtual ~Random() = default;

    virtual std::uint64_t next() = 0;

    /// A number from 0 up to, but not including, `bound`; 0 when `bound` is 0.
    std::uint64_t below(std::uint64_t bound);

    /// A number from 0 up to, but not including, 1.
    double unit();
};

/// A deterministic sequence for a seed.
class SeededRandom final : public Random
{
public:
    explicit SeededRandom(std::uint64_t seed);

    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

/// Cryptographically secure random numbers of the operating system; safe for concurrent use.
class SystemRandom final : public Random
{
public:
    std::uint64_t next() override;
};

/// A new identifier: `prefix`, a hyphen and 128 random bits in hex.
std::string newIdentifier(Random &random, const std::string &prefix);

} // namespace Lavenderpick
