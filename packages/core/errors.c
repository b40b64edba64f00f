/* errors.c -- the table of error kinds

   One table holds the name, HTTP status, certainty and remedy of each error,
   so that the HTTP interface, the command line and the log agree.  Its order
   is that of BwErrorKind.
*/

#include "brasswing.h"

static const BwErrorInfo error_table[BW_ERR_COUNT] = {
    {"ok", 200, BW_MAY_HAVE_RUN, ""},
    {"bad_request", 400, BW_NOT_RUN,
     "correct the request and submit it again"},
    {"too_large", 413, BW_NOT_RUN, "split the job and submit the parts"},
    {"unknown_service", 404, BW_NOT_RUN,
     "name a service of the operators' configuration, see `brasswing show`"},
    {"unknown_job", 404, BW_NOT_RUN,
     "submit the job; it is not known under this key"},
    {"deadline_passed", 422, BW_NOT_RUN,
     "submit with a deadline in the future, under a new key"},
    {"key_reused", 409, BW_NOT_RUN,
     "submit a different job under a key of its own"},
    {"not_owner", 503, BW_NOT_RUN, "submit again; another agent has the key"},
    {"overloaded", 429, BW_NOT_RUN, "submit again after the stated time"},
    {"no_backend", 503, BW_NOT_RUN,
     "submit again once a backend server of the service has announced itself"},
    {"cannot_run", 422, BW_NOT_RUN,
     "reduce the job, or ask the operator to raise the limit"},
    {"leaving", 503, BW_NOT_RUN, "submit again; another host takes over"},
    {"no_memory", 503, BW_NOT_RUN, "submit again after the stated time"},
    {"cancelled", 410, BW_NOT_RUN, "submit under a new key to run it"},
    {"cancelled_running", 410, BW_MAY_HAVE_RUN,
     "check what the tasks did before submitting under a new key"},
    {"timed_out", 504, BW_NOT_RUN,
     "submit under a new key with a later deadline"},
    {"timed_out_running", 504, BW_MAY_HAVE_RUN,
     "check what the tasks did before submitting under a new key"},
    {"task_failed", 502, BW_MAY_HAVE_RUN,
     "look at the detail; the backend server failed a task"},
    {"executor_lost", 502, BW_MAY_HAVE_RUN,
     "check what the tasks did before submitting under a new key"},
    {"home_lost", 503, BW_MAY_HAVE_RUN,
     "submit again under the same key; it attaches to the running job"},
    {"unsupported_type", 415, BW_NOT_RUN, "send the body as application/json"},
    {"unauthenticated", 401, BW_NOT_RUN,
     "send `authorization: Bearer TOKEN` with a token of the member"},
    {"forbidden", 403, BW_NOT_RUN,
     "use a token of the member that the request names"},
    {"no_such_path", 404, BW_NOT_RUN,
     "correct the path or method, see docs/CALLING.md"},
    {"backend_lost", 502, BW_MAY_HAVE_RUN,
     "check what the tasks did, and whether one of them ended its backend "
     "server"},
};

static const BwErrorInfo unknown_error = {
    "unknown_error", 502, BW_MAY_HAVE_RUN,
    "upgrade this process; a newer peer reported an error it cannot name"};

const BwErrorInfo *
BwError_Describe(uint32_t kind)
{
    return kind < BW_ERR_COUNT ? &error_table[kind] : &unknown_error;
}
