/* tokens.c -- authenticates callers by bearer tokens

   The hash of the given token is compared in constant time with each token of
   a member, also after a match, so that the duration of a check reveals
   nothing about a token.
*/

#include <stdio.h>
#include <string.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include "tokens.h"

#define HASH_BYTES 32
#define BEARER "Bearer "

bool
BwTokens_IsHash(const char *text)
{
    return strlen(text) == 2 * HASH_BYTES &&
           strspn(text, "0123456789abcdef") == 2 * HASH_BYTES;
}

/* Writes the hash of the bearer token in `authorization` as hexadecimal digits
   with a final NUL.  Returns false when there is no token. */
static bool
hash_token(BwSpan authorization, char *digits)
{
    size_t prefix = strlen(BEARER);
    unsigned char hash[EVP_MAX_MD_SIZE];
    unsigned int length = 0;

    if (authorization.size_bytes <= prefix ||
        memcmp(authorization.base, BEARER, prefix) != 0)
        return false;
    if (EVP_Digest(authorization.base + prefix,
                   authorization.size_bytes - prefix, hash, &length,
                   EVP_sha256(), NULL) != 1 ||
        length != HASH_BYTES)
        return false;
    for (unsigned int i = 0; i < length; i++)
        snprintf(digits + 2 * i, 3, "%02x", hash[i]);
    return true;
}

static bool
has_token(const BwConfigMember *member, const char *digits)
{
    bool is_found = false;

    for (uint32_t i = 0; i < member->token_count; i++)
        is_found |= CRYPTO_memcmp(member->tokens[i].sha256, digits,
                                  2 * HASH_BYTES) == 0;
    return is_found;
}

BwErrorKind
BwTokens_Check(const BwConfig *config, BwSpan member, BwSpan authorization)
{
    const BwConfigMember *owner = BwConfig_FindMember(config, member);
    char digits[2 * HASH_BYTES + 1];
    bool is_known = false;

    if (owner == NULL || owner->token_count == 0)
        return BW_OK;
    if (!hash_token(authorization, digits))
        return BW_ERR_UNAUTHENTICATED;
    if (has_token(owner, digits))
        return BW_OK;
    for (uint32_t i = 0; i < config->member_count; i++)
        is_known |= has_token(&config->members[i], digits);
    return is_known ? BW_ERR_FORBIDDEN : BW_ERR_UNAUTHENTICATED;
}
