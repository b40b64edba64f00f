/* span.c -- byte ranges that do not own their memory */

#include <string.h>

#include "brasswing.h"

BwSpan
BwSpan_FromString(const char *text)
{
    BwSpan span = {text, (uint32_t)strlen(text)};

    return span;
}

bool
BwSpan_Equal(BwSpan a, BwSpan b)
{
    if (a.size_bytes != b.size_bytes)
        return false;
    return a.size_bytes == 0 || memcmp(a.base, b.base, a.size_bytes) == 0;
}

void
BwSpan_ToString(BwSpan span, char *buffer, size_t size_bytes)
{
    size_t length = span.size_bytes;

    if (length > size_bytes - 1)
        length = size_bytes - 1;
    if (length > 0)
        memcpy(buffer, span.base, length);
    buffer[length] = '\0';
}
