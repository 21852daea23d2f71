#include "verify/fns.h"

#include <string.h>

/* What the traces record about the requests with one (account, key). The member `ran`
   of a refusal tells the caller whether its request ran: yes, no or unknown. */
typedef struct
{
  GPtrArray *answers; /* of cb_verify_event_t, `req_answer` */
  GHashTable *hashes; /* of the answers of endpoints, agents and the mainframe */
  const cb_verify_event_t *first_run;
  const cb_verify_event_t *second_run;
  const cb_verify_event_t *refused_no; /* last refusal with ran: no */
  uint32_t runs;                       /* traced by endpoints and the mainframe */
  uint32_t agent_runs;                 /* traced by agents */
  uint32_t accepted;         /* requests with this key that entries accepted */
  uint32_t refused_no_count; /* refusals with ran: no */
  uint32_t refused_count;    /* all refusals */
  gboolean not_repeatable;
} request_t;

static void
free_request (gpointer data)
{
  request_t *request = data;

  g_ptr_array_free (request->answers, TRUE);
  g_hash_table_unref (request->hashes);
  g_free (request);
}

static request_t *
find_request (GHashTable *requests, const cb_verify_event_t *event)
{
  char *work = cb_verify_event_work_id (event);
  request_t *request = g_hash_table_lookup (requests, work);

  if (request != NULL)
    {
      g_free (work);
      return request;
    }
  request = g_new0 (request_t, 1);
  request->answers = g_ptr_array_new ();
  request->hashes = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (requests, work, request);
  return request;
}

static void
add_run (request_t *request, const cb_verify_event_t *event)
{
  request->runs++;
  if (request->first_run == NULL)
    request->first_run = event;
  else if (request->second_run == NULL)
    request->second_run = event;
}

static void
add_refusal (request_t *request, const cb_verify_event_t *event)
{
  request->refused_count++;
  if (strcmp (cb_verify_event_string (event, "ran"), "no") != 0)
    return;
  request->refused_no = event;
  request->refused_no_count++;
}

static gboolean
is_run (const cb_verify_event_t *event)
{
  return cb_verify_event_is (event, "endpoint_run") ||
         cb_verify_event_is (event, "mainframe_run");
}

static gboolean
is_done (const cb_verify_event_t *event)
{
  return cb_verify_event_is (event, "endpoint_done") ||
         cb_verify_event_is (event, "mainframe_done") ||
         cb_verify_event_is (event, "req_ran");
}

static void
record_event (GHashTable *requests, const cb_verify_event_t *event)
{
  request_t *request;

  if (!is_run (event) && !g_str_has_prefix (event->name, "req_") && !is_done (event))
    return;
  request = find_request (requests, event);
  if (is_run (event))
    add_run (request, event);
  else if (is_done (event))
    g_hash_table_add (request->hashes,
                      (gpointer)cb_verify_event_string (event, "hash"));
  else if (cb_verify_event_is (event, "req_run"))
    request->agent_runs++;
  else if (cb_verify_event_is (event, "req_refuse"))
    add_refusal (request, event);
  else if (cb_verify_event_is (event, "req_answer"))
    g_ptr_array_add (request->answers, (gpointer)event);
  else if (cb_verify_event_is (event, "req_accept"))
    {
      request->accepted++;
      request->not_repeatable |= cb_verify_event_number (event, "not_repeatable") != 0;
    }
}

static void
check_answers (const char *work, const request_t *request, cb_verify_result_t *result)
{
  for (guint i = 0; i < request->answers->len; i++)
    {
      const cb_verify_event_t *answer = g_ptr_array_index (request->answers, i);

      result->checked[3]++;
      if (!g_hash_table_contains (request->hashes,
                                  cb_verify_event_string (answer, "hash")))
        cb_verify_add_violation (
            result, "I3", answer,
            "answer to %s has hash %s, which no endpoint, agent or mainframe returned",
            work, cb_verify_event_string (answer, "hash"));
    }
}

static void
check_request (const char *work, const request_t *request, cb_verify_result_t *result)
{
  check_answers (work, request, result);
  if (request->refused_no != NULL)
    result->checked[4]++;
  /* The run is a violation only when every request with the key was refused with
     ran: no. It may belong to a request that was answered, that was refused with
     another `ran`, or that has no reply yet. */
  if (request->answers->len == 0 && request->refused_no_count > 0 &&
      request->refused_no_count == request->refused_count &&
      request->accepted <= request->refused_count && request->runs > 0)
    cb_verify_add_violation (result, "I4", request->refused_no,
                             "%s was refused with ran: no but ran at line %u of %s",
                             work, request->first_run->line, request->first_run->file);
  if (!request->not_repeatable)
    return;
  result->checked[5]++;
  if (request->runs > 1)
    cb_verify_add_violation (result, "I5", request->second_run,
                             "%s is not repeatable but ran %u times", work,
                             request->runs);
}

/* Checks that each request of a caller, identified by the entry and `id`, is answered
   or refused only once. */
static void
check_single_replies (const cb_verify_events_t *events, cb_verify_result_t *result)
{
  GHashTable *replied = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < events->events->len; i++)
    {
      const cb_verify_event_t *event = g_ptr_array_index (events->events, i);
      char *id;

      if (!cb_verify_event_is (event, "req_answer") &&
          !cb_verify_event_is (event, "req_refuse"))
        continue;
      id = g_strdup_printf ("%s/%" G_GINT64_FORMAT, event->process,
                            cb_verify_event_number (event, "id"));
      if (!g_hash_table_add (replied, id))
        cb_verify_add_violation (result, "I3", event,
                                 "caller %" G_GINT64_FORMAT " received a second reply",
                                 cb_verify_event_number (event, "id"));
    }
  g_hash_table_unref (replied);
}

/* I3: an answer is one that an endpoint, an agent or the mainframe returned for the
   same key, and a caller receives one reply. I4: a key whose requests were all refused
   with ran: no never ran. I5: a key whose requests are not repeatable ran at most once.
 */
void
cb_verify_requests (const cb_verify_events_t *events, cb_verify_result_t *result)
{
  GHashTable *requests =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_request);
  GHashTableIter iter;
  gpointer work;
  gpointer request;

  for (guint i = 0; i < events->events->len; i++)
    record_event (requests, g_ptr_array_index (events->events, i));
  g_hash_table_iter_init (&iter, requests);
  while (g_hash_table_iter_next (&iter, &work, &request))
    check_request (work, request, result);
  check_single_replies (events, result);
  g_hash_table_unref (requests);
}
