#include <medlarstall/support/digest.hpp>

#include <medlarstall/support/hex.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <xxhash.h>

#include <array>

namespace medlarstall {

std::string sha256_hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(),
               nullptr);
    std::string_view const bytes{reinterpret_cast<char const*>(digest.data()),
                                 size};
    return to_hex(bytes);
}

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

bool equal_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace medlarstall
