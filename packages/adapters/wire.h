/* wire.h -- messages as msgpack arrays in length-prefixed frames

   A frame is a four-byte length, most significant byte first, and a msgpack
   array: the kind of the message, then its fields in the order of its field
   table in wire.c.  A receiver ignores fields beyond those it knows, so a
   newer peer may append fields; a frame with fewer fields than the table is
   refused.
*/

#ifndef BW_WIRE_H
#define BW_WIRE_H

#include <msgpack.h>
#include <stdbool.h>

#include "messages.h"

#define BW_FRAME_HEADER_BYTES 4 /* the length */

typedef enum BwWireStatus {
    BW_WIRE_OK,
    BW_WIRE_SHORT, /* more bytes are needed */
    BW_WIRE_BAD,   /* not a valid message; close the connection */
} BwWireStatus;

/* Appends one frame to `out`.  Returns false when memory is short or a
   receiver would refuse the frame as too large; `out` is then unchanged. */
bool
BwWire_Encode(msgpack_sbuffer *out, const BwMessage *message);

/* Reads one frame from `size_bytes` bytes at `data`.  On BW_WIRE_OK sets
   *used_bytes to the length of the frame; the message's spans point into
   `data`, its lists into `zone`, which the caller clears. */
BwWireStatus
BwWire_Decode(const char *data, size_t size_bytes, size_t *used_bytes,
              msgpack_zone *zone, BwMessage *message);

#endif
