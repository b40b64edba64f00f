/* main.c -- brasswing, the command line for operators and callers

   Parses the options and runs one command.  `brasswing lab` is passed on to
   packages/emulator.
*/

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "lab.h"

#define DEFAULT_TIMEOUT_US 30000000
#define DEFAULT_WINDOW_US 2000000
#define DEFAULT_TLS_NAME "localhost"

static const BwCommand commands[] = {
    {"check", "FILE",
     "report faults and warnings of a configuration (--against, --strict)", 1,
     BwCli_Check},
    {"publish", "FILE", "publish a configuration (--log, --base, --entry)", 1,
     BwCli_Publish},
    {"show", "", "print the configuration in force (--log)", 0, BwCli_Show},
    {"history", "", "list the publications that the log holds (--log)", 0,
     BwCli_History},
    {"diff", "REV1 REV2", "compare two revisions (--log)", 2, BwCli_Diff},
    {"rollback", "REV", "publish an old configuration again (--log, --entry)",
     1, BwCli_Rollback},
    {"status", "", "show every process (--entry)", 0, BwCli_Status},
    {"explain", "KEY",
     "list the decisions about a job (--entry, --member; --logs)", 1,
     BwCli_Explain},
    {"losses", "", "list when and why jobs were served badly (--logs)", 0,
     BwCli_Losses},
    {"drain", "AGENT", "drain an agent, given by name or HOST:PORT (--entry)",
     1, BwCli_Drain},
    {"submit", "FILE", "submit a job and wait for it (--entry)", 1,
     BwCli_Submit},
    {"cancel", "KEY", "cancel a job (--entry, --member)", 1, BwCli_Cancel},
    {"replay", "TRACE", "replay a trace against a fleet (--entry, --fleet)", 1,
     BwCli_Replay},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void
print_usage(FILE *out)
{
    fprintf(out, "usage: brasswing [options] COMMAND [operand]\n\n");
    for (size_t i = 0; i < COMMAND_COUNT; i++)
        fprintf(out, "  %-8s %-9s  %s\n", commands[i].name,
                commands[i].operands, commands[i].help);
    fprintf(
        out,
        "  lab                 experiments with real processes; see "
        "`brasswing lab`\n\n"
        "  -e, --entry HOST:PORT  a brasswingd process (replay: "
        "several)\n"
        "  -f, --fleet FILE       processes of the replayed fleet\n"
        "  -l, --log HOST:PORT    the platform's log\n"
        "  -L, --logs FILE        log of a process, for explain and "
        "losses (several)\n"
        "  -S, --stream NAME      stream of the log (brasswing)\n"
        "  -m, --member NAME      member that owns the job\n"
        "  -b, --base REVISION    revision that is replaced\n"
        "  -i, --publish-id ID    settle a publication of unknown "
        "outcome\n"
        "  -A, --author NAME      who publishes ($USER)\n"
        "  -g, --against WHAT     check: a file, a revision or `running`, "
        "to compare with\n"
        "  -s, --strict           check: exit with 1 for warnings\n"
        "  -o, --output FORMAT    text or json\n"
        "  -t, --timeout SECONDS  how long to wait (30)\n"
        "  -w, --window SECONDS   length of a window of losses (2)\n"
        "  -a, --authority FILE   PEM certificate of the authority; uses TLS\n"
        "  -n, --tls-name NAME    name in the entry's certificate "
        "(localhost)\n"
        "  -T, --token TOKEN      bearer token "
        "($BRASSWING_TOKEN)\n"
        "  -V, --version          print the version\n"
        "  -h, --help             print this text\n\n"
        "exit codes: 0 done, 1 answered with an error, 2 wrong "
        "usage,\n"
        "            3 invalid input, 4 no answer, 5 another "
        "publication came first,\n"
        "            6 accepted but not yet in force everywhere, "
        "7 outcome unknown\n");
}

static const BwCommand *
find_command(const char *name)
{
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        if (strcmp(commands[i].name, name) == 0)
            return &commands[i];
    }
    return NULL;
}

