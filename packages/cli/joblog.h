/* joblog.h -- finds the log lines about a bound job

   No process keeps anything of a bound job after its answer, but the log lines
   of dispatchers, supervisors and workers name the job that they are about.
   Lines may be text or JSON, also mixed in one file.  The command explain uses
   this, and so do tests.
*/

#ifndef BW_JOBLOG_H
#define BW_JOBLOG_H

#include <stdbool.h>

#include <jansson.h>

/* Parses one line into an object of "at", "level", "name", "event" and the
   fields of the line; json_decref it.  Returns NULL for other lines. */
json_t *
BwJobLog_ParseLine(const char *line);

/* Adds the lines of a file whose field "job" is `job` to the array `lines`.
   Returns false with errno set when the file cannot be opened. */
bool
BwJobLog_AddFile(json_t *lines, const char *path, const char *job);

/* Returns the lines sorted by time; json_decref the result. */
json_t *
BwJobLog_Sort(const json_t *lines);

#endif
