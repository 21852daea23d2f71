/* Shared by the files of route/ only. */
#ifndef CB_ROUTE_LOCAL_H
#define CB_ROUTE_LOCAL_H

#include "route/fns.h"

/* Finished requests are retained for this long, and with at most this many bytes of
   bodies, so that late and repeated callers get the answer. */
#define CB_ANSWER_RETENTION_MS 600000
#define CB_ANSWER_RETENTION_BYTES ((size_t)64 << 20)
/* A request that was sent waits for a late answer, and holds its slot, for this long
   past its deadline. */
#define CB_LATE_ANSWER_MS 600000
/* Timeout of a lookup for a caller. */
#define CB_LOOKUP_TIMEOUT_MS 1000
/* Timeout of a lookup that resolves a claim, and the interval at which its messages are
   sent again. */
#define CB_RESOLVE_TIMEOUT_MS 15000
#define CB_RESOLVE_RESEND_MS 1000
/* Delay after the start before open claims are resolved, so that the agents have
   connected. */
#define CB_RESOLVE_START_DELAY_MS 5000
/* Largest answer in bytes that a log record contains; a larger one is left out. */
#define CB_RECORD_ANSWER_MAX_BYTES 200000

typedef enum
{
  CB_REQ_CLAIMING,  /* the claim has not been applied yet */
  CB_REQ_FOLLOWING, /* waits for the end of a claim that this request does not own */
  CB_REQ_QUEUED,
  CB_REQ_BACKOFF, /* waits before a retry */
  CB_REQ_SENT,
  CB_REQ_MAINFRAME,
  CB_REQ_DONE,
} cb_req_state_t;

typedef enum
{
  CB_HEALTH_NONE, /* no result, or a failure that the request had elsewhere too */
  CB_HEALTH_GOOD,
  CB_HEALTH_FAILED,
} cb_health_t;

/* An agent and its endpoint. */
typedef struct
{
  char *agent;
  uint64_t incarnation;
  uint64_t since_offset; /* next log offset when this incarnation was first seen */
  char *home_entry;      /* last entry through which it was reached; NULL: not known */
  gboolean home_lost;    /* not reached through any entry at present */
  gboolean up;
  gboolean draining;
  Cb__EndpointInfo *info;                /* the latest one received; NULL: none */
  GHashTable *kinds_served;              /* set of the kinds of all those received */
  uint32_t in_flight;                    /* requests in state CB_REQ_SENT */
  cb_health_t results[CB_HEALTH_WINDOW]; /* ring buffer */
  uint64_t result_serials[CB_HEALTH_WINDOW]; /* of the request of each result */
  uint32_t next_result;                      /* index in `results` */
  cb_msec_t suspended_until_ms;
  cb_msec_t next_suspension_ms; /* duration */
} cb_endpoint_t;

/* A request that has not ended, or one that has and is retained for its answer. */
typedef struct
{
  GList *link;     /* in `requests` or `finished` of cb_route_t */
  uint64_t serial; /* unique in this process; tag of the claim append and the action */
  char *id;        /* of its account and key, see cb_ledger_id */
  Cb__Request *request;
  uint64_t body_hash;
  cb_req_state_t state;
  GArray *callers; /* of uint64_t, the ids of the callers that wait for a reply */
  cb_msec_t deadline_ms;
  gboolean needs_claim;
  uint64_t claim_expires_ms; /* distinguishes its claim from one before a restart */
  gboolean to_mainframe;     /* its kind has a mainframe block that is not signed off */
  gboolean may_have_run; /* an earlier attempt or a second copy of this one may run */
  gboolean abandoned;    /* refused while its claim may still take effect */
  gboolean fenced;       /* an agent refuses its claim: a retry needs a new one */
  uint64_t claim;        /* offset of the claim record; 0: none */
  uint64_t attempt;      /* number of the current attempt */
  uint32_t retries;
  cb_msec_t retry_at_ms;
  cb_endpoint_t *endpoint;        /* of the latest attempt; NULL: not sent yet */
  cb_endpoint_t *failed_endpoint; /* of the latest failure that counts for health */
  gboolean failed_at_two;         /* failed at two endpoints, so neither is to blame */
  Cb__Answer *answer;
  cb_msec_t done_ms;
} cb_req_t;

/* The requests of one kind that wait for a free slot. */
typedef struct
{
  GQueue waiting;               /* of cb_req_t */
  cb_msec_t answer_interval_ms; /* mean time between answers, smoothed; 0: not known */
  cb_msec_t last_answer_ms;     /* time of the last answer; 0: none */
} cb_kind_queue_t;

/* A lookup of a key at other processes: either for a caller, or to resolve a claim,
   that is to find out whether its request ran. */
typedef struct
{
  uint64_t id;
  gboolean resolves_claim;
  uint64_t caller_id; /* of a lookup for a caller */
  char *account;
  char *key;
  uint64_t claim;
  uint64_t attempt;       /* of the request that cb_resolve_sent asks about; 0: none */
  GHashTable *unanswered; /* set of names of processes without a conclusive reply */
  gboolean all_up_since_claim; /* FALSE: an agent may have no record of the claim */
  gboolean seen_running;       /* a reply stated that the request is running */
  cb_msec_t resend_at_ms;
  cb_msec_t expires_at_ms;
  cb_msec_t max_expires_at_ms; /* limit of the extensions while the request runs */
} cb_lookup_t;