static BwExit
run(BwCliOptions *options, char **operands, int count)
{
    const BwCommand *command = count > 0 ? find_command(operands[0]) : NULL;

    if (command == NULL || count - 1 != command->operand_count) {
        print_usage(stderr);
        return BW_EXIT_USAGE;
    }
    if (strcmp(options->output, "text") != 0 &&
        strcmp(options->output, "json") != 0) {
        fprintf(stderr, "brasswing: --output is text or json\n");
        return BW_EXIT_USAGE;
    }
    options->argc = count - 1;
    options->argv = operands + 1;
    return command->run(options);
}

static const struct option long_options[] = {
    {"entry", required_argument, NULL, 'e'},
    {"fleet", required_argument, NULL, 'f'},
    {"log", required_argument, NULL, 'l'},
    {"logs", required_argument, NULL, 'L'},
    {"stream", required_argument, NULL, 'S'},
    {"member", required_argument, NULL, 'm'},
    {"base", required_argument, NULL, 'b'},
    {"publish-id", required_argument, NULL, 'i'},
    {"author", required_argument, NULL, 'A'},
    {"authority", required_argument, NULL, 'a'},
    {"tls-name", required_argument, NULL, 'n'},
    {"token", required_argument, NULL, 'T'},
    {"output", required_argument, NULL, 'o'},
    {"timeout", required_argument, NULL, 't'},
    {"window", required_argument, NULL, 'w'},
    {"against", required_argument, NULL, 'g'},
    {"strict", no_argument, NULL, 's'},
    {"version", no_argument, NULL, 'V'},
    {"help", no_argument, NULL, 'h'},
    {NULL, 0, NULL, 0},
};

/* Returns the field that takes the value of a plain string option, or NULL. */
static const char **
find_option_value(BwCliOptions *options, int option)
{
    switch (option) {
    case 'f':
        return &options->fleet;
    case 'l':
        return &options->log;
    case 'S':
        return &options->stream;
    case 'm':
        return &options->member;
    case 'b':
        return &options->base;
    case 'i':
        return &options->publish_id;
    case 'A':
        return &options->author;
    case 'a':
        return &options->authority;
    case 'n':
        return &options->tls_name;
    case 'g':
        return &options->against;
    case 'T':
        return &options->token;
    case 'o':
        return &options->output;
    default:
        return NULL;
    }
}

int
main(int argc, char **argv)
{
    BwCliOptions options = {0};
    int option;

    if (argc > 1 && strcmp(argv[1], "lab") == 0)
        return BwLab_Main(argc - 2, argv + 2);
    options.stream = "brasswing";
    options.output = "text";
    options.tls_name = DEFAULT_TLS_NAME;
    options.token = getenv("BRASSWING_TOKEN");
    options.author = getenv("USER") != NULL ? getenv("USER") : "unknown";
    options.timeout_us = DEFAULT_TIMEOUT_US;
    options.window_us = DEFAULT_WINDOW_US;
    while ((option =
                getopt_long(argc, argv, "e:f:l:L:S:m:b:i:A:a:n:T:o:t:w:g:sVh",
                            long_options, NULL)) != -1) {
        const char **value = find_option_value(&options, option);

        if (value != NULL) {
            *value = optarg;
            continue;
        }
        switch (option) {
        case 'e':
            options.entry = optarg;
            if (options.entry_count < BW_CLI_ENTRIES_MAX)
                options.entries[options.entry_count++] = optarg;
            break;
        case 'L':
            if (options.log_count < BW_CLI_LOGS_MAX)
                options.logs[options.log_count++] = optarg;
            break;
        case 't':
            options.timeout_us = strtoull(optarg, NULL, 10) * 1000000;
            break;
        case 'w':
            options.window_us = strtoull(optarg, NULL, 10) * 1000000;
            break;
        case 's':
            options.is_strict = true;
            break;
        case 'V':
            printf("brasswing %s\n", BW_BUILD);
            return BW_EXIT_OK;
        case 'h':
            print_usage(stdout);
            return BW_EXIT_OK;
        default:
            print_usage(stderr);
            return BW_EXIT_USAGE;
        }
    }
    return run(&options, argv + optind, argc - optind);
}
