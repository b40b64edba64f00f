/* counters.h -- counters in the Prometheus text format */

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

/* Appends a counter unless the list is full; returns the new count. */
uint32_t
BwCounters_Add(BwCounter *counters, uint32_t count, uint32_t room,
               const char *name, const char *help, BwCounterKind kind,
               uint64_t value);

/* Writes the text; free() it.  Returns NULL when memory is short. */
char *
BwCounters_Write(const BwCounter *counters, uint32_t count);

/* Processor time of this process, in microseconds. */
uint64_t
BwCounters_CpuUs(void);

/* Resident memory of this process, in bytes. */
uint64_t
BwCounters_ResidentBytes(void);

#endif
