/* filestate.c -- whether a file was changed or replaced */

#include <sys/stat.h>

#include "filestate.h"

#define NS_OF_S 1000000000

bool
BwFileState_Look(BwFileState *state, const char *path)
{
    BwFileState former = *state;
    BwFileState now = {0};
    struct stat facts;

    if (stat(path, &facts) == 0) {
        now.changed_ns =
            (int64_t)facts.st_mtim.tv_sec * NS_OF_S + facts.st_mtim.tv_nsec;
        now.size_bytes = facts.st_size;
        now.inode = facts.st_ino;
    }
    *state = now;
    return now.changed_ns != former.changed_ns ||
           now.size_bytes != former.size_bytes || now.inode != former.inode;
}
