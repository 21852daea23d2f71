/* Relays callers' requests to another entry while this entry can't read the log or has
   an older configuration, and submissions to the scheduler while the log is slow. */
#include <string.h>

#include "cmd/batch.h"

/* When the last successful read of the log is older than this, requests are relayed to
   another entry. While the store is healthy, a waiting read ends within 1.0 s. */
#define RELAY_LOG_AGE_MS 1600
/* Longest wait for another entry's reply to a submission or a cancellation; callers
   wait 3 s. A GET request needs no append, so a further entry is tried sooner. */
#define CHANGE_TIMEOUT_MS 2500
#define READ_TIMEOUT_MS 700
/* Longest time to connect to another entry: several round trips between regions, which
   take 20 ms one way. An instance that does not exist any more gives no reply. */
#define CONNECT_TIMEOUT_MS 300
/* No request is relayed for this long to an entry that was unreachable or did not
   reply; restarting an instance takes seconds. */
#define AVOID_UNREACHABLE_MS 2000
/* The same after STATUS_MISDIRECTED. It is short, as an entry that can't read the log
   tries again every 150 ms. */
#define AVOID_MISDIRECTED_MS 200
/* From this duration of a call to the log on, the entries' own appends would queue up
   there: the log takes one at a time. */
#define SLOW_CALL_MS 100
/* Largest number of other entries that are tried for one request. */
#define TRIES_MAX 2
/* HTTP status with which an entry declines a relayed request: it can't read the log
   either, or has an older configuration than the sender. */
#define STATUS_MISDIRECTED 421
/* Retry-After of requests refused because the configuration here is outdated. */
#define RETRY_AFTER_MS 1000

typedef struct
{
  cb_batch_entry_t *entry;
  cb_http_req_t *req;
  char *headers;
  GString *reply_config_version;
  char *address; /* of the entry that the request was last sent to */
  uint32_t tries;
  gboolean to_scheduler; /* only the scheduler is tried */
} relay_t;

typedef struct
{
  const cb_batch_entry_t *entry;
  GPtrArray *addresses; /* of char, not owned */
} candidates_t;

static void relay_to_next_entry (relay_t *relay);

static void
on_registered (cb_batch_entry_t *entry, void *ctx, int err,
               const Cb__BatchRecord *record)
{
  (void)ctx;
  (void)record;
  if (err < 0)
    entry->address_registered = FALSE;
}

/* Appends a record with this entry's address for callers to the log, once the entry has
   caught up with it. Called periodically; a failed append is repeated. */
void
cb_batch_register_address (cb_batch_entry_t *entry)
{
  if (entry->address_registered || !entry->caught_up || !entry->healthy)
    return;
  entry->address_registered = TRUE;
  cb_batch_append (entry,
                   cb_batch_address_record (entry->settings->name,
                                            entry->settings->caller_address,
                                            entry->identity, entry->settings->cpu_share,
                                            cb_batch_epoch (entry->batch)),
                   on_registered, NULL);
}

/* Relays no requests to the entry at ADDRESS for FOR_MS. */
static void
avoid (cb_batch_entry_t *entry, const char *address, cb_msec_t for_ms)
{
  cb_msec_t *until_ms = g_new (cb_msec_t, 1);

  cb_event (CB_LOG_INFO, "entry", "entry_avoided", "address=%s for_ms=%" PRId64,
            address, for_ms);
  *until_ms = cb_batch_now_ms () + for_ms;
  g_hash_table_replace (entry->avoided_entries, g_strdup (address), until_ms);
}

static void
add_candidate (void *ctx, const char *name, const char *address)
{
  candidates_t *candidates = ctx;
  const cb_msec_t *until_ms =
      g_hash_table_lookup (candidates->entry->avoided_entries, address);

  if (strcmp (name, candidates->entry->settings->name) != 0 &&
      (until_ms == NULL || *until_ms <= cb_batch_now_ms ()))
    g_ptr_array_add (candidates->addresses, (gpointer)address);
}

