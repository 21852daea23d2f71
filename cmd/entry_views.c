/* Handlers of GET /v1/jobs and GET /v1/jobs/KEY, which show the state of jobs. The log
   has the result of each ended job, but only the scheduler of its cell has the state of
   an open one. So an entry queries the schedulers of open jobs before it answers. */
#include "cmd/entry.h"

#include <string.h>

/* Time for schedulers to answer. One that takes longer is probably about to be
   replaced, and the state in the log is shown. */
#define SCHEDULER_REPLY_TIMEOUT_MS 500

/* A call whose answer waits for schedulers. */
struct cb_entry_listing
{
  uint64_t id;
  cb_http_req_t *req;
  Cb__JobList *list;
  gboolean single;                /* the answer is the only job, not a list */
  GHashTable *pending_schedulers; /* set of names; those that have not answered */
  cb_msec_t deadline_ms;
};

/* Returns the state of JOB: from the scheduler when JOB is open and this process
   schedules its cell, otherwise from the log. Freed with cb_msg_free. */
Cb__JobView *
cb_entry_job_view (const cb_entry_t *entry, const Cb__JobStateEntry *job)
{
  Cb__JobView *view = cb_msg_new (&cb__job_view__descriptor);
  cb_sched_job_status_t now;

  cb_msg_set_string (&view->key, job->job->key);
  cb_msg_set_string (&view->account, job->job->account);
  cb_msg_set_string (&view->kind, job->job->kind);
  view->state = job->state;
  view->reason = job->reason;
  view->attempt = job->attempt;
  view->submitted_ms = job->job->submitted_ms;
  view->run_ms = job->run_ms;
  view->members = job->job->members;
  view->accelerators = job->job->accelerators;
  if (entry->epoch == 0 || job->state >= CB__JOB_STATE__JOB_DONE ||
      cb_sched_job_status (entry->sched, job->job->account, job->job->key, &now) < 0)
    return view;
  view->state = now.state;
  view->attempt = now.attempt;
  view->reason = now.reason;
  return view;
}

static void
free_listing (cb_entry_listing_t *listing)
{
  cb_msg_free (listing->list);
  g_hash_table_unref (listing->pending_schedulers);
  g_free (listing);
}

static void
reply_listing (cb_entry_listing_t *listing)
{
  if (listing->single)
    cb_entry_reply (listing->req, 200, &listing->list->jobs[0]->base);
  else
    cb_entry_reply (listing->req, 200, &listing->list->base);
  free_listing (listing);
}

static gboolean
is_open (const Cb__JobView *view)
{
  return view->state < CB__JOB_STATE__JOB_DONE;
}

/* Returns the entry that schedules CELL; NULL when it is this one or none is known. */
static const char *
remote_scheduler (const cb_entry_t *entry, const char *cell)
{
  const char *holder = NULL;

  cb_ledger_epoch (entry->ledger, cell, &holder);
  if (holder == NULL || strcmp (holder, entry->settings->name) == 0)
    return NULL;
  return holder;
}

/* Sends the query of LISTING to SCHEDULER, once. SCHEDULER may be NULL. */
static void
query_scheduler (cb_entry_t *entry, cb_entry_listing_t *listing, const char *scheduler)
{
  const char *account = cb_http_query (listing->req, "account");
  Cb__Envelope *envelope;

  if (scheduler == NULL ||
      !g_hash_table_add (listing->pending_schedulers, g_strdup (scheduler)))
    return;
  envelope = cb_msg_new (&cb__envelope__descriptor);
  cb_msg_set_string (&envelope->to, scheduler);
  envelope->body_case = CB__ENVELOPE__BODY_JOBS_QUERY;
  envelope->jobs_query = cb_msg_new (&cb__jobs_query__descriptor);
  envelope->jobs_query->id = listing->id;
  if (account != NULL)
    cb_msg_set_string (&envelope->jobs_query->account, account);
  if (listing->single)
    cb_msg_set_string (&envelope->jobs_query->key, listing->list->jobs[0]->key);
  cb_entry_send (entry, envelope);
  cb_msg_free (envelope);
}

static void
add_view (cb_entry_t *entry, cb_entry_listing_t *listing, const Cb__JobStateEntry *job)
{
  Cb__JobView *view = cb_entry_job_view (entry, job);

  cb_msg_append ((void ***)&listing->list->jobs, &listing->list->n_jobs, view);
  if (is_open (view))
    query_scheduler (entry, listing, remote_scheduler (entry, job->job->cell));
}

static cb_entry_listing_t *
new_listing (cb_entry_t *entry, cb_http_req_t *req, gboolean single)
{
  cb_entry_listing_t *listing = g_new0 (cb_entry_listing_t, 1);

  listing->id = ++entry->last_id;
  listing->req = req;
  listing->list = cb_msg_new (&cb__job_list__descriptor);
  listing->single = single;
  listing->pending_schedulers =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  listing->deadline_ms = cb_entry_now (entry) + SCHEDULER_REPLY_TIMEOUT_MS;
  return listing;
}

/* Replies now, or once the schedulers that were queried have answered. */
static void
reply_or_wait (cb_entry_t *entry, cb_entry_listing_t *listing)
{
  if (g_hash_table_size (listing->pending_schedulers) == 0)
    reply_listing (listing);
  else
    g_queue_push_tail (&entry->listings, listing);
}

