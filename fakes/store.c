/* carobrun-fake-store: stand-in for the log service of the users' platform, which keeps
   the records in memory; platform/store.c is its client. `POST /control
   {"mode":M,"count":N}` turns on a fault mode for its next N uses, or without N until
   the next such call:
   - `busy`: all calls are refused with status 503.
   - `silent`: no call gets a reply, and none takes effect.
   - `deaf`: the same for appends only.
   - `lose`: appends are stored, but get no reply.
   - `lose-keyed`: the same for appends to keyed topics only.
   - `silent-op`: `silent` for calls about the topic `keyed.op`.
   - `silent-at-job`, `deaf-at-job`: `silent` or `deaf` from the next append on that has
   a job with the spec `run MS`; other calls until then are handled.
   - `slow`: each call takes SLOW_MS, and a topic handles one append at a time.
   - `miss`: an append does not wake the reads that wait for it.
   - `ok`: no fault.
   `POST /delete?topic=T&before=N` deletes the records of a topic before offset N.
   `GET /missed` returns how many reads mode `miss` has left waiting with at least
   MISSED_MS of their wait left. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/lib/fake.h"

/* Length of the big-endian size in front of each record. */
#define LENGTH_BYTES 4
/* A reply to a read ends with the first record that reaches this size. */
#define MAX_REPLY_BYTES ((size_t)1 << 20)
#define KEYED_PREFIX "keyed."
/* Records in one page of the newest records, as in the platform's store. */
#define PAGE_ITEMS 500
/* 150 times the 4 ms that a call of the platform's store takes. */
#define SLOW_MS 600
/* Period of the check for reads and delayed calls that are due. */
#define TICK_MS 5
#define MISSED_MS 200

typedef struct
{
  gboolean keyed;          /* each record has a key */
  GPtrArray *records;      /* of GBytes, from offset 0 */
  guint first;             /* records before this offset are deleted */
  cb_msec_t append_end_ms; /* mode `slow`: when the last append will be handled */
} topic_t;

typedef struct
{
  cb_http_req_t *req;
  topic_t *topic;
  uint64_t from;
  uint64_t missed_end; /* records below this offset do not wake the read */
  cb_msec_t due_ms;
} waiting_t;

/* A call that mode `slow` delays. */
typedef struct
{
  cb_http_req_t *req;
  cb_msec_t due_ms;
} delayed_t;

typedef struct
{
  cb_fake_t fake;
  GHashTable *topics; /* name -> topic_t */
  GQueue waiting;     /* of waiting_t */
  GQueue delayed;     /* of delayed_t */
  uint64_t missed;    /* reads that mode `miss` did not wake, see GET /missed */
} store_t;

static topic_t *
get_topic (store_t *store, const char *name)
{
  topic_t *topic = g_hash_table_lookup (store->topics, name);

  if (topic != NULL)
    return topic;
  topic = g_new0 (topic_t, 1);
  topic->keyed = g_str_has_prefix (name, KEYED_PREFIX);
  topic->records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_hash_table_insert (store->topics, g_strdup (name), topic);
  return topic;
}

/* Appends VALUE in BYTES bytes, big-endian. */
static void
put_number (GByteArray *to, uint64_t value, int bytes)
{
  for (int i = bytes - 1; i >= 0; i--)
    {
      uint8_t byte = (uint8_t)(value >> (8 * i));

      g_byte_array_append (to, &byte, 1);
    }
}

/* Replies with the end offset of TOPIC, its first offset and the records from offset
   FROM on, or with status 410 when some of these are deleted. */
static void
reply_read (cb_http_req_t *req, const topic_t *topic, uint64_t from)
{
  GByteArray *body;

  if (from < topic->first)
    {
      cb_fake_reply (req, 410, json_pack ("{s:i}", "first", (int)topic->first));
      return;
    }
  body = g_byte_array_new ();
  put_number (body, topic->records->len, 8);
  put_number (body, topic->first, 8);
  for (uint64_t i = from; i < topic->records->len && body->len < MAX_REPLY_BYTES; i++)
    {
      gsize size;
      const void *data = g_bytes_get_data (topic->records->pdata[i], &size);

      put_number (body, size, LENGTH_BYTES);
      g_byte_array_append (body, data, (guint)size);
    }
  cb_http_reply (req, 200, "application/octet-stream", body->data, body->len);
  g_byte_array_unref (body);
}

/* Keeps the present records of TOPIC from waking the reads that wait for it. */
static void
suppress_wakeups (store_t *store, const topic_t *topic)
{
  cb_msec_t now_ms = cb_clock_now (cb_clock_system ());

  for (GList *l = store->waiting.head; l != NULL; l = l->next)
    {
      waiting_t *waiting = l->data;

      if (waiting->topic != topic)
        continue;
      if (waiting->missed_end <= waiting->from && waiting->due_ms - now_ms >= MISSED_MS)
        store->missed++;
      waiting->missed_end = topic->records->len;
    }
}

