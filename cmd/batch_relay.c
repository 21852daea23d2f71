#include <string.h>

#include "cmd/batch.h"

/* Without the log for this long in ms, requests go to another entry. A waiting read
   ends within 1.0 s when the store is well. */
#define STALE_MS 1600
/* Longest time in ms for another entry's answer; callers wait 3 s. A view needs no
   append, so another entry can be asked soon. */
#define ANSWER_MS 2500
#define VIEW_ANSWER_MS 700
/* Longest time in ms for a connection to another entry: some round trips between
   regions, 20 ms one way. An entry whose instance is gone answers nothing. */
#define CONNECT_MS 300
/* An entry that could not be reached, or did not answer, is not asked again for this
   long in ms; an instance is restarted in seconds. One that has lost the log too reads
   it every 150 ms. */
#define UNREACHABLE_MS 2000
#define MISDIRECTED_MS 200
/* Other entries that are tried while none can serve. */
#define TRIES 2
/* HTTP status of an entry that has lost the log too, or knows an older configuration.
 */
#define MISDIRECTED 421
/* When a caller whose view could not be had should ask again. */
#define RETRY_AFTER_MS 1000

typedef struct
{
  cb_batch_entry_t *entry;
  cb_http_req_t *req;
  char *headers;
  GString *version; /* of the answer's configuration */
  char *address;    /* of the entry that is asked */
  uint32_t tries;
} relay_t;

typedef struct
{
  const cb_batch_entry_t *entry;
  GPtrArray *addresses; /* of char, not owned */
} peers_t;

static void relay_once (relay_t *relay);

static void
on_registered (cb_batch_entry_t *entry, void *ctx, int err,
               const Cb__BatchRecord *record)
{
  (void)ctx;
  (void)record;
  if (err < 0)
    entry->registered = FALSE;
}

/* Writes the entry's address to the log once it is caught up. */
void
cb_batch_relay_register (cb_batch_entry_t *entry)
{
  if (entry->registered || !entry->caught_up || !entry->healthy)
    return;
  entry->registered = TRUE;
  cb_batch_append (entry,
                   cb_batch_address_record (entry->settings->name,
                                            entry->settings->caller_address,
                                            entry->identity),
                   on_registered, NULL);
}

/* Keeps requests from the entry at ADDRESS for FOR_MS. */
static void
avoid (cb_batch_entry_t *entry, const char *address, cb_msec_t for_ms)
{
  cb_msec_t *until_ms = g_new (cb_msec_t, 1);

  cb_event (CB_LOG_INFO, "entry", "entry_avoided", "address=%s for_ms=%" PRId64,
            address, for_ms);
  *until_ms = cb_batch_now () + for_ms;
  g_hash_table_replace (entry->avoided, g_strdup (address), until_ms);
}

static void
add_peer (void *ctx, const char *name, const char *address)
{
  peers_t *peers = ctx;
  const cb_msec_t *until_ms = g_hash_table_lookup (peers->entry->avoided, address);

  if (strcmp (name, peers->entry->settings->name) != 0 &&
      (until_ms == NULL || *until_ms <= cb_batch_now ()))
    g_ptr_array_add (peers->addresses, (gpointer)address);
}

