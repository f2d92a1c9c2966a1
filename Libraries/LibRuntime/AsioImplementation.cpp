// Asio's functions are compiled once here instead of in each file that includes it.
#include <asio/impl/src.hpp>