struct cb_route
{
  char *entry;
  GRand *rand;
  const cb_ledger_t *ledger;
  cb_fleet_t *fleet;
  cb_outq_t out;
  gboolean draining;
  gboolean log_unavailable;
  cb_msec_t log_unavailable_since_ms; /* only valid while log_unavailable */
  GPtrArray *endpoints;  /* of cb_endpoint_t, owned, in the order of first report */
  GHashTable *by_agent;  /* name of the agent -> cb_endpoint_t */
  GHashTable *by_id;     /* id of a cb_req_t -> cb_req_t */
  GHashTable *by_serial; /* serial of a cb_req_t -> cb_req_t */
  GQueue requests;       /* of cb_req_t without an outcome, in order of arrival */
  GQueue finished;       /* of cb_req_t with an outcome, oldest first */
  GHashTable *queues;    /* kind -> cb_kind_queue_t, owned */
  GPtrArray *kinds; /* of the keys of `queues`, in the order of their first request */
  GQueue lookups;   /* of cb_lookup_t */
  GHashTable *pending_ends; /* tag -> Cb__RequestEnd whose append has no result yet */
  GTree *peers;             /* names of the other entries that are up */
  GHashTable *down_entries; /* set of names of the other entries that are down */
  uint64_t serial;          /* last number given to a request, attempt, lookup or end */
  uint32_t budget_permille; /* retry budget; a retry costs 1000 */
  size_t answer_bytes;      /* size of the bodies of `finished` */
  cb_msec_t wall_offset_ms; /* time of day minus now_ms */
  cb_msec_t now_ms;
  cb_msec_t first_tick_ms;
  gboolean open_claims_scanned; /* the scan after the start was done */
};

/* route.c */
cb_req_t *cb_req_find (const cb_route_t *route, const char *account, const char *key);
void cb_req_set_state (cb_route_t *route, cb_req_t *req, cb_req_state_t state);
void cb_req_remove (cb_route_t *route, cb_req_t *req);
void cb_req_add_caller (cb_req_t *req, uint64_t id);
gboolean cb_req_repeatable (const cb_req_t *req);

/* path.c */
GPtrArray *cb_sent_requests (const cb_route_t *route, const cb_endpoint_t *endpoint);

/* endpoint.c */
cb_endpoint_t *cb_endpoint_get_or_add (cb_route_t *route, const char *agent);
cb_endpoint_t *cb_endpoint_pick (cb_route_t *route, const cb_req_t *req, cb_msec_t now);
gboolean cb_endpoint_serves (const cb_endpoint_t *endpoint, const char *kind);
gboolean cb_endpoint_has_served (const cb_endpoint_t *endpoint, const char *kind);
Cb__Reason cb_endpoint_unavailable_reason (const cb_route_t *route, const char *kind,
                                           cb_msec_t now);
void cb_endpoint_record_result (cb_endpoint_t *endpoint, cb_req_t *req, gboolean good,
                                cb_msec_t now);

/* queue.c */
void cb_queue_add (cb_route_t *route, cb_req_t *req, cb_msec_t now);
void cb_queue_remove (cb_route_t *route, cb_req_t *req);
void cb_queue_dispatch (cb_route_t *route, cb_msec_t now);
void cb_queue_resend (cb_route_t *route, cb_req_t *req, const char *why, cb_msec_t now);
void cb_queue_record_answer (cb_route_t *route, const char *kind, cb_msec_t now);
uint32_t cb_queue_retry_after (cb_route_t *route, const char *kind);
gboolean cb_queue_is_full (cb_route_t *route, const Cb__KindRule *kind);

/* answer.c */
void cb_reply_to_caller (cb_route_t *route, uint64_t id, const Cb__Answer *answer);
void cb_refuse_caller (cb_route_t *route, uint64_t id, const char *account,
                       const char *key, Cb__Reason reason, Cb__Ran ran,
                       uint32_t retry_after_ms);
void cb_req_reply_all (cb_route_t *route, cb_req_t *req, const Cb__Answer *answer);
void cb_req_finish (cb_route_t *route, cb_req_t *req, const Cb__Answer *answer,
                    cb_msec_t now);
void cb_req_refuse (cb_route_t *route, cb_req_t *req, Cb__Reason reason, Cb__Ran ran,
                    cb_msec_t now);
void cb_req_retry_or_fail (cb_route_t *route, cb_req_t *req, const Cb__Answer *answer,
                           cb_msec_t now);
Cb__Answer *cb_answer_from_end (const Cb__RequestEnd *end);

/* claim.c */
void cb_claim_append (cb_route_t *route, cb_req_t *req, cb_msec_t now);
void cb_claim_renew (cb_route_t *route, cb_req_t *req, cb_msec_t now);
void cb_claim_append_end (cb_route_t *route, const char *account, const char *key,
                          uint64_t claim, const Cb__Answer *answer);

/* lookup.c */
void cb_lookup_receive (cb_route_t *route, const Cb__Envelope *envelope, cb_msec_t now);
void cb_lookup_tick (cb_route_t *route, cb_msec_t now);
void cb_lookup_free (void *lookup);
void cb_resolve_claim (cb_route_t *route, const Cb__RequestState *state, cb_msec_t now);
void cb_resolve_sent (cb_route_t *route, cb_req_t *req, cb_msec_t now);
void cb_resolve_open_claims (cb_route_t *route, cb_msec_t now);

#endif
