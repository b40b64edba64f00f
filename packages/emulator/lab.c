/* lab.c -- brasswing lab: experiments with real processes on loopback */

#include <errno.h>
#include <ftw.h>
#include <getopt.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "emulator.h"
#include "lab.h"
#include "labreport.h"

#define EXIT_MET 0
#define EXIT_VIOLATED 1
#define EXIT_USAGE 2
#define EXIT_INVALID 3
#define EXIT_NOT_STARTED 4
#define OPEN_DIRECTORIES 8

typedef struct Options {
    bool is_json, keeps_files;
    const char *html;
    char daemon[PATH_MAX];
    char lab[PATH_MAX];
} Options;

typedef struct Totals {
    json_t *reports;
    uint32_t outcomes, violated;
} Totals;

static void
print_usage(FILE *out)
{
    fprintf(out, "usage: brasswing lab run [--json] [--html FILE] "
                 "[--daemon PATH] [--keep] FILE...\n"
                 "       brasswing lab compare REPORT REPORT\n"
                 "       brasswing lab list\n");
}

/* ----------------------------------------------------------------- run */

static int
remove_entry(const char *path, const struct stat *status, int kind,
             struct FTW *walk_state)
{
    (void)status;
    (void)kind;
    (void)walk_state;
    remove(path);
    return 0;
}

static void
remove_files(const Options *options, const char *dir)
{
    if (options->keeps_files)
        fprintf(stderr, "lab: files are in %s\n", dir);
    else
        nftw(dir, remove_entry, OPEN_DIRECTORIES, FTW_DEPTH | FTW_PHYS);
}

static bool
check_outcomes(const char *path, const BwExperiment *experiment)
{
    bool is_valid = true;

    for (uint32_t i = 0; i < experiment->outcome_count; i++) {
        const char *expect = experiment->outcomes[i].expect;

        if (BwLabCounter_Find(expect) != NULL)
            continue;
        fprintf(stderr,
                "%s: an outcome expects '%s', which is not a counter; see "
                "`brasswing lab list`\n",
                path, expect);
        is_valid = false;
    }
    return is_valid;
}

static int
run_experiment(const Options *options, const BwExperiment *experiment,
               Totals *totals)
{
    char dir[] = "/tmp/brasswing-lab-XXXXXX";
    FILE *progress = isatty(STDERR_FILENO) ? stderr : NULL;
    BwLabRunner runner;
    BwLabResults results = {0};
    json_t *report;
    uint32_t violated;
    int code = EXIT_NOT_STARTED;

    if (mkdtemp(dir) == NULL) {
        perror("brasswing: lab");
        return EXIT_NOT_STARTED;
    }
    if (!BwLabRunner_Run(&runner, experiment, options->daemon, options->lab,
                         dir, progress) ||
        !BwLabResults_Init(&results, &runner)) {
        fprintf(stderr, "brasswing: %s: %s\n", experiment->name, runner.fault);
        goto finish;
    }
    report = BwLabReport_Make(&runner, &results);
    totals->outcomes += BwLabReport_CountOutcomes(report, &violated);
    totals->violated += violated;
    if (!options->is_json)
        BwLabReport_Print(report, stdout);
    fflush(stdout);
    json_array_append_new(totals->reports, report);
    code = violated > 0 ? EXIT_VIOLATED : EXIT_MET;
finish:
    BwLabResults_Finish(&results);
    BwLabRunner_Finish(&runner);
    remove_files(options, dir);
    return code;
}

static int
run_file(const Options *options, const char *path, Totals *totals)
{
    BwYamlFaults faults = {0};
    BwExperiment experiment;
    int code = EXIT_INVALID;

    if (!BwExperiment_Load(&experiment, path, &faults)) {
        for (uint32_t i = 0; i < faults.count && i < BW_YAML_FAULTS_MAX; i++)
            fprintf(stderr, "%s\n", faults.lines[i]);
    }
    else if (check_outcomes(path, &experiment))
        code = run_experiment(options, &experiment, totals);
    BwExperiment_Finish(&experiment);
    return code;
}

static void
print_json(const json_t *reports)
{
    const json_t *value =
        json_array_size(reports) == 1 ? json_array_get(reports, 0) : reports;
    char *text = json_dumps(value, JSON_COMPACT);

    printf("%s\n", text != NULL ? text : "");
    free(text);
}

/* Looks for brasswingd beside this program, as installed, and then in the
   build tree. */
