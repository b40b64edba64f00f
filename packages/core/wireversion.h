/* wireversion.h -- which wire version two processes of different builds speak

   Builds of wire version 4 and below answer only a HELLO of their own version
   and close the connection at any other; later ones say up to which version
   they speak.  The side that opens a connection offers a version.  The other
   side answers with the highest that both speak, or refuses.  Where a
   connection is closed at its HELLO the next offer is another version, so a
   process finds the version of an older one by trying, at the price of one
   connection for each.

   mesh.c, peers.c and configfetch.c agree on versions with this module, and
   wire.c has the layouts.  docs/design/upgrade.md weighs the method.
*/

#ifndef BW_WIREVERSION_H
#define BW_WIREVERSION_H

#include "messages.h"

/* Returns the version with which to answer the HELLO of a process that opened
   a connection, or 0 when this build speaks none of its versions. */
uint32_t
BwWireVersion_Answer(const BwHello *offer);

/* Returns the version that an answer has settled, or 0 when this build does
   not speak it. */
uint32_t
BwWireVersion_Settle(const BwHello *answer);

/* Returns the version to offer after one was not answered: the next lower one,
   and after the lowest the highest again. */
uint32_t
BwWireVersion_NextOffer(uint32_t offered);

#endif