/* Stores the records of the body, each with its length before it. */
static void
on_append (store_t *store, cb_http_req_t *req, topic_t *topic)
{
  size_t len;
  const uint8_t *body = (const uint8_t *)cb_http_body (req, &len);
  const char *at_offset = cb_http_query (req, "at");
  uint64_t first = topic->records->len;

  if (cb_fake_use_mode (&store->fake, "deaf"))
    {
      cb_http_no_reply (req);
      return;
    }
  if (at_offset != NULL && g_ascii_strtoull (at_offset, NULL, 10) != first)
    {
      cb_fake_reply (req, 412, json_pack ("{s:I}", "end", (json_int_t)first));
      return;
    }
  for (size_t at = 0; at + LENGTH_BYTES <= len;)
    {
      size_t size = (size_t)body[at] << 24 | (size_t)body[at + 1] << 16 |
                    (size_t)body[at + 2] << 8 | body[at + 3];

      at += LENGTH_BYTES;
      if (len - at < size)
        {
          cb_fake_reply (req, 400, json_object ());
          return;
        }
      g_ptr_array_add (topic->records, g_bytes_new (body + at, size));
      at += size;
    }
  if (cb_fake_use_mode (&store->fake, "miss"))
    suppress_wakeups (store, topic);
  if (cb_fake_use_mode (&store->fake, "lose") ||
      (topic->keyed && cb_fake_use_mode (&store->fake, "lose-keyed")))
    {
      cb_http_no_reply (req);
      return;
    }
  cb_fake_reply (req, 200,
                 json_pack ("{s:I,s:I}", "offset", (json_int_t)first, "end",
                            (json_int_t)topic->records->len));
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

/* Returns the record at OFFSET as an item of /api/log-newest. A record with a key
   begins with the length of the key (1 byte) and the key; the rest is the value. */
static json_t *
newest_item (const topic_t *topic, const char *key, guint offset)
{
  gsize size;
  const uint8_t *data = g_bytes_get_data (topic->records->pdata[offset], &size);
  char *value = g_base64_encode (data + 1 + data[0], size - 1 - data[0]);
  json_t *item =
      json_pack ("{s:s,s:s,s:i}", "key", key, "value", value, "offset", (int)offset);

  g_free (value);
  return item;
}

/* Replies with the newest record of each key in the order of the keys: one page, from
   the first key after that of the query's `after`. */
static void
on_newest (cb_http_req_t *req, const topic_t *topic)
{
  const char *after = cb_http_query (req, "after");
  GTree *newest = g_tree_new_full (compare_keys, NULL, g_free, NULL);
  json_t *items = json_array ();
  GTreeNode *at;

  for (guint i = topic->first; i < topic->records->len; i++)
    {
      const uint8_t *data = g_bytes_get_data (topic->records->pdata[i], NULL);

      g_tree_replace (newest, g_strndup ((const char *)data + 1, data[0]),
                      GUINT_TO_POINTER (i));
    }
  at = after == NULL ? g_tree_node_first (newest) : g_tree_upper_bound (newest, after);
  for (; at != NULL && json_array_size (items) < PAGE_ITEMS; at = g_tree_node_next (at))
    json_array_append_new (items,
                           newest_item (topic, g_tree_node_key (at),
                                        GPOINTER_TO_UINT (g_tree_node_value (at))));
  cb_fake_reply (req, 200,
                 json_pack ("{s:o,s:b,s:i}", "items", items, "more", at != NULL, "end",
                            (int)topic->records->len));
  g_tree_unref (newest);
}

static void
on_read (store_t *store, cb_http_req_t *req, topic_t *topic)
{
  const char *from = cb_http_query (req, "from");
  const char *wait = cb_http_query (req, "waitMs");
  waiting_t *waiting = g_new0 (waiting_t, 1);

  waiting->req = req;
  waiting->topic = topic;
  waiting->from = from == NULL ? 0 : g_ascii_strtoull (from, NULL, 10);
  waiting->due_ms = cb_clock_now (cb_clock_system ()) +
                    (wait == NULL ? 0 : g_ascii_strtoll (wait, NULL, 10));
  g_queue_push_tail (&store->waiting, waiting);
}

static void
on_delete (cb_http_req_t *req, topic_t *topic)
{
  const char *before = cb_http_query (req, "before");

  topic->first = before == NULL ? 0 : (guint)g_ascii_strtoull (before, NULL, 10);
  cb_fake_reply (req, 200, json_object ());
}

static void
handle (store_t *store, cb_http_req_t *req)
{
  const char *path = cb_http_path (req);
  const char *topic = cb_http_query (req, "topic");

  if (topic != NULL && strcmp (path, "/api/log-append") == 0)
    on_append (store, req, get_topic (store, topic));
  else if (topic != NULL && strcmp (path, "/api/log-read") == 0)
    on_read (store, req, get_topic (store, topic));
  else if (topic != NULL && strcmp (path, "/api/log-newest") == 0)
    on_newest (req, get_topic (store, topic));
  else if (topic != NULL && strcmp (path, "/delete") == 0)
    on_delete (req, get_topic (store, topic));
  else if (strcmp (path, "/missed") == 0)
    cb_fake_reply (req, 200, json_pack ("{s:I}", "missed", (json_int_t)store->missed));
  else
    cb_fake_reply (req, 404, json_object ());
}

static void
delay_call (store_t *store, cb_http_req_t *req)
{
  const char *topic = cb_http_query (req, "topic");
  delayed_t *delayed = g_new0 (delayed_t, 1);

  delayed->req = req;
  delayed->due_ms = cb_clock_now (cb_clock_system ()) + SLOW_MS;
  if (topic != NULL && strcmp (cb_http_path (req), "/api/log-append") == 0)
    {
      topic_t *to = get_topic (store, topic);

      delayed->due_ms = MAX (delayed->due_ms, to->append_end_ms + SLOW_MS);
      to->append_end_ms = delayed->due_ms;
    }
  g_queue_push_tail (&store->delayed, delayed);
}

static gboolean
is_append_of_job (cb_http_req_t *req)
{
  size_t len;
  const char *body = cb_http_body (req, &len);

  return strcmp (cb_http_path (req), "/api/log-append") == 0 && body != NULL &&
         memmem (body, len, "run ", 4) != NULL;
}

/* Turns on the mode that waits for an append of a job, if REQ is one. */
static void
check_job_modes (store_t *store, cb_http_req_t *req)
{
  static const char *const modes[] = { "silent", "deaf" };

  for (size_t i = 0; i < G_N_ELEMENTS (modes) && is_append_of_job (req); i++)
    {
      char *waiting = g_strconcat (modes[i], "-at-job", NULL);

      if (cb_fake_mode_active (&store->fake, waiting))
        g_strlcpy (store->fake.mode, modes[i], sizeof store->fake.mode);
      g_free (waiting);
    }
}

static void
on_request (void *ctx, cb_http_req_t *req)
{
  store_t *store = ctx;

  if (cb_fake_control (&store->fake, req))
    return;
  check_job_modes (store, req);
  if (cb_fake_use_mode (&store->fake, "silent") ||
      (g_strcmp0 (cb_http_query (req, "topic"), "keyed.op") == 0 &&
       cb_fake_use_mode (&store->fake, "silent-op")))
    cb_http_no_reply (req);
  else if (cb_fake_use_mode (&store->fake, "busy"))
    cb_fake_reply (req, 503, json_object ());
  else if (cb_fake_use_mode (&store->fake, "slow"))
    delay_call (store, req);
  else
    handle (store, req);
}

static void
handle_delayed (store_t *store, cb_msec_t now_ms)
{
  GList *link = store->delayed.head;

  while (link != NULL)
    {
      GList *next = link->next;
      delayed_t *delayed = link->data;

      if (now_ms >= delayed->due_ms)
        {
          handle (store, delayed->req);
          g_queue_delete_link (&store->delayed, link);
          g_free (delayed);
        }
      link = next;
    }
}

/* Handles the delayed calls that are due, and replies to the waiting reads whose record
   has been appended or whose wait is over. */
static void
on_tick (void *ctx)
{
  store_t *store = ctx;
  cb_msec_t now_ms = cb_clock_now (cb_clock_system ());
  GList *link;

  handle_delayed (store, now_ms);
  link = store->waiting.head;
  while (link != NULL)
    {
      GList *next = link->next;
      waiting_t *waiting = link->data;

      if (waiting->topic->records->len > MAX (waiting->from, waiting->missed_end) ||
          now_ms >= waiting->due_ms || waiting->from < waiting->topic->first)
        {
          reply_read (waiting->req, waiting->topic, waiting->from);
          g_queue_delete_link (&store->waiting, link);
          g_free (waiting);
        }
      link = next;
    }
}

static void
on_signal (void *ctx, int signo)
{
  (void)signo;
  cb_loop_stop (((store_t *)ctx)->fake.loop);
}

int
main (int argc, char **argv)
{
  static const struct argp_child children[] = { { &cb_fake_argp, 0, NULL, 0 }, { 0 } };
  static const struct argp argp = { .children = children,
                                    .doc = "Stand-in for the platform's store." };
  store_t store = { .topics = g_hash_table_new (g_str_hash, g_str_equal) };
  cb_fake_params_t params = { .name = "store",
                              .role = "store",
                              .trace_file = "",
                              .handler = on_request,
                              .on_signal = on_signal,
                              .ctx = &store };

  if (argp_parse (&argp, argc, argv, 0, NULL, &params) != 0 ||
      cb_fake_open (&store.fake, &params) < 0)
    return 2;
  g_queue_init (&store.waiting);
  g_queue_init (&store.delayed);
  cb_timer_new (store.fake.loop, TICK_MS, TICK_MS, on_tick, &store);
  cb_fake_run (&store.fake);
  return 0;
}