static gint
compare_addresses (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

/* Returns another entry's address, a different one each time; freed with g_free; NULL
   when there is none that may serve. */
static char *
next_peer (cb_batch_entry_t *entry)
{
  peers_t peers = { entry, g_ptr_array_new () };
  char *address = NULL;

  cb_batch_foreach_entry (entry->batch, add_peer, &peers);
  g_ptr_array_sort (peers.addresses, compare_addresses);
  if (peers.addresses->len > 0)
    address = g_strdup (peers.addresses->pdata[entry->relays++ % peers.addresses->len]);
  g_ptr_array_free (peers.addresses, TRUE);
  return address;
}

static void
end_relay (relay_t *relay)
{
  g_free (relay->headers);
  g_free (relay->address);
  g_string_free (relay->version, TRUE);
  g_free (relay);
}

static uint64_t
config_version (const cb_batch_entry_t *entry)
{
  return entry->config == NULL ? 0 : entry->config->version;
}

/* Answers a request that no other entry serves, unless callers have seen answers by a
   newer configuration through this entry. */
static void
serve_here (relay_t *relay)
{
  if (config_version (relay->entry) < relay->entry->relayed_version)
    cb_batch_refuse (relay->entry, relay->req, 503, "config_stale", RETRY_AFTER_MS);
  else
    cb_batch_serve (relay->entry, relay->req);
}

static gboolean
is_read (const relay_t *relay)
{
  return strcmp (cb_http_method (relay->req), "GET") == 0;
}

/* A submission that was passed on may be stored unless the other entry said otherwise.
 */
static void
leave_open (const relay_t *relay)
{
  const char *id = strrchr (cb_http_path (relay->req), '/') + 1;

  if (strcmp (cb_http_method (relay->req), "POST") == 0 &&
      cb_platform_job_id_valid (id))
    cb_batch_leave_open (relay->entry, id);
}

static void
on_answer (void *ctx, int err, int status, const char *body, size_t len)
{
  relay_t *relay = ctx;
  gboolean reads = is_read (relay);
  gboolean not_served =
      err == CB_NET_CONNECT || status == MISDIRECTED || (err < 0 && reads);

  cb_event (CB_LOG_INFO, "entry", "relayed",
            "method=%s path=%s to=%s err=%d status=%d tries=%u",
            cb_http_method (relay->req), cb_http_path (relay->req), relay->address, err,
            status, relay->tries);
  if (err < 0)
    avoid (relay->entry, relay->address, UNREACHABLE_MS);
  else if (status == MISDIRECTED)
    avoid (relay->entry, relay->address, MISDIRECTED_MS);
  if (!not_served && (err < 0 || status == 504))
    leave_open (relay);
  if (not_served && relay->tries < TRIES)
    {
      relay_once (relay);
      return;
    }
  if (not_served)
    serve_here (relay);
  else if (err == CB_OK)
    {
      relay->entry->relayed_version =
          MAX (relay->entry->relayed_version,
               g_ascii_strtoull (relay->version->str, NULL, 10));
      cb_batch_answer (relay->entry, relay->req, status, body, len);
    }
  else
    cb_batch_refuse (relay->entry, relay->req, 504, "relay_answer_unknown", 0);
  end_relay (relay);
}

static void
relay_once (relay_t *relay)
{
  size_t len;
  cb_http_spec_t spec = { .host = cb_http_host (relay->req),
                          .method = cb_http_method (relay->req),
                          .path = cb_http_path (relay->req),
                          .headers = relay->headers,
                          .body = cb_http_body (relay->req, &len),
                          .timeout_ms = is_read (relay) ? VIEW_ANSWER_MS : ANSWER_MS,
                          .connect_timeout_ms = CONNECT_MS,
                          .response_header = cb_platform_config_header,
                          .response_header_value = relay->version,
                          .keep_alive = TRUE };

  g_free (relay->address);
  relay->address = next_peer (relay->entry);
  if (relay->address == NULL)
    {
      serve_here (relay);
      end_relay (relay);
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
  return !entry->healthy || !cb_batch_log_fresh (entry, STALE_MS);
}

/* Passes REQ on to another entry when this one has lost the log, since the store may
   serve the others, and they have the newer configuration. When none can serve it, it
   is answered here after all. Returns FALSE when the request is to be answered here. */
gboolean
cb_batch_relay (cb_batch_entry_t *entry, cb_http_req_t *req)
{
  uint64_t own_version = config_version (entry);
  uint64_t version;
  relay_t *relay;
  char *text;

  if (cb_platform_is_relayed (req, &version))
    {
      if (has_lost_log (entry) || version > own_version)
        {
          cb_http_reply (req, MISDIRECTED, "application/json", "{}", 2);
          return TRUE;
        }
      text = g_strdup_printf ("%" PRIu64, own_version);
      cb_http_add_header (req, cb_platform_config_header, text);
      g_free (text);
      return FALSE;
    }
  if (!entry->caught_up ||
      (!has_lost_log (entry) && own_version >= entry->relayed_version))
    return FALSE;
  relay = g_new0 (relay_t, 1);
  relay->entry = entry;
  relay->req = req;
  relay->version = g_string_new (NULL);
  relay->headers =
      cb_platform_relay_headers (req, MAX (own_version, entry->relayed_version));
  relay_once (relay);
  return TRUE;
}
