/* tokens.h -- authenticates callers by bearer tokens

   The operators' configuration lists the SHA-256 of each bearer token of a
   member.  A member that lists none is open to every caller.  The HTTP
   interfaces check each request that acts for a member.
*/

#ifndef BW_TOKENS_H
#define BW_TOKENS_H

#include "config.h"

/* Checks the value of an Authorization header for a request that acts for
   `member`.  Returns BW_OK also for a member that is unknown or lists no
   token, BW_ERR_UNAUTHENTICATED when no known token is given, or
   BW_ERR_FORBIDDEN for a token of another member. */
BwErrorKind
BwTokens_Check(const BwConfig *config, BwSpan member, BwSpan authorization);

/* Returns whether `text` is a SHA-256 in lower-case hexadecimal digits. */
bool
BwTokens_IsHash(const char *text);

#endif