/* GET /v1/jobs/KEY?account=A */
void
cb_entry_get_job (cb_entry_t *entry, cb_http_req_t *req, const char *key)
{
  const Cb__JobStateEntry *job = cb_entry_find_job (entry, req, key);
  cb_entry_listing_t *listing;

  if (job == NULL)
    return;
  listing = new_listing (entry, req, TRUE);
  add_view (entry, listing, job);
  reply_or_wait (entry, listing);
}

typedef struct
{
  cb_entry_t *entry;
  cb_entry_listing_t *listing;
  const char *account; /* NULL: all */
} list_ctx_t;

static void
list_job (void *ctx, const Cb__JobStateEntry *job)
{
  list_ctx_t *c = ctx;

  if (c->account == NULL || strcmp (c->account, job->job->account) == 0)
    add_view (c->entry, c->listing, job);
}

/* GET /v1/jobs, optionally ?account=A */
void
cb_entry_list_jobs (cb_entry_t *entry, cb_http_req_t *req)
{
  list_ctx_t c = { entry, new_listing (entry, req, FALSE),
                   cb_http_query (req, "account") };

  cb_ledger_each_job (entry->ledger, list_job, &c);
  reply_or_wait (entry, c.listing);
}

typedef struct
{
  const cb_entry_t *entry;
  const Cb__JobsQuery *query;
  Cb__JobsFound *found;
} find_ctx_t;

static gboolean
matches_query (const Cb__JobsQuery *query, const Cb__Job *job)
{
  return (*query->account == '\0' || strcmp (query->account, job->account) == 0) &&
         (*query->key == '\0' || strcmp (query->key, job->key) == 0);
}

static void
find_job (void *ctx, const Cb__JobStateEntry *job)
{
  const find_ctx_t *q = ctx;

  if (job->state < CB__JOB_STATE__JOB_DONE &&
      strcmp (job->job->cell, q->entry->settings->cell) == 0 &&
      matches_query (q->query, job->job))
    cb_msg_append ((void ***)&q->found->jobs, &q->found->n_jobs,
                   cb_entry_job_view (q->entry, job));
}

/* Answers another entry's query with the open jobs of the cell that this process
   schedules. When it schedules none, it answers without jobs, so that the other entry
   does not wait for the timeout. */
void
cb_entry_on_jobs_query (cb_entry_t *entry, const Cb__Envelope *envelope)
{
  Cb__Envelope *answer = cb_msg_new (&cb__envelope__descriptor);
  find_ctx_t q = { entry, envelope->jobs_query,
                   cb_msg_new (&cb__jobs_found__descriptor) };

  q.found->id = q.query->id;
  if (entry->epoch > 0)
    cb_ledger_each_job (entry->ledger, find_job, &q);
  cb_msg_set_string (&answer->to, envelope->from);
  answer->body_case = CB__ENVELOPE__BODY_JOBS_FOUND;
  answer->jobs_found = q.found;
  cb_entry_send (entry, answer);
  cb_msg_free (answer);
}

static char *
view_id (const Cb__JobView *view)
{
  return cb_ledger_id (view->account, view->key);
}

/* Replaces the open jobs in LIST, which are from the log, by those in FOUND, which are
   from their scheduler. */
static void
merge_views (Cb__JobList *list, const Cb__JobsFound *found)
{
  GHashTable *by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (size_t i = 0; i < found->n_jobs; i++)
    g_hash_table_insert (by_id, view_id (found->jobs[i]), found->jobs[i]);
  for (size_t i = 0; i < list->n_jobs; i++)
    {
      char *id = view_id (list->jobs[i]);
      const Cb__JobView *newer = g_hash_table_lookup (by_id, id);

      g_free (id);
      if (newer == NULL || !is_open (list->jobs[i]))
        continue;
      cb_msg_free (list->jobs[i]);
      list->jobs[i] = (Cb__JobView *)cb_msg_copy (&newer->base);
    }
  g_hash_table_unref (by_id);
}

/* Merges a scheduler's answer into its listing, and replies to the caller after the
   last one. */
void
cb_entry_on_jobs_found (cb_entry_t *entry, const Cb__Envelope *envelope)
{
  for (GList *l = entry->listings.head; l != NULL; l = l->next)
    {
      cb_entry_listing_t *listing = l->data;

      if (listing->id != envelope->jobs_found->id ||
          !g_hash_table_remove (listing->pending_schedulers, envelope->from))
        continue;
      merge_views (listing->list, envelope->jobs_found);
      if (g_hash_table_size (listing->pending_schedulers) > 0)
        return;
      g_queue_delete_link (&entry->listings, l);
      reply_listing (listing);
      return;
    }
}

/* Replies to callers for whom a scheduler has not answered in time. The jobs of such
   schedulers are shown with their state in the log. */
void
cb_entry_listings_tick (cb_entry_t *entry, cb_msec_t now_ms)
{
  cb_entry_listing_t *listing;

  while ((listing = g_queue_peek_head (&entry->listings)) != NULL &&
         now_ms >= listing->deadline_ms)
    {
      g_queue_pop_head (&entry->listings);
      cb_counters_add (entry->counters, "views_late_total", NULL, 1);
      reply_listing (listing);
    }
}

void
cb_entry_listings_free (cb_entry_t *entry)
{
  cb_entry_listing_t *listing;

  while ((listing = g_queue_pop_head (&entry->listings)) != NULL)
    free_listing (listing);
}
