/* log.h -- structured logger

   Each event is one line of keys and values:

     2026-01-02T03:04:05.678901Z info agent-1 place key="k" count=3

   or, as JSON, the same fields after "at", "level", "name" and "event":

     {"at":"2026-01-02T03:04:05.678901Z","level":"info","name":"agent-1",
      "event":"place","key":"k","count":3}

   In the first format, a value is quoted if it is empty or contains a space,
   equals sign, quote, backslash, tab, carriage return or newline.  In quotes,
   a backslash escapes a quote or backslash, and a control character is
   written as \xNN.
   Each line is one write to the file descriptor, so lines of several threads
   do not mix; a line that cannot be written is lost.
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
    const char *name; /* name of this process */
} BwLogger;

/* One key and value of a line.  The value is `text`, or `number` when `text`
   is NULL. */
typedef struct BwLogField {
    const char *key;
    const char *text;
    uint64_t number;
} BwLogField;

#define BW_LOG_TEXT(key, value) ((BwLogField){key, value, 0})
#define BW_LOG_NUMBER(key, value) ((BwLogField){key, NULL, (uint64_t)(value)})

/* Writes a line with `count` fields, unless `level` is less severe than the
   logger's.  A key=value line is truncated at 2048 bytes, a JSON line is not.
   In JSON, text that is not valid UTF-8 has each byte above 127 replaced by a
   question mark. */
void
BwLog_Write(const BwLogger *logger, BwLogLevel level, const char *event,
            const BwLogField *fields, uint32_t count);

/* Writes an event; the arguments after it are its fields. */
#define BW_LOG(logger, level, event, ...)                                     \
    do {                                                                      \
        const BwLogField fields_[] = {__VA_ARGS__};                           \
        BwLog_Write(logger, level, event, fields_,                            \
                    sizeof(fields_) / sizeof(fields_[0]));                    \
    } while (0)

#endif
