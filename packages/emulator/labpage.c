/* labpage.c -- writes reports as one HTML page with plots

   The page refers to no other file, so it can be read without a network.
   Plots are inline SVG in fixed units: series over time with the faults
   marked, and a latency histogram for each class.
*/

#include <stdio.h>
#include <string.h>

#include "labreport.h"

#define PLOT_WIDTH 860
#define PLOT_HEIGHT 180
#define PLOT_LEFT 44
#define PLOT_BOTTOM 22
#define BAR_WIDTH 56
#define BAR_PLOT_HEIGHT 120

static const char head[] =
    "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
    "<title>brasswing lab</title>\n<style>\n"
    "body{font:15px/1.45 system-ui,sans-serif;color:#1c2430;background:#fff;"
    "max-width:1040px;margin:24px auto;padding:0 16px}\n"
    "h1{font-size:22px}h2{font-size:18px;border-top:1px solid #ccd3dc;"
    "padding-top:18px;margin-top:32px}h3{font-size:15px;margin:16px 0 4px}\n"
    "table{border-collapse:collapse;margin:6px 0}td,th{padding:3px 7px;"
    "text-align:right;border-bottom:1px solid #e4e8ee}"
    "td:first-child,th:first-child{text-align:left}\n"
    ".bad{color:#a4161a;font-weight:600}.good{color:#1b6e3c}\n"
    "svg{display:block;max-width:100%;height:auto}"
    "svg text{font:11px system-ui,sans-serif;fill:#55606e}\n"
    ".key span{display:inline-block;margin-right:16px}"
    ".key i{display:inline-block;width:14px;height:3px;margin-right:5px;"
    "vertical-align:middle}\n"
    "</style></head><body>\n<h1>Experiments</h1>\n";

static const struct {
    const char *name;
    const char *label;
    const char *colour;
} lines[] = {{"sent", "jobs sent", "#8a94a3"},
             {"completed", "completed", "#1b6e3c"},
             {"not_completed", "not completed", "#a4161a"},
             {"running", "tasks running", "#2457a7"}};

#define LINE_COUNT (sizeof(lines) / sizeof(lines[0]))

static void
put_escaped(FILE *out, const char *text)
{
    for (; *text != '\0'; text++) {
        if (*text == '<')
            fputs("&lt;", out);
        else if (*text == '&')
            fputs("&amp;", out);
        else
            fputc(*text, out);
    }
}

/* --------------------------------------------------------------- plots */

static json_int_t
find_maximum(const json_t *series)
{
    json_int_t maximum = 1;

    for (size_t line = 0; line < LINE_COUNT; line++) {
        const json_t *list = json_object_get(series, lines[line].name);
        size_t i;
        json_t *value;

        json_array_foreach(list, i, value)
        {
            if (json_integer_value(value) > maximum)
                maximum = json_integer_value(value);
        }
    }
    return maximum;
}

static void
put_grid(FILE *out, json_int_t maximum, double seconds)
{
    int step = seconds > 12 ? 2 : 1;

    for (int i = 0; i <= 4; i++) {
        double y = PLOT_HEIGHT - PLOT_HEIGHT * i / 4.0 + 8;

        fprintf(out,
                "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
                "stroke=\"#e4e8ee\"/><text x=\"%d\" y=\"%.1f\" "
                "text-anchor=\"end\">%.3g</text>\n",
                PLOT_LEFT, PLOT_LEFT + PLOT_WIDTH, y, y, PLOT_LEFT - 6, y + 4,
                (double)maximum * i / 4);
    }
    for (int i = 0; i <= (int)seconds; i += step)
        fprintf(out,
                "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%d s"
                "</text>\n",
                PLOT_LEFT + PLOT_WIDTH * i / seconds,
                PLOT_HEIGHT + PLOT_BOTTOM, i);
}

static void
put_fault_marks(FILE *out, const json_t *faults, double seconds)
{
    size_t i;
    json_t *fault;

    json_array_foreach(faults, i, fault)
    {
        double x = PLOT_LEFT +
                   PLOT_WIDTH *
                       ((double)BwLabReport_Integer(fault, "at_ms") / 1000) /
                       seconds;

        fprintf(out,
                "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"8\" y2=\"%d\" "
                "stroke=\"#c77700\" stroke-dasharray=\"3 3\"><title>",
                x, x, PLOT_HEIGHT + 8);
        put_escaped(out, BwLabReport_Text(fault, "do"));
        fputc(' ', out);
        put_escaped(out, BwLabReport_Text(fault, "target"));
        fprintf(out,
                "</title></line><text x=\"%.1f\" y=\"%d\" "
                "style=\"fill:#c77700\">%zu</text>\n",
                x + 2, 16 + 11 * (int)(i % 3), i + 1);
    }
}

