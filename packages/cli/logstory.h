/* logstory.h -- a bound job's story, from the log lines of its processes

   Nothing is kept of a bound job after its answer, but dispatchers,
   supervisors and workers write its id with each line.  Lines of both formats
   may be mixed.
*/

#ifndef BW_LOGSTORY_H
#define BW_LOGSTORY_H

#include <stdbool.h>

#include <jansson.h>

/* Reads one line into an object of "at", "level", "name", "event" and the
   line's fields.  Returns NULL when it is no log line; json_decref it. */
json_t *
BwLogStory_ReadLine(const char *line);

/* Adds the lines of a file that tell of the job.  Returns false with errno set
   when the file cannot be read. */
bool
BwLogStory_AddFile(json_t *lines, const char *path, const char *job);

/* Returns them in the order of time; json_decref it. */
json_t *
BwLogStory_Sort(const json_t *lines);

#endif
