/* filestate.c -- detects that a file was changed or replaced

   Described in filestate.h.
*/

#include <sys/stat.h>

#include "filestate.h"

#define NS_PER_S 1000000000

bool
BwFileState_Update(BwFileState *state, const char *path)
{
    BwFileState previous = *state;
    BwFileState now = {0};
    struct stat status;

    if (stat(path, &status) == 0) {
        now.modified_ns =
            (int64_t)status.st_mtim.tv_sec * NS_PER_S + status.st_mtim.tv_nsec;
        now.size_bytes = status.st_size;
        now.inode = status.st_ino;
    }
    *state = now;
    return now.modified_ns != previous.modified_ns ||
           now.size_bytes != previous.size_bytes ||
           now.inode != previous.inode;
}
