/* filestate.h -- whether a file was changed or replaced

   A file counts as changed when its time, its size or its inode differs from
   the last look, so a replacement of the same second and length is seen too.
*/

#ifndef BW_FILESTATE_H
#define BW_FILESTATE_H

#include <stdbool.h>
#include <stdint.h>

/* All zero before the first look, and for a file that cannot be looked at. */
typedef struct BwFileState {
    int64_t changed_ns;
    int64_t size_bytes;
    uint64_t inode;
} BwFileState;

/* Looks at the file.  Returns whether it differs from the last look. */
bool
BwFileState_Look(BwFileState *state, const char *path);

#endif
