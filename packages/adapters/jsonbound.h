/* jsonbound.h -- bounds what a JSON text takes once it is parsed

   The parsed form of small values is many times the size of their text, and
   building it stops the event loop.  A text is therefore examined before it is
   parsed.
*/

#ifndef BW_JSONBOUND_H
#define BW_JSONBOUND_H

#include <stdbool.h>

#include "messages.h"

/* More than a job of 1,700 tasks has. */
#define BW_JSON_VALUES_MAX 16384
#define BW_JSON_DEPTH_MAX 64

#define BW_JSON_BOUND_FAULT                                                   \
    "the body has more than 16384 values or a depth over 64; shorten it"

/* Returns whether the text has at most BW_JSON_VALUES_MAX values and the depth
   BW_JSON_DEPTH_MAX.  A text that is not JSON may pass. */
bool
BwJsonBound_Check(BwSpan text);

#endif