static gint
compare_addresses (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

/* Returns the address of another entry, taking the registered ones that are not avoided
   in turn; freed with g_free. NULL: there is none. */
static char *
next_entry_address (cb_batch_entry_t *entry)
{
  candidates_t candidates = { entry, g_ptr_array_new () };
  char *address = NULL;

  cb_batch_foreach_entry (entry->batch, add_candidate, &candidates);
  g_ptr_array_sort (candidates.addresses, compare_addresses);
  if (candidates.addresses->len > 0)
    address = g_strdup (
        candidates.addresses->pdata[entry->relay_count++ % candidates.addresses->len]);
  g_ptr_array_free (candidates.addresses, TRUE);
  return address;
}

static void
free_relay (relay_t *relay)
{
  g_free (relay->headers);
  g_free (relay->address);
  g_string_free (relay->reply_config_version, TRUE);
  g_free (relay);
}

static uint64_t
own_config_version (const cb_batch_entry_t *entry)
{
  return entry->config == NULL ? 0 : entry->config->version;
}

/* Handles a request that no other entry took. Refuses it when this entry has relayed a
   reply based on a newer configuration than its own. */
static void
serve_locally (relay_t *relay)
{
  if (own_config_version (relay->entry) < relay->entry->relayed_config_version)
    cb_batch_refuse (relay->entry, relay->req, 503, "config_stale", RETRY_AFTER_MS);
  else
    cb_batch_serve_request (relay->entry, relay->req);
}

static gboolean
is_get_request (const relay_t *relay)
{
  return strcmp (cb_http_method (relay->req), "GET") == 0;
}

/* If the relayed request is a submission, notes that the job may be stored, as the
   outcome is unknown. */
static void
note_unresolved (const relay_t *relay)
{
  const char *id = strrchr (cb_http_path (relay->req), '/') + 1;

  if (strcmp (cb_http_method (relay->req), "POST") == 0 &&
      cb_platform_job_id_valid (id))
    cb_batch_note_unresolved (relay->entry, id);
}

static void
on_answer (void *ctx, int err, int status, const char *body, size_t len)
{
  relay_t *relay = ctx;
  gboolean reads = is_get_request (relay);
  gboolean not_served = (err != CB_NET_BAD_ADDRESS && cb_net_not_sent (err)) ||
                        status == STATUS_MISDIRECTED || (err < 0 && reads);

  cb_event (CB_LOG_INFO, "entry", "relayed",
            "method=%s path=%s to=%s err=%d status=%d tries=%u",
            cb_http_method (relay->req), cb_http_path (relay->req), relay->address, err,
            status, relay->tries);
  if (err < 0)
    avoid (relay->entry, relay->address, AVOID_UNREACHABLE_MS);
  else if (status == STATUS_MISDIRECTED)
    avoid (relay->entry, relay->address, AVOID_MISDIRECTED_MS);
  if (!not_served && (err < 0 || status == 504))
    note_unresolved (relay);
  if (not_served && relay->tries < TRIES_MAX && !relay->to_scheduler)
    {
      relay_to_next_entry (relay);
      return;
    }
  if (not_served)
    serve_locally (relay);
  else if (err == CB_OK)
    {
      relay->entry->relayed_config_version =
          MAX (relay->entry->relayed_config_version,
               g_ascii_strtoull (relay->reply_config_version->str, NULL, 10));
      cb_batch_reply (relay->entry, relay->req, status, body, len);
    }
  else
    cb_batch_refuse (relay->entry, relay->req, 504, "relay_answer_unknown", 0);
  free_relay (relay);
}

static void
relay_to_next_entry (relay_t *relay)
{
  size_t len;
  cb_http_spec_t spec = { .host = cb_http_host (relay->req),
                          .method = cb_http_method (relay->req),
                          .path = cb_http_path (relay->req),
                          .headers = relay->headers,
                          .body = cb_http_body (relay->req, &len),
                          .timeout_ms = is_get_request (relay) ? READ_TIMEOUT_MS
                                                               : CHANGE_TIMEOUT_MS,
                          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                          .response_header = cb_platform_config_header,
                          .response_header_value = relay->reply_config_version,
                          .keep_alive = TRUE };

  g_free (relay->address);
  relay->address = relay->to_scheduler
                       ? g_strdup (cb_batch_scheduler_address (relay->entry->batch))
                       : next_entry_address (relay->entry);
  if (relay->address == NULL)
    {
      serve_locally (relay);
      free_relay (relay);
      return;
    }
  spec.address = relay->address;
  spec.body_len = len;
  relay->tries++;
  cb_http_call (relay->entry->loop, &spec, on_answer, relay);
}

static gboolean
has_lost_log (const cb_batch_entry_t *entry)
{
  return !entry->healthy || !cb_batch_log_is_fresh (entry, RELAY_LOG_AGE_MS);
}

/* TRUE when REQ should be appended by the scheduler rather than here, as the log is
   slow. See batch/lag.c. */
static gboolean
is_for_scheduler (const cb_batch_entry_t *entry, const cb_http_req_t *req)
{
  const char *address = cb_batch_scheduler_address (entry->batch);
  const cb_msec_t *avoided_until_ms =
      address == NULL ? NULL : g_hash_table_lookup (entry->avoided_entries, address);

  return entry->own_epoch == 0 && address != NULL &&
         strcmp (cb_http_method (req), "GET") != 0 &&
         (cb_lag_is_slow (&entry->lag, cb_batch_now_ms ()) ||
          cb_batch_log_call_ms (entry) >= SLOW_CALL_MS) &&
         (avoided_until_ms == NULL || *avoided_until_ms <= cb_batch_now_ms ());
}

/* Relays REQ to another entry when this one can't read the log, or has relayed a reply
   based on a newer configuration than its own: the store may still serve the other
   entries, and they may have that configuration. While the log is slow, submissions and
   cancellations are relayed to the scheduler. When no other entry takes the request,
   it is handled here after all, or refused if the configuration here is still the older
   one. Nothing is relayed before this entry has caught up with the log for the first
   time. A request that another entry relayed here is never relayed again: it is
   declined with STATUS_MISDIRECTED if this entry can't read the log or has an older
   configuration than the sender. Returns FALSE, with REQ still open, when the caller of
   this function must handle REQ with cb_batch_serve_request. */
gboolean
cb_batch_relay_request (cb_batch_entry_t *entry, cb_http_req_t *req)
{
  uint64_t own_version = own_config_version (entry);
  uint64_t version;
  gboolean outdated;
  gboolean to_scheduler;
  relay_t *relay;
  char *text;

  if (cb_platform_is_relayed (req, &version))
    {
      /* While the log is slow, the last read of the scheduler is old, too. */
      gboolean lost = entry->own_epoch != 0 ? !entry->healthy : has_lost_log (entry);

      if (lost || version > own_version)
        {
          cb_http_reply (req, STATUS_MISDIRECTED, "application/json", "{}", 2);
          return TRUE;
        }
      text = g_strdup_printf ("%" PRIu64, own_version);
      cb_http_add_header (req, cb_platform_config_header, text);
      g_free (text);
      return FALSE;
    }
  if (!entry->caught_up)
    return FALSE;
  outdated = has_lost_log (entry) || own_version < entry->relayed_config_version;
  to_scheduler = !outdated && is_for_scheduler (entry, req);
  if (!outdated && !to_scheduler)
    return FALSE;
  relay = g_new0 (relay_t, 1);
  relay->to_scheduler = to_scheduler;
  relay->entry = entry;
  relay->req = req;
  relay->reply_config_version = g_string_new (NULL);
  relay->headers =
      cb_platform_relay_headers (req, MAX (own_version, entry->relayed_config_version));
  relay_to_next_entry (relay);
  return TRUE;
}
