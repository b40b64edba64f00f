/* labreport.h -- the report of an experiment

   A report is a JSON object; the printed text, the HTML page and the
   comparison are made from it.  Latencies are exact quantiles over completed
   jobs; the histogram has fixed bounds, so that two reports can be compared.
   lab.c makes and prints reports; labpage.c writes the HTML page.
*/

#ifndef BW_LABREPORT_H
#define BW_LABREPORT_H

#include <stdio.h>

#include "labcounters.h"

/* Returns the report; the caller must json_decref() it. */
json_t *
BwLabReport_Make(const BwLabRunner *runner, const BwLabResults *results);

/* Prints the report as text. */
void
BwLabReport_Print(const json_t *report, FILE *out);

/* Prints the values of two reports side by side. */
void
BwLabReport_Compare(const json_t *a, const json_t *b, FILE *out);

/* Returns the number of outcomes, and in *violated how many were not met. */
uint32_t
BwLabReport_CountOutcomes(const json_t *report, uint32_t *violated);

/* Read a field of a report.  Return 0 or "" when it is absent or of another
   type. */
json_int_t
BwLabReport_Integer(const json_t *object, const char *field);

const char *
BwLabReport_Text(const json_t *object, const char *field);

/* Writes the reports as one HTML page that refers to no other file.  Returns
   false with errno set on failure. */
bool
BwLabPage_Write(const json_t *reports, const char *path);

#endif
