/* singlerequest.h -- one request to a service, as a job of one task

   POST /v1/requests/SERVICE[/PATH] carries a raw body.  Headers:

     brasswing-member       required
     brasswing-team         optional
     brasswing-class        optional
     brasswing-deadline-us  required, microseconds of the Unix epoch
     brasswing-submitted-us optional; when the key was first submitted, in
                            microseconds of the Unix epoch
     brasswing-idempotent   true or false; false when absent
     idempotency-key        optional submission key; without one the entry
                            generates a key, and the caller cannot request
                            the answer again

   The answer is the status and body of the backend server.  The entry calls
   this module.
*/

#ifndef BW_SINGLEREQUEST_H
#define BW_SINGLEREQUEST_H

#include "httpserver.h"
#include "jobjson.h"

#define BW_REQUESTS_PATH "/v1/requests/"

/* Returns whether the path is that of a single request. */
bool
BwSingleRequest_IsPath(BwSpan path);

/* Reads the request as a job of one task.  `random_key` is the submission key
   when the caller gave none.  The spans of the submission point into the
   exchange, `random_key` and constants, and are valid as long as these.
   Returns BW_OK; BW_ERR_BAD_REQUEST, with the reason in request->fault; or
   BW_ERR_NO_MEMORY.  In every case the caller finishes the request. */
BwErrorKind
BwSingleRequest_Read(BwJobRequest *request, const BwExchange *exchange,
                     const char *random_key);

#endif
