/* lossescmd.c -- the command losses

   Counts the lines of all logs (losses.h) and prints a table of each window
   with losses, their reasons, and the events meanwhile.
*/

#include <stdio.h>

#include "cli.h"
#include "configlog.h"
#include "losses.h"

#define EVENTS_SHOWN 12 /* of one window */

static const char *const loss_names[] = {"late", "refused", "failed",
                                         "timed_out", "withdrawn"};

#define LOSS_COUNT (sizeof(loss_names) / sizeof(loss_names[0]))

static const char *
text_of(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text != NULL ? text : "";
}

static uint64_t
count_losses(const json_t *counts)
{
    uint64_t sum = 0;

    for (size_t i = 0; i < LOSS_COUNT; i++)
        sum += BwRecord_Number(counts, loss_names[i]);
    return sum;
}

static void
print_counts(const char *name, const json_t *counts)
{
    printf("  %-24s %7llu %7llu", name[0] != '\0' ? name : "(no route)",
           (unsigned long long)BwRecord_Number(counts, "jobs"),
           (unsigned long long)BwRecord_Number(counts, "in_time"));
    for (size_t i = 0; i < LOSS_COUNT; i++)
        printf(" %9llu",
               (unsigned long long)BwRecord_Number(counts, loss_names[i]));
    printf("\n");
}

static void
print_reason(const json_t *reason)
{
    printf("    %llu %s %s: %s",
           (unsigned long long)BwRecord_Number(reason, "count"),
           text_of(reason, "route"), text_of(reason, "how"),
           text_of(reason, "reason"));
    if (json_object_get(reason, "free_permille") != NULL)
        printf("; %llu permille free, reports %llu ms old",
               (unsigned long long)BwRecord_Number(reason, "free_permille"),
               (unsigned long long)BwRecord_Number(reason, "report_ms"));
    printf("\n");
}

static void
print_window(const json_t *window, json_t *totals)
{
    const json_t *events = json_object_get(window, "events");
    const char *name;
    json_t *value;
    size_t i;

    printf("%s\n", text_of(window, "from"));
    json_object_foreach(json_object_get(window, "routes"), name, value)
    {
        const char *key;
        json_t *count;
        json_t *total = json_object_get(totals, name);

        if (total == NULL) {
            total = json_object();
            json_object_set_new(totals, name, total);
        }
        json_object_foreach(value, key, count) json_object_set_new(
            total, key,
            json_integer((json_int_t)BwRecord_Number(total, key) +
                         json_integer_value(count)));
        if (count_losses(value) > 0)
            print_counts(name, value);
    }
    json_array_foreach(json_object_get(window, "reasons"), i, value)
        print_reason(value);
    json_array_foreach(events, i, value)
    {
        if (i == EVENTS_SHOWN) {
            printf("    and %zu more events\n", json_array_size(events) - i);
            break;
        }
        printf("    %s\n", json_string_value(value));
    }
}

static void
print_windows(const json_t *windows)
{
    json_t *totals = json_object();
    const char *name;
    json_t *value;
    size_t i;

    printf("  %-24s %7s %7s", "ROUTE", "JOBS", "IN_TIME");
    for (i = 0; i < LOSS_COUNT; i++)
        printf(" %9s", loss_names[i]);
    printf("\n");
    json_array_foreach(windows, i, value) print_window(value, totals);
    printf("all windows\n");
    json_object_foreach(totals, name, value) print_counts(name, value);
    json_decref(totals);
}

BwExit
BwCli_Losses(const BwCliOptions *options)
{
    BwLosses losses;
    BwExit code = BW_EXIT_OK;
    json_t *windows;

    if (options->log_count == 0) {
        fprintf(stderr, "brasswing: give the logs of the dispatchers with "
                        "--logs FILE\n");
        return BW_EXIT_USAGE;
    }
    BwLosses_Init(&losses, options->window_us);
    for (uint32_t i = 0; i < options->log_count && code == BW_EXIT_OK; i++) {
        if (!BwLosses_AddFile(&losses, options->logs[i])) {
            fprintf(stderr, "brasswing: %s cannot be read; check the path\n",
                    options->logs[i]);
            code = BW_EXIT_USAGE;
        }
    }
    windows = BwLosses_Windows(&losses);
    if (code == BW_EXIT_OK && BwCli_IsJson(options))
        BwCli_PrintJson(json_pack("{s:O}", "windows", windows));
    else if (code == BW_EXIT_OK)
        print_windows(windows);
    json_decref(windows);
    BwLosses_Finish(&losses);
    return code;
}
