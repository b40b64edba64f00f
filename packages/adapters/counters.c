/* counters.c -- metrics in the Prometheus text format */

#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

#include "counters.h"

#define METRIC_BYTES_MAX 320 /* HELP, TYPE and value lines of one metric */

uint32_t
BwCounters_Add(BwCounter *counters, uint32_t count, uint32_t capacity,
               const char *name, const char *help, BwCounterKind kind,
               uint64_t value)
{
    if (count == capacity)
        return count;
    counters[count].name = name;
    counters[count].help = help;
    counters[count].kind = kind;
    counters[count].value = value;
    return count + 1;
}

char *
BwCounters_Write(const BwCounter *counters, uint32_t count)
{
    size_t capacity = (size_t)count * METRIC_BYTES_MAX + 1;
    char *text = malloc(capacity);
    size_t used = 0;

    if (text == NULL)
        return NULL;
    text[0] = '\0';
    for (uint32_t i = 0; i < count; i++)
        used += (size_t)snprintf(
            text + used, capacity - used,
            "# HELP %s %s\n# TYPE %s %s\n%s %llu\n", counters[i].name,
            counters[i].help, counters[i].name,
            counters[i].kind == BW_GAUGE ? "gauge" : "counter",
            counters[i].name, (unsigned long long)counters[i].value);
    return text;
}

uint64_t
BwCounters_CpuUs(void)
{
    struct rusage usage;

    getrusage(RUSAGE_SELF, &usage);
    return (uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
               1000000 +
           (uint64_t)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

uint64_t
BwCounters_ResidentBytes(void)
{
    FILE *file = fopen("/proc/self/statm", "r");
    unsigned long total = 0;
    unsigned long resident = 0;

    if (file == NULL)
        return 0;
    if (fscanf(file, "%lu %lu", &total, &resident) != 2)
        resident = 0;
    fclose(file);
    return (uint64_t)resident * (uint64_t)sysconf(_SC_PAGESIZE);
}
