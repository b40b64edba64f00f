/* log.h -- a small structured logger

   One line for each event:

     2026-01-02T03:04:05.678901Z info agent-1 place key="k" count=3

   or as JSON, with the same keys after those of the head:

     {"at":"2026-01-02T03:04:05.678901Z","level":"info","name":"agent-1",
      "event":"place","key":"k","count":3}

   A value that holds a space, quote or control character is quoted.  Lines go
   to a file descriptor in one write each, so lines of several threads do not
   mix.
*/

#ifndef BW_LOG_H
#define BW_LOG_H

#include <stdint.h>

#include "messages.h"

typedef enum BwLogLevel {
    BW_LOG_ERROR,
    BW_LOG_WARNING,
    BW_LOG_INFO,
    BW_LOG_DEBUG,
} BwLogLevel;

typedef enum BwLogFormat {
    BW_LOG_KEY_VALUE,
    BW_LOG_JSON,
} BwLogFormat;

typedef struct BwLogger {
    int fd;
    BwLogLevel level;
    BwLogFormat format;
    const char *name; /* of the process */
} BwLogger;

/* One key and value of a line.  `text` is used when not NULL. */
typedef struct BwLogField {
    const char *key;
    const char *text;
    uint64_t number;
} BwLogField;

#define BW_LOG_TEXT(key, value) ((BwLogField){key, value, 0})
#define BW_LOG_NUMBER(key, value) ((BwLogField){key, NULL, (uint64_t)(value)})

/* Writes a line with `count` fields, unless `level` is below the logger's.  A
   line over 2048 bytes is cut, but not one of JSON.  Bytes that are no UTF-8
   are question marks in JSON. */
void
BwLog_Write(const BwLogger *logger, BwLogLevel level, const char *event,
            const BwLogField *fields, uint32_t count);

/* Writes an event with the fields given. */
#define BW_LOG(logger, level, event, ...)                                     \
    do {                                                                      \
        const BwLogField fields_[] = {__VA_ARGS__};                           \
        BwLog_Write(logger, level, event, fields_,                            \
                    sizeof(fields_) / sizeof(fields_[0]));                    \
    } while (0)

#endif