static void
find_daemon(Options *options)
{
    static const char *const candidates[] = {"brasswingd",
                                             "../daemon/brasswingd"};
    char *slash = strrchr(options->lab, '/');
    int length = slash != NULL ? (int)(slash - options->lab) : 0;

    for (size_t i = 0; i < sizeof(candidates) / sizeof(candidates[0]); i++) {
        snprintf(options->daemon, sizeof(options->daemon), "%.*s/%s", length,
                 options->lab, candidates[i]);
        if (access(options->daemon, X_OK) == 0)
            return;
    }
}

static bool
read_options(int argc, char **argv, Options *options)
{
    static const struct option names[] = {
        {"json", no_argument, NULL, 'j'},
        {"html", required_argument, NULL, 'h'},
        {"daemon", required_argument, NULL, 'd'},
        {"keep", no_argument, NULL, 'k'},
        {NULL, 0, NULL, 0},
    };
    ssize_t length =
        readlink("/proc/self/exe", options->lab, sizeof(options->lab) - 1);
    int option;

    options->lab[length > 0 ? length : 0] = '\0';
    find_daemon(options);
    while ((option = getopt_long(argc, argv, "", names, NULL)) != -1) {
        if (option == 'j')
            options->is_json = true;
        else if (option == 'h')
            options->html = optarg;
        else if (option == 'd')
            snprintf(options->daemon, sizeof(options->daemon), "%s", optarg);
        else if (option == 'k')
            options->keeps_files = true;
        else
            return false;
    }
    return optind < argc;
}

static int
run(int argc, char **argv)
{
    Options options = {0};
    Totals totals = {json_array(), 0, 0};
    int code = EXIT_MET;

    if (!read_options(argc, argv, &options)) {
        print_usage(stderr);
        json_decref(totals.reports);
        return EXIT_USAGE;
    }
    for (int i = optind; i < argc; i++) {
        int file_code = run_file(&options, argv[i], &totals);

        code = file_code > code ? file_code : code;
    }
    if (options.is_json)
        print_json(totals.reports);
    if (options.html != NULL && !BwLabPage_Write(totals.reports, options.html))
        fprintf(stderr, "brasswing: %s: %s\n", options.html, strerror(errno));
    fprintf(options.is_json ? stderr : stdout,
            "lab: %zu experiments, %u outcomes, %u violated\n",
            json_array_size(totals.reports), totals.outcomes, totals.violated);
    json_decref(totals.reports);
    return code;
}

/* ------------------------------------------------------- other commands */

static int
compare(int argc, char **argv)
{
    json_error_t where;
    json_t *reports[2] = {NULL, NULL};
    int code = EXIT_USAGE;

    if (argc != 3) {
        print_usage(stderr);
        return code;
    }
    for (int i = 0; i < 2; i++) {
        reports[i] = json_load_file(argv[1 + i], 0, &where);
        if (!json_is_string(json_object_get(reports[i], "experiment"))) {
            fprintf(
                stderr,
                "brasswing: %s is not a report of one experiment; make one "
                "with `brasswing lab run --json FILE`\n",
                argv[1 + i]);
            goto finish;
        }
    }
    BwLabReport_Compare(reports[0], reports[1], stdout);
    code = EXIT_MET;
finish:
    json_decref(reports[0]);
    json_decref(reports[1]);
    return code;
}

static int
list(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    for (const BwLabCounter *counter = BwLabCounters(); counter->name != NULL;
         counter++)
        printf("%-22s %s%s\n", counter->name, counter->meaning,
               counter->is_rule ? " (rule: always 0)" : "");
    return EXIT_MET;
}

/* The emulated processes take their operands without their own name. */
static int
run_store(int argc, char **argv)
{
    return BwEmulator_RunStore(argc - 1, argv + 1);
}

static int
run_worker(int argc, char **argv)
{
    return BwEmulator_RunWorker(argc - 1, argv + 1);
}

static int
run_ingress(int argc, char **argv)
{
    return BwEmulator_RunIngress(argc - 1, argv + 1);
}

int
BwLab_Main(int argc, char **argv)
{
    static const struct {
        const char *name;
        int (*run)(int argc, char **argv);
    } commands[] = {{"run", run},           {"compare", compare},
                    {"list", list},         {"store", run_store},
                    {"worker", run_worker}, {"ingress", run_ingress}};

    for (size_t i = 0; argc > 0 && i < sizeof(commands) / sizeof(commands[0]);
         i++) {
        if (strcmp(argv[0], commands[i].name) == 0)
            return commands[i].run(argc, argv);
    }
    print_usage(stderr);
    return EXIT_USAGE;
}
