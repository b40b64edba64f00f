/* labreport.h -- the report of a played experiment

   A report is a JSON object; text, page and comparison are made from it.
   Latencies are exact quantiles of completed jobs; the histogram has fixed
   bounds, so that two reports can be set side by side.
*/

#ifndef BW_LABREPORT_H
#define BW_LABREPORT_H

#include <stdio.h>

#include "rules.h"

/* Returns the report; json_decref it. */
json_t *
BwLabReport_Make(const BwPlayer *player, const BwLabFacts *facts);

void
BwLabReport_Print(const json_t *report, FILE *out);

/* Two reports side by side. */
void
BwLabReport_Compare(const json_t *a, const json_t *b, FILE *out);

/* Counts outcomes; *violated of them did not hold. */
uint32_t
BwLabReport_CountOutcomes(const json_t *report, uint32_t *violated);

/* Read a report's values; an absent or wrong one is 0 or "". */
json_int_t
BwLabReport_Integer(const json_t *object, const char *field);

const char *
BwLabReport_Text(const json_t *object, const char *field);

/* A page of reports that needs no network.  Returns false with errno set. */
bool
BwLabPage_Write(const json_t *reports, const char *path);

#endif
