/* jobjson.h -- reads jobs from JSON and writes results and errors as JSON

   This is the format of the callers' HTTP interface, which an entry serves.
*/

#ifndef BW_JOBJSON_H
#define BW_JOBJSON_H

#include <jansson.h>

#include "brasswing.h"

/* A job as a caller sent it.  The spans of `submit` point into `root`. */
typedef struct BwJobRequest {
    json_t *root;
    BwSubmit submit;
    char fault[256];
} BwJobRequest;

/* Reads a job.  Returns BW_OK; BW_ERR_BAD_REQUEST or BW_ERR_TOO_LARGE, with
   request->fault saying what is wrong and where; or BW_ERR_NO_MEMORY.  Call
   BwJobRequest_Finish in either case. */
BwErrorKind
BwJobRequest_Read(BwJobRequest *request, BwSpan body);

void
BwJobRequest_Finish(BwJobRequest *request);

/* Returns a result as JSON text, which the caller releases with free, or NULL
   when memory is short.  `member` and `key` identify the job. */
char *
BwJobJson_Result(BwSpan member, BwSpan key, const BwResult *result);

/* Returns an error as JSON text, which the caller releases with free, or NULL
   when memory is short. */
char *
BwJobJson_Error(BwErrorKind error, const char *detail);

#endif
