/* framecheck.h -- limits the size of a msgpack value before it is unpacked

   Msgpack's unpacker allocates each container at its declared size before it
   reads the elements, so a frame of a few bytes can make it allocate
   gigabytes.  This module first runs the library's own parser template over
   the frame, with callbacks that allocate nothing and only add up the declared
   sizes.  The price is a second pass, with one step for each value; the bytes
   of strings and binary values are skipped.  The encoder and the decoder of
   wire.c call it.
*/

#ifndef BW_FRAMECHECK_H
#define BW_FRAMECHECK_H

#include <stdbool.h>
#include <stddef.h>

/* Limit of the values in all containers of one frame: several times what a
   list of BW_LIST_ITEMS_MAX items needs. */
#define BW_FRAME_VALUES_MAX (8u * 65536)

/* Returns whether the bytes are exactly one msgpack value whose containers
   together declare at most `size_bytes` values (each takes at least one byte)
   and at most BW_FRAME_VALUES_MAX. */
bool
BwFrame_IsBounded(const char *data, size_t size_bytes);

#endif
