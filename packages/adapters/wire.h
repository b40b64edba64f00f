/* wire.h -- messages as msgpack arrays in length-prefixed frames

   A frame is a four-byte length, most significant byte first, and a msgpack
   array: the kind of the message, then its fields in the order of its field
   table in wire.c.  Each table tells the wire version that added a field or a
   message, and both sides of a connection use the layouts of the version that
   they agreed on (wireversion.h).

   A receiver skips what a newer build may have added: fields behind those it
   knows, and messages of a kind that it does not know.  A field that the
   agreed version lacks is 0 or empty.  One that the version has and the frame
   lacks makes the frame malformed, unless the table says that it is optional.
*/

#ifndef BW_WIRE_H
#define BW_WIRE_H

#include <msgpack.h>
#include <stdbool.h>

#include "messages.h"

#define BW_FRAME_HEADER_BYTES 4 /* the length */

typedef enum BwWireStatus {
    BW_WIRE_OK,
    BW_WIRE_SHORT,   /* more bytes are needed */
    BW_WIRE_UNKNOWN, /* of a kind that this build lacks; skip it */
    BW_WIRE_BAD,     /* not a valid message; close the connection */
} BwWireStatus;

/* Returns whether that wire version has messages of the kind. */
bool
BwWire_HasKind(uint32_t version, BwMessageKind kind);

/* Appends one frame to `out`, in the layout of `version`.  Returns false when
   memory is short or a receiver would refuse the frame as too large; `out` is
   then unchanged. */
bool
BwWire_Encode(msgpack_sbuffer *out, uint32_t version,
              const BwMessage *message);

/* Reads one frame of `version` from `size_bytes` bytes at `data`.  On
   BW_WIRE_OK and BW_WIRE_UNKNOWN sets *used_bytes to the length of the frame.
   The message's spans point into `data`, its lists into `zone`, which the
   caller clears. */
BwWireStatus
BwWire_Decode(const char *data, size_t size_bytes, uint32_t version,
              size_t *used_bytes, msgpack_zone *zone, BwMessage *message);

#endif