static void
put_series(FILE *out, const json_t *report)
{
    const json_t *series = json_object_get(report, "series");
    const json_t *first = json_object_get(series, lines[0].name);
    size_t count = json_array_size(first);
    double seconds =
        (double)count * (double)BwLabReport_Integer(series, "step_ms") / 1000;
    json_int_t maximum = find_maximum(series);

    if (count == 0)
        return;
    fprintf(out, "<svg viewBox=\"0 0 %d %d\" role=\"img\">\n",
            PLOT_LEFT + PLOT_WIDTH + 10, PLOT_HEIGHT + PLOT_BOTTOM + 8);
    put_grid(out, maximum, seconds);
    for (size_t line = 0; line < LINE_COUNT; line++) {
        size_t i;
        json_t *value;

        fprintf(out,
                "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" "
                "points=\"",
                lines[line].colour);
        json_array_foreach(json_object_get(series, lines[line].name), i, value)
        {
            fprintf(out, "%.1f,%.1f ",
                    PLOT_LEFT + PLOT_WIDTH * (double)i / (double)count,
                    PLOT_HEIGHT + 8 -
                        PLOT_HEIGHT * (double)json_integer_value(value) /
                            (double)maximum);
        }
        fprintf(out, "\"/>\n");
    }
    put_fault_marks(out, json_object_get(report, "faults"), seconds);
    fprintf(out, "</svg>\n<p class=\"key\">each %lld ms: ",
            BwLabReport_Integer(series, "step_ms"));
    for (size_t line = 0; line < LINE_COUNT; line++)
        fprintf(out, "<span><i style=\"background:%s\"></i>%s</span>",
                lines[line].colour, lines[line].label);
    fprintf(out, "</p>\n");
}

static void
put_histogram(FILE *out, const json_t *item)
{
    const json_t *histogram = json_object_get(item, "histogram");
    json_int_t maximum = 1;
    size_t i;
    json_t *bar;

    json_array_foreach(histogram, i, bar)
    {
        json_int_t count = json_integer_value(json_array_get(bar, 1));

        maximum = count > maximum ? count : maximum;
    }
    fprintf(out, "<svg viewBox=\"0 0 %zu %d\" role=\"img\">\n",
            BAR_WIDTH * json_array_size(histogram) + 20, BAR_PLOT_HEIGHT + 36);
    json_array_foreach(histogram, i, bar)
    {
        json_int_t bound = json_integer_value(json_array_get(bar, 0));
        json_int_t count = json_integer_value(json_array_get(bar, 1));
        double height = BAR_PLOT_HEIGHT * (double)count / (double)maximum;
        double x = 10 + BAR_WIDTH * (double)i;

        fprintf(out,
                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%d\" height=\"%.1f\" "
                "fill=\"#2457a7\"/><text x=\"%.1f\" y=\"%.1f\" "
                "text-anchor=\"middle\">%lld</text>"
                "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">",
                x, 16 + BAR_PLOT_HEIGHT - height, BAR_WIDTH - 6, height,
                x + BAR_WIDTH / 2.0 - 3, 12 + BAR_PLOT_HEIGHT - height, count,
                x + BAR_WIDTH / 2.0 - 3, BAR_PLOT_HEIGHT + 30);
        if (bound > 0)
            fprintf(out, "&lt; %lld</text>\n", bound);
        else
            fprintf(out, "longer</text>\n");
    }
    fprintf(out, "</svg>\n");
}

/* -------------------------------------------------------------- tables */

static void
put_classes(FILE *out, const json_t *report)
{
    static const char *const ends[] = {"completed", "refused",   "failed",
                                       "timed_out", "not_found", "unanswered",
                                       "gave_up"};
    static const char *const figures[] = {"p50_ms", "p95_ms", "p99_ms",
                                          "max_ms"};
    size_t i;
    json_t *item;

    fprintf(out, "<table><tr><th>class</th>");
    for (size_t j = 0; j < sizeof(ends) / sizeof(ends[0]); j++)
        fprintf(out, "<th>%s</th>", ends[j]);
    for (size_t j = 0; j < sizeof(figures) / sizeof(figures[0]); j++)
        fprintf(out, "<th>%s</th>", figures[j]);
    fprintf(out, "</tr>\n");
    json_array_foreach(json_object_get(report, "classes"), i, item)
    {
        fprintf(out, "<tr><td>");
        put_escaped(out, BwLabReport_Text(item, "class"));
        fprintf(out, "</td>");
        for (size_t j = 0; j < sizeof(ends) / sizeof(ends[0]); j++)
            fprintf(
                out, "<td>%lld</td>",
                BwLabReport_Integer(json_object_get(item, "ends"), ends[j]));
        for (size_t j = 0; j < sizeof(figures) / sizeof(figures[0]); j++)
            fprintf(out, "<td>%.0f</td>",
                    json_real_value(json_object_get(item, figures[j])));
        fprintf(out, "</tr>\n");
    }
    fprintf(out, "</table>\n");
    json_array_foreach(json_object_get(report, "classes"), i, item)
    {
        fprintf(out, "<h3>Completed jobs of ");
        put_escaped(out, BwLabReport_Text(item, "class"));
        fprintf(out, " by latency, ms</h3>\n");
        put_histogram(out, item);
    }
}

