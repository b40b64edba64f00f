/* experiment.c -- reads an experiment: fleet, traffic, faults, outcomes */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "experiment.h"
#include "labfleet.h"
#include "process.h"

#define TEXT(s, k, f, required, remedy_text)                                  \
    {                                                                         \
        .key = k, .type = BW_YAML_TEXT, .is_required = required,              \
        .offset = offsetof(s, f), .size_bytes = sizeof(((s *)0)->f),          \
        .minimum = 1, .remedy = remedy_text                                   \
    }
#define NUMBER(s, k, f, limit, remedy_text)                                   \
    {                                                                         \
        .key = k, .type = BW_YAML_U32, .offset = offsetof(s, f),              \
        .minimum = 0, .maximum = limit, .remedy = remedy_text                 \
    }
#define LIST(k, f, c, e, required, remedy_text)                               \
    {                                                                         \
        .key = k, .type = BW_YAML_LIST, .is_required = required,              \
        .offset = offsetof(BwExperiment, f),                                  \
        .count_offset = offsetof(BwExperiment, c), .element = &(e),           \
        .remedy = remedy_text                                                 \
    }
#define SCHEMA(s, title, f)                                                   \
    {                                                                         \
        .name = title, .size_bytes = sizeof(s),                               \
        .field_count = sizeof(f) / sizeof(f[0]), .fields = f                  \
    }

#define TIME_MS_MAX 600000

static const BwYamlField class_fields[] = {
    TEXT(BwLabClass, "name", name, true, "name the class"),
    NUMBER(BwLabClass, "priority", priority, 9, "0 is the highest priority"),
    NUMBER(BwLabClass, "target_ms", target_ms, TIME_MS_MAX,
           "give the target latency"),
    NUMBER(BwLabClass, "rate_per_s", rate_per_s, 2000,
           "give the jobs per second"),
    NUMBER(BwLabClass, "burst_jobs", burst_jobs, 500,
           "give the number of jobs in a burst"),
    NUMBER(BwLabClass, "burst_every_ms", burst_every_ms, TIME_MS_MAX,
           "give the time between bursts"),
    NUMBER(BwLabClass, "tasks", tasks, 1700,
           "give the number of tasks per job"),
    NUMBER(BwLabClass, "run_ms", run_ms, TIME_MS_MAX,
           "give a task's run time"),
    NUMBER(BwLabClass, "cpu", cpu, 1000000, "give a task's CPU share"),
    NUMBER(BwLabClass, "mem", mem, 1000000, "give a task's memory"),
    NUMBER(BwLabClass, "spread", spread, 1700,
           "give the maximum number of tasks of a job per worker"),
    NUMBER(BwLabClass, "clients", clients, 200, "give the number of callers"),
    NUMBER(BwLabClass, "deadline_ms", deadline_ms, TIME_MS_MAX,
           "give the deadline of a job"),
    NUMBER(BwLabClass, "give_up_permille", give_up_permille, 1000,
           "give how many of 1000 callers disconnect"),
    NUMBER(BwLabClass, "give_up_ms", give_up_ms, TIME_MS_MAX,
           "give when callers disconnect"),
    NUMBER(BwLabClass, "from_ms", from_ms, TIME_MS_MAX,
           "give when jobs start to arrive"),
    NUMBER(BwLabClass, "until_ms", until_ms, TIME_MS_MAX,
           "give when jobs stop arriving"),
    NUMBER(BwLabClass, "crash_permille", crash_permille, 1000,
           "give how many of 1000 jobs crash their worker"),
    NUMBER(BwLabClass, "resend_ms", resend_ms, TIME_MS_MAX,
           "give when callers without an answer send again"),
};
static const BwYamlSchema class_schema =
    SCHEMA(BwLabClass, "a class", class_fields);

static const char *const action_names[] = {
    [BW_LAB_KILL] = "kill",           [BW_LAB_FREEZE] = "freeze",
    [BW_LAB_THAW] = "thaw",           [BW_LAB_STOP] = "stop",
    [BW_LAB_START] = "start",         [BW_LAB_TELL] = "tell",
    [BW_LAB_CONFIGURE] = "configure", [BW_LAB_FORBID] = "forbid",
    [BW_LAB_RELOAD] = "reload",       [BW_LAB_UPGRADE] = "upgrade",
    [BW_LAB_DOWNGRADE] = "downgrade", [BW_LAB_DOWNGRADE + 1] = NULL,
};

const char *
BwLabAction_Name(BwLabAction action)
{
    return action_names[action];
}

bool
BwLabAction_IsPlannedStop(BwLabAction action)
{
    return action == BW_LAB_STOP || action == BW_LAB_UPGRADE ||
           action == BW_LAB_DOWNGRADE;
}

static const BwYamlField fault_fields[] = {
    NUMBER(BwLabFault, "at_ms", at_ms, TIME_MS_MAX, "give the time"),
    TEXT(BwLabFault, "target", target, true, "name KIND or KIND-N"),
    {.key = "do",
     .type = BW_YAML_CHOICE,
     .is_required = true,
     .offset = offsetof(BwLabFault, action),
     .choices = action_names,
     .remedy = "give the action on the target"},
    TEXT(BwLabFault, "text", text, false, "give JSON for the target"),
};
static const BwYamlSchema fault_schema =
    SCHEMA(BwLabFault, "a fault", fault_fields);

