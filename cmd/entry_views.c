/* Views of jobs. The log says how a job ended; how an open one stands, only the
   scheduler of its cell knows, which an entry asks before it answers. */
#include "cmd/entry.h"

#include <string.h>

/* A scheduler that has not answered by then is about to be replaced; the view is that
   of the log. */
#define VIEW_WAIT_MS 500

struct cb_entry_views
{
  uint64_t id;
  cb_http_req_t *req;
  Cb__JobList *list;
  gboolean single;   /* answers with the only job in place of a list */
  GHashTable *asked; /* scheduler -> itself, until it has answered */
  cb_msec_t until_ms;
};

/* What this process knows of JOB: the log, and for an open job of the cell that it
   schedules also what the scheduler knows. Freed with cb_msg_free. */
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
free_views (cb_entry_views_t *views)
{
  cb_msg_free (views->list);
  g_hash_table_unref (views->asked);
  g_free (views);
}

static void
reply (cb_entry_views_t *views)
{
  if (views->single)
    cb_entry_reply (views->req, 200, &views->list->jobs[0]->base);
  else
    cb_entry_reply (views->req, 200, &views->list->base);
  free_views (views);
}

static gboolean
is_open (const Cb__JobView *view)
{
  return view->state < CB__JOB_STATE__JOB_DONE;
}

/* Returns the scheduler to ask about an open job of CELL, NULL for none and for this
   process. */
static const char *
other_scheduler (const cb_entry_t *entry, const char *cell)
{
  const char *holder = NULL;

  cb_ledger_epoch (entry->ledger, cell, &holder);
  if (holder == NULL || strcmp (holder, entry->settings->name) == 0)
    return NULL;
  return holder;
}

static void
ask (cb_entry_t *entry, cb_entry_views_t *views, const char *scheduler)
{
  const char *account = cb_http_query (views->req, "account");
  Cb__Envelope *envelope;

  if (scheduler == NULL || !g_hash_table_add (views->asked, g_strdup (scheduler)))
    return;
  envelope = cb_msg_new (&cb__envelope__descriptor);
  cb_msg_set_string (&envelope->to, scheduler);
  envelope->body_case = CB__ENVELOPE__BODY_JOBS_QUERY;
  envelope->jobs_query = cb_msg_new (&cb__jobs_query__descriptor);
  envelope->jobs_query->id = views->id;
  if (account != NULL)
    cb_msg_set_string (&envelope->jobs_query->account, account);
  if (views->single)
    cb_msg_set_string (&envelope->jobs_query->key, views->list->jobs[0]->key);
  cb_entry_send (entry, envelope);
  cb_msg_free (envelope);
}

static void
add_view (cb_entry_t *entry, cb_entry_views_t *views, const Cb__JobStateEntry *job)
{
  Cb__JobView *view = cb_entry_job_view (entry, job);

  cb_msg_append ((void ***)&views->list->jobs, &views->list->n_jobs, view);
  if (is_open (view))
    ask (entry, views, other_scheduler (entry, job->job->cell));
}

static cb_entry_views_t *
new_views (cb_entry_t *entry, cb_http_req_t *req, gboolean single)
{
  cb_entry_views_t *views = g_new0 (cb_entry_views_t, 1);

  views->id = ++entry->last_id;
  views->req = req;
  views->list = cb_msg_new (&cb__job_list__descriptor);
  views->single = single;
  views->asked = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  views->until_ms = cb_entry_now (entry) + VIEW_WAIT_MS;
  return views;
}

/* Replies now or waits for the schedulers that were asked. */
static void
reply_or_wait (cb_entry_t *entry, cb_entry_views_t *views)
{
  if (g_hash_table_size (views->asked) == 0)
    reply (views);
  else
    g_queue_push_tail (&entry->views, views);
}

/* GET /v1/jobs/KEY?account=A */
void
cb_entry_get_job (cb_entry_t *entry, cb_http_req_t *req, const char *key)
{
  const Cb__JobStateEntry *job = cb_entry_find_job (entry, req, key);
  cb_entry_views_t *views;

  if (job == NULL)
    return;
  views = new_views (entry, req, TRUE);
  add_view (entry, views, job);
  reply_or_wait (entry, views);
}

typedef struct
{
  cb_entry_t *entry;
  cb_entry_views_t *views;
  const char *account; /* NULL: all */
} listing_t;

static void
list_job (void *ctx, const Cb__JobStateEntry *job)
{
  listing_t *listing = ctx;

  if (listing->account == NULL || strcmp (listing->account, job->job->account) == 0)
    add_view (listing->entry, listing->views, job);
}

/* GET /v1/jobs, optionally ?account=A */
void
cb_entry_list_jobs (cb_entry_t *entry, cb_http_req_t *req)
{
  listing_t listing = { entry, new_views (entry, req, FALSE),
                        cb_http_query (req, "account") };

  cb_ledger_each_job (entry->ledger, list_job, &listing);
  reply_or_wait (entry, listing.views);
}

typedef struct
{
  const cb_entry_t *entry;
  const Cb__JobsQuery *query;
  Cb__JobsFound *found;
} query_t;

static gboolean
asked_for (const Cb__JobsQuery *query, const Cb__Job *job)
{
  return (*query->account == '\0' || strcmp (query->account, job->account) == 0) &&
         (*query->key == '\0' || strcmp (query->key, job->key) == 0);
}

static void
find_job (void *ctx, const Cb__JobStateEntry *job)
{
  const query_t *q = ctx;

  if (job->state < CB__JOB_STATE__JOB_DONE &&
      strcmp (job->job->cell, q->entry->settings->cell) == 0 &&
      asked_for (q->query, job->job))
    cb_msg_append ((void ***)&q->found->jobs, &q->found->n_jobs,
                   cb_entry_job_view (q->entry, job));
}

/* Answers another entry with the open jobs of the cell that this process schedules;
   with none when it does not schedule, so that nobody waits. */
void
cb_entry_on_jobs_query (cb_entry_t *entry, const Cb__Envelope *envelope)
{
  Cb__Envelope *answer = cb_msg_new (&cb__envelope__descriptor);
  query_t q = { entry, envelope->jobs_query, cb_msg_new (&cb__jobs_found__descriptor) };

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

/* Replaces what the log says of open jobs by what their scheduler says. */
static void
merge (Cb__JobList *list, const Cb__JobsFound *found)
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

/* Takes a scheduler's answer and replies to the caller after the last one. */
void
cb_entry_on_jobs_found (cb_entry_t *entry, const Cb__Envelope *envelope)
{
  for (GList *l = entry->views.head; l != NULL; l = l->next)
    {
      cb_entry_views_t *views = l->data;

      if (views->id != envelope->jobs_found->id ||
          !g_hash_table_remove (views->asked, envelope->from))
        continue;
      merge (views->list, envelope->jobs_found);
      if (g_hash_table_size (views->asked) > 0)
        return;
      g_queue_delete_link (&entry->views, l);
      reply (views);
      return;
    }
}

/* Replies with what the log says where a scheduler does not answer. */
void
cb_entry_views_tick (cb_entry_t *entry, cb_msec_t now_ms)
{
  cb_entry_views_t *views;

  while ((views = g_queue_peek_head (&entry->views)) != NULL &&
         now_ms >= views->until_ms)
    {
      g_queue_pop_head (&entry->views);
      cb_counters_add (entry->counters, "views_late_total", NULL, 1);
      reply (views);
    }
}

void
cb_entry_views_free (cb_entry_t *entry)
{
  cb_entry_views_t *views;

  while ((views = g_queue_pop_head (&entry->views)) != NULL)
    free_views (views);
}
