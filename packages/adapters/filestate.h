/* filestate.h -- detects that a file was changed or replaced

   A file counts as changed when its modification time, size or inode differs
   from the last poll, so a replacement within the same second and of the same
   length is detected too.  node.c polls the settings file with it, and tls.c
   the TLS files.
*/

#ifndef BW_FILESTATE_H
#define BW_FILESTATE_H

#include <stdbool.h>
#include <stdint.h>

/* All zero before the first poll, and after a failed stat, as of a file that
   is missing. */
typedef struct BwFileState {
    int64_t modified_ns;
    int64_t size_bytes;
    uint64_t inode;
} BwFileState;

/* Stores the file's present state.  Returns whether it differs from the state
   that was stored before. */
bool
BwFileState_Update(BwFileState *state, const char *path);

#endif