static const BwYamlField outcome_fields[] = {
    TEXT(BwLabOutcome, "expect", expect, true,
         "name a counter of `brasswing lab list`"),
    TEXT(BwLabOutcome, "class", job_class, false, "name a class"),
    NUMBER(BwLabOutcome, "worker", worker, 63, "give a worker's number"),
    NUMBER(BwLabOutcome, "at_least", at_least, UINT32_MAX, "give a count"),
    NUMBER(BwLabOutcome, "at_most", at_most, UINT32_MAX, "give a count"),
};
static const BwYamlSchema outcome_schema =
    SCHEMA(BwLabOutcome, "an outcome", outcome_fields);

static const BwYamlField fleet_fields[] = {
    NUMBER(BwLabFleet, "dispatchers", dispatchers, BW_FLEET_DISPATCHERS_MAX,
           "give 1 to 8"),
    NUMBER(BwLabFleet, "workers", workers, BW_FLEET_WORKERS_MAX,
           "give 1 to 64"),
    NUMBER(BwLabFleet, "cpu", cpu, 1000000, "give a worker's CPU"),
    NUMBER(BwLabFleet, "mem", mem, 1000000, "give a worker's memory"),
    NUMBER(BwLabFleet, "clock_permille", clock_permille, 2000,
           "give the rate of every second worker's clock"),
    NUMBER(BwLabFleet, "routes", routes, 1000,
           "give the number of unused routes to add"),
    TEXT(BwLabFleet, "production", production, false,
         "give the path of an earlier brasswingd"),
};
static const BwYamlSchema fleet_schema =
    SCHEMA(BwLabFleet, "the fleet", fleet_fields);

static const BwYamlField experiment_fields[] = {
    TEXT(BwExperiment, "name", name, true, "name the experiment"),
    TEXT(BwExperiment, "about", about, false, "describe it in one line"),
    NUMBER(BwExperiment, "seed", seed, UINT32_MAX, "give a number"),
    NUMBER(BwExperiment, "duration_ms", duration_ms, TIME_MS_MAX,
           "give how long jobs arrive"),
    NUMBER(BwExperiment, "settle_ms", settle_ms, TIME_MS_MAX,
           "give how long to wait after the last job"),
    {.key = "configured",
     .type = BW_YAML_BOOL,
     .offset = offsetof(BwExperiment, is_configured),
     .remedy = "give true or false"},
    TEXT(BwExperiment, "store", store, false, "give JSON for the store"),
    {.key = "fleet",
     .type = BW_YAML_STRUCT,
     .offset = offsetof(BwExperiment, fleet),
     .element = &fleet_schema,
     .remedy = "give the sizes of the fleet"},
    LIST("classes", classes, class_count, class_schema, true,
         "list the classes of jobs"),
    LIST("faults", faults, fault_count, fault_schema, false,
         "list actions with their targets and times"),
    LIST("outcomes", outcomes, outcome_count, outcome_schema, false,
         "list the expected counts"),
};
static const BwYamlSchema experiment_schema =
    SCHEMA(BwExperiment, "the experiment", experiment_fields);

static void
set_default(uint32_t *number, uint32_t value)
{
    if (*number == 0)
        *number = value;
}

static void
set_defaults(BwExperiment *experiment)
{
    set_default(&experiment->fleet.dispatchers, 2);
    set_default(&experiment->fleet.workers, 4);
    set_default(&experiment->fleet.cpu, 4000);
    set_default(&experiment->fleet.mem, 8000);
    set_default(&experiment->fleet.clock_permille, 980);
    for (uint32_t i = 0; i < experiment->class_count; i++) {
        BwLabClass *class_spec = &experiment->classes[i];

        set_default(&class_spec->target_ms, 20000);
        set_default(&class_spec->tasks, 1);
        set_default(&class_spec->run_ms, 20);
        set_default(&class_spec->cpu, 1000);
        set_default(&class_spec->mem, 500);
        set_default(&class_spec->clients, 8);
        set_default(&class_spec->deadline_ms, 10000);
        set_default(&class_spec->until_ms, experiment->duration_ms);
    }
    for (uint32_t i = 0; i < experiment->outcome_count; i++) {
        BwLabOutcome *outcome = &experiment->outcomes[i];

        if (outcome->at_least > 0)
            set_default(&outcome->at_most, UINT32_MAX);
    }
}

bool
BwExperiment_Load(BwExperiment *experiment, const char *path,
                  BwYamlFaults *faults)
{
    char *content = BwProcess_ReadFile(path);
    BwSpan text = {content, 0};

    memset(experiment, 0, sizeof(*experiment));
    experiment->seed = 1;
    experiment->duration_ms = 3000;
    experiment->settle_ms = 1500;
    experiment->is_configured = true;
    if (content == NULL) {
        BwYaml_AddFault(faults, path, 0,
                        "cannot be read; check the path and its permissions");
        return false;
    }
    text.size_bytes = (uint32_t)strlen(content);
    BwYaml_Read(path, text, &experiment_schema, experiment, faults);
    free(content);
    set_defaults(experiment);
    return faults->count == 0;
}

void
BwExperiment_Finish(BwExperiment *experiment)
{
    BwYaml_Free(&experiment_schema, experiment);
}

bool
BwLabTarget_Matches(const char *target, const char *kind, uint32_t number)
{
    size_t length = strlen(kind);

    if (strncmp(target, kind, length) != 0)
        return false;
    return target[length] == '\0' ||
           (target[length] == '-' &&
            strtoul(target + length + 1, NULL, 10) == number);
}
