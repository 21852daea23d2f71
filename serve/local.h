/* Types and functions that the files of serve/ share. */
#ifndef CB_SERVE_LOCAL_H
#define CB_SERVE_LOCAL_H

#include "serve/fns.h"

/* Estimated memory of a retained key besides its body, which counts towards
   CB_SERVE_RETENTION_BYTES. */
#define KEY_OVERHEAD_BYTES 512

/* An entry that waits for the answer of a key, with the numbers of its request. A claim
   is a log record by which an entry obtains the right to send a request that must not
   run twice. An attempt is one dispatch of a request by an entry; a copy that is sent
   again after a change of the path has the same attempt number. */
typedef struct
{
  char *entry;
  uint64_t claim;   /* log offset of the claim record; 0: none */
  uint64_t attempt; /* repeated in the answer */
} cb_serve_waiter_t;

/* The latest claim of a key for which a lookup was answered with `not found`. A request
   under this claim or an older one that arrives later is refused, because the entry may
   have recorded that it did not run. */
typedef struct
{
  char *id; /* of the account and key, see cb_serve_key_id */
  uint64_t claim;
  cb_msec_t since_ms; /* time of the last such lookup */
  GList *link;        /* in fence_order */
} cb_serve_fence_t;

/* A key whose request is running, or is retained after its end. */
typedef struct
{
  char *id; /* of its account and key, see cb_serve_key_id */
  char *account;
  char *key;
  char *kind;
  uint64_t body_hash;
  uint64_t claim;
  uint64_t tag; /* of its action "run", see serve/dat.h */
  gboolean not_repeatable;
  gboolean ran_before; /* an earlier, failed attempt may have run */
  gboolean running;
  GPtrArray *waiters; /* of cb_serve_waiter_t, one for each entry */
  Cb__Answer *answer; /* NULL while running */
  cb_msec_t retained_since_ms;
} cb_serve_key_t;

struct cb_serve
{
  char *instance;
  Cb__EndpointInfo *info; /* NULL before the first announcement */
  cb_msec_t announced_at_ms;
  gboolean draining;
  GHashTable *keys;    /* id -> cb_serve_key_t, owned */
  GHashTable *running; /* tag -> cb_serve_key_t */
  GQueue retained;     /* of cb_serve_key_t that have ended, oldest first */
  GHashTable *fences;  /* id -> cb_serve_fence_t, owned */
  GQueue fence_order;  /* of cb_serve_fence_t, oldest first */
  size_t retained_bytes;
  uint64_t next_tag;
  cb_outq_t out;
};

/* endpoint.c */
Cb__Reason cb_serve_unavailable_reason (const cb_serve_t *serve, const char *kind,
                                        cb_msec_t now_ms);

/* keys.c */
char *cb_serve_key_id (const char *account, const char *key);
cb_serve_key_t *cb_serve_find_key (const cb_serve_t *serve, const char *account,
                                   const char *key);
cb_serve_key_t *cb_serve_add_key (cb_serve_t *serve, const Cb__Request *request);
void cb_serve_retain_key (cb_serve_t *serve, cb_serve_key_t *key, cb_msec_t now_ms);
void cb_serve_remove_key (cb_serve_t *serve, cb_serve_key_t *key);
void cb_serve_remove_retained_key (cb_serve_t *serve, cb_serve_key_t *key);
gboolean cb_serve_must_retain (const cb_serve_key_t *key);
void cb_serve_expire_keys (cb_serve_t *serve, cb_msec_t now_ms);
void cb_serve_key_free (cb_serve_key_t *key);
uint64_t cb_serve_hash (const void *data, size_t size);

/* fence.c */
gboolean cb_serve_add_fence (cb_serve_t *serve, const Cb__RequestLookup *lookup,
                             cb_msec_t now_ms);
gboolean cb_serve_is_fenced (const cb_serve_t *serve, const Cb__Request *request);
void cb_serve_expire_fences (cb_serve_t *serve, cb_msec_t now_ms);
void cb_serve_fence_free (gpointer fence);

/* answer.c */
Cb__Answer *cb_serve_answer_new (const char *account, const char *key, Cb__Ran ran,
                                 Cb__Reason reason);
void cb_serve_send_answer (cb_serve_t *serve, const cb_serve_waiter_t *to,
                           const Cb__Answer *answer);
void cb_serve_refuse (cb_serve_t *serve, const char *to, const Cb__Request *request,
                      Cb__Ran ran, Cb__Reason reason);
void cb_serve_finish_key (cb_serve_t *serve, cb_serve_key_t *key, Cb__Answer *answer,
                          gboolean retain, cb_msec_t now_ms);

#endif
