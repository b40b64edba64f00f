/* nodestatus.c -- the state of a dispatcher or supervisor as JSON, for
   operators */

#include "nodestatus.h"

static json_int_t
age_ms(uint64_t event_us, uint64_t now_us)
{
    return now_us > event_us ? (json_int_t)((now_us - event_us) / 1000) : 0;
}

static json_int_t
remaining_ms(uint64_t end_us, uint64_t now_us)
{
    return end_us > now_us ? (json_int_t)((end_us - now_us) / 1000) : 0;
}

static json_t *
make_resources(const BwResources *resources)
{
    return json_pack("{s:I, s:I, s:I}", "cpu_milli",
                     (json_int_t)resources->cpu_milli, "mem_mb",
                     (json_int_t)resources->mem_mb, "gpu",
                     (json_int_t)resources->gpu);
}

/* --------------------------------------------------------- dispatcher */

static json_t *
make_view(const BwSupervisorView *view, uint64_t now_us)
{
    bool is_ejected = view->health.is_ejected;
    json_t *object = json_pack(
        "{s:s, s:s, s:s, s:s, s:b, s:b, s:b, s:b, s:b, s:o, s:o}",
        "supervisor", view->name, "instance", view->instance, "service",
        view->service, "domain", view->domain, "connected",
        (int)(view->peer != 0), "usable",
        (int)(view->peer != 0 && view->is_usable && !view->is_evacuated &&
              view->session_renewed_us != 0 && !is_ejected),
        "ejected", (int)is_ejected, "in_pool", (int)view->is_in_pool,
        "evacuated", (int)view->is_evacuated, "capacity",
        make_resources(&view->capacity), "free", make_resources(&view->free));
    json_t *rest = json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "queued",
        (json_int_t)view->queued, "release_ms",
        (json_int_t)(view->release_in_us / 1000), "in_flight",
        (json_int_t)view->in_flight_count, "pace_permille",
        (json_int_t)view->pace_permille, "slow_permille",
        (json_int_t)view->slow_permille, "failed_permille",
        (json_int_t)view->health.outcomes.failed_permille, "answered_ms",
        view->session_renewed_us != 0
            ? age_ms(view->session_renewed_us, now_us)
            : -1,
        "gone_in_ms", remaining_ms(view->gone_us, now_us));

    json_object_update(object, rest);
    json_decref(rest);
    return object;
}

static json_t *
list_confined(const BwDispatcher *dispatcher)
{
    json_t *routes = json_array();

    for (const BwConfinement *confinement = dispatcher->confinements;
         confinement != NULL; confinement = confinement->hh.next) {
        for (const BwRouteSuspicion *route = confinement->routes;
             route != NULL; route = route->hh.next) {
            if (route->is_confined)
                json_array_append_new(routes, json_string(route->route));
        }
    }
    return routes;
}

json_t *
BwNodeStatus_Dispatcher(const BwDispatcher *dispatcher, uint64_t now_us)
{
    json_t *views = json_array();
    json_int_t waiting = 0, running = 0;

    for (const BwBoundJob *job = dispatcher->jobs; job != NULL;
         job = job->hh.next) {
        waiting += !job->was_placed;
        running += job->was_placed;
    }
    for (const BwSupervisorView *view = dispatcher->views; view != NULL;
         view = view->hh.next)
        json_array_append_new(views, make_view(view, now_us));
    return json_pack("{s:I, s:I, s:o, s:o}", "jobs_waiting", waiting,
                     "jobs_running", running, "confined",
                     list_confined(dispatcher), "workers", views);
}

/* --------------------------------------------------------- supervisor */

static json_t *
make_worker(const BwSupervisor *s, uint64_t now_us)
{
    static const char *const phases[] = {"none", "clearing", "ready"};
    json_t *labels = json_array();

    for (uint32_t i = 0; i < s->label_count; i++)
        json_array_append_new(labels, json_string(s->labels[i]));
    return json_pack("{s:s, s:s, s:s, s:s, s:b, s:b, s:b, s:I, s:I, s:I, s:o}",
                     "phase", phases[s->phase], "instance", s->instance,
                     "service", s->service, "domain", s->domain, "usable",
                     (int)s->was_usable, "leaving", (int)s->is_worker_leaving,
                     "evacuated", (int)s->is_evacuated, "announced_ms",
                     s->heartbeat_us != 0 ? age_ms(s->heartbeat_us, now_us)
                                          : -1,
                     "lease_left_ms", remaining_ms(s->lease_end_us, now_us),
                     "fence", (json_int_t)s->fence, "labels", labels);
}

static json_t *
make_accounting(const BwSupervisor *s)
{
    return json_pack("{s:o, s:o, s:I, s:I, s:I, s:I}", "capacity",
                     make_resources(&s->capacity), "used",
                     make_resources(&s->used), "queued",
                     (json_int_t)s->queued_count, "queued_urgent",
                     (json_int_t)s->queued_urgent, "pace_permille",
                     (json_int_t)s->outcomes.pace_permille, "failed_permille",
                     (json_int_t)s->outcomes.failed_permille);
}

static json_t *
make_task_counts(const BwSupervisor *s)
{
    json_int_t counts[BW_WORKER_TASK_STOPPING + 1] = {0};

    for (const BwWorkerTask *task = s->tasks_by_key; task != NULL;
         task = task->hh.next)
        counts[task->state]++;
    return json_pack("{s:I, s:I, s:I, s:I, s:I}", "queued",
                     counts[BW_WORKER_TASK_QUEUED], "starting",
                     counts[BW_WORKER_TASK_STARTING], "running",
                     counts[BW_WORKER_TASK_RUNNING], "stopping",
                     counts[BW_WORKER_TASK_STOPPING], "orphans",
                     (json_int_t)s->tasks_without_peer);
}

json_t *
BwNodeStatus_Supervisor(const BwSupervisor *supervisor, uint64_t now_us)
{
    const BwSupervisorPeer *peer;
    json_t *peers = json_array();

    for (peer = supervisor->peers; peer != NULL; peer = peer->hh.next)
        json_array_append_new(
            peers, json_pack("{s:I, s:I, s:I}", "link", (json_int_t)peer->peer,
                             "session_left_ms",
                             remaining_ms(peer->valid_until_us, now_us),
                             "tasks", (json_int_t)peer->live_task_count));
    return json_pack("{s:o, s:o, s:o, s:o}", "worker",
                     make_worker(supervisor, now_us), "account",
                     make_accounting(supervisor), "tasks",
                     make_task_counts(supervisor), "peers", peers);
}
