/* counters.h -- metrics in the Prometheus text format */

#ifndef BW_COUNTERS_H
#define BW_COUNTERS_H

#include <stdint.h>

typedef enum BwCounterKind { BW_COUNTER, BW_GAUGE } BwCounterKind;

typedef struct BwCounter {
    const char *name;
    const char *help;
    BwCounterKind kind;
    uint64_t value;
} BwCounter;

/* Appends a counter or gauge to `counters` unless all `capacity` entries are
   in use.  Returns the new count.  The strings are not copied. */
uint32_t
BwCounters_Add(BwCounter *counters, uint32_t count, uint32_t capacity,
               const char *name, const char *help, BwCounterKind kind,
               uint64_t value);

/* Returns the metrics as text, which the caller frees, or NULL when memory is
   short. */
char *
BwCounters_Write(const BwCounter *counters, uint32_t count);

/* Returns the user and system CPU time of this process in microseconds. */
uint64_t
BwCounters_CpuUs(void);

/* Returns the resident memory of this process in bytes, or 0 when it cannot
   be read. */
uint64_t
BwCounters_ResidentBytes(void);

#endif