static void
put_outcomes(FILE *out, const json_t *report)
{
    size_t i;
    json_t *item;

    fprintf(out, "<h3>Outcomes</h3><table><tr><th>expected</th><th>class</th>"
                 "<th>at least</th><th>at most</th><th>seen</th><th></th>"
                 "</tr>\n");
    json_array_foreach(json_object_get(report, "outcomes"), i, item)
    {
        bool is_met = json_is_true(json_object_get(item, "met"));

        fprintf(out, "<tr><td>%s%s</td><td>", BwLabReport_Text(item, "expect"),
                json_is_true(json_object_get(item, "rule")) ? " (rule)" : "");
        put_escaped(out, BwLabReport_Text(item, "class"));
        fprintf(out, "</td><td>%lld</td><td>",
                BwLabReport_Integer(item, "at_least"));
        if (BwLabReport_Integer(item, "at_most") >= 0)
            fprintf(out, "%lld", BwLabReport_Integer(item, "at_most"));
        fprintf(out, "</td><td>%lld</td><td class=\"%s\">%s</td></tr>\n",
                BwLabReport_Integer(item, "seen"), is_met ? "good" : "bad",
                is_met ? "met" : "violated");
    }
    fprintf(out, "</table>\n");
}

static void
put_faults_and_reasons(FILE *out, const json_t *report)
{
    const json_t *not_completed = json_object_get(report, "not_completed");
    size_t i;
    const char *key;
    json_t *item;

    if (json_array_size(json_object_get(report, "faults")) > 0)
        fprintf(out, "<h3>Faults</h3><table>\n");
    json_array_foreach(json_object_get(report, "faults"), i, item)
    {
        fprintf(out, "<tr><td>%zu</td><td>%lld ms</td><td>", i + 1,
                BwLabReport_Integer(item, "at_ms"));
        put_escaped(out, BwLabReport_Text(item, "do"));
        fprintf(out, "</td><td>");
        put_escaped(out, BwLabReport_Text(item, "target"));
        fprintf(out, "</td><td>");
        put_escaped(out, BwLabReport_Text(item, "text"));
        fprintf(out, "</td></tr>\n");
    }
    if (json_array_size(json_object_get(report, "faults")) > 0)
        fprintf(out, "</table>\n");
    if (json_object_size(not_completed) > 0)
        fprintf(out, "<h3>Jobs not completed, by reason</h3><table>\n");
    json_object_foreach((json_t *)not_completed, key, item)
    {
        fprintf(out, "<tr><td>");
        put_escaped(out, key);
        fprintf(out, "</td><td>%lld</td></tr>\n", json_integer_value(item));
    }
    if (json_object_size(not_completed) > 0)
        fprintf(out, "</table>\n");
}

static void
put_report(FILE *out, const json_t *report)
{
    uint32_t violated;
    uint32_t outcomes = BwLabReport_CountOutcomes(report, &violated);

    fprintf(out, "<h2>");
    put_escaped(out, BwLabReport_Text(report, "experiment"));
    fprintf(out, "</h2>\n<p>");
    put_escaped(out, BwLabReport_Text(report, "about"));
    fprintf(out,
            "</p>\n<p>%lld jobs, %lld runs, seed %lld; <span class=\"%s\">"
            "%u of %u outcomes violated</span></p>\n",
            BwLabReport_Integer(report, "jobs"),
            BwLabReport_Integer(report, "runs"),
            BwLabReport_Integer(report, "seed"), violated > 0 ? "bad" : "good",
            violated, outcomes);
    put_series(out, report);
    put_classes(out, report);
    put_faults_and_reasons(out, report);
    put_outcomes(out, report);
}

bool
BwLabPage_Write(const json_t *reports, const char *path)
{
    FILE *out = fopen(path, "w");
    size_t i;
    json_t *report;

    if (out == NULL)
        return false;
    fputs(head, out);
    json_array_foreach(reports, i, report)
    {
        put_report(out, report);
    }
    fputs("</body></html>\n", out);
    return fclose(out) == 0;
}
