/* Appends per job, and what a new entry reads and folds. */
#include "bench/lib/bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ledger/fns.h"
#include "logc/fns.h"

#define JOBS_PER_DAY 2000
#define CHANGES_PER_DAY 1600
#define DAYS 7
#define DAY_MS INT64_C (86400000)
#define ENTRIES 30
#define CELLS 4
#define BATCH_MS 20
#define STEP_MS 10
#define SNAPSHOT_EVERY 5000
#define BOUND_APPENDS 4.0
#define SEED 42

typedef struct
{
  cb_msec_t at_ms;
  uint32_t job;
  uint32_t writer;
  Cb__Record__BodyCase body;
} step_t;

static void *
body_of (Cb__Record *record, Cb__Record__BodyCase body_case)
{
  const ProtobufCFieldDescriptor *field =
      protobuf_c_message_descriptor_get_field (&cb__record__descriptor, body_case);

  record->body_case = body_case;
  record->config = cb_msg_new (field->descriptor);
  return record->config;
}

static Cb__Record *
make_record (const step_t *step)
{
  Cb__Record *record = cb_msg_new (&cb__record__descriptor);
  char *account = g_strdup_printf ("account-%u", step->job % 550);
  char *key = g_strdup_printf ("job-%u", step->job);
  char *cell = g_strdup_printf ("cell%u", step->job % CELLS);
  uint64_t epoch = 1 + step->job % CELLS;

  record->time_ms = (uint64_t)step->at_ms;
  if (step->body == CB__RECORD__BODY_JOB_SUBMIT)
    {
      Cb__Job *job = body_of (record, step->body);

      cb_msg_set_string (&job->account, account);
      cb_msg_set_string (&job->key, key);
      cb_msg_set_string (&job->kind, "edge-profile");
      cb_msg_set_string (&job->cell, cell);
      cb_msg_set_string (&job->command, "edge-profile --sheet 4711 --quality high");
      job->members = 4;
      job->accelerators = 1;
      job->cores = 4;
      job->memory_gb = 8;
      job->run_ms = 7200000;
      job->submitted_ms = record->time_ms;
    }
  else if (step->body == CB__RECORD__BODY_JOB_START)
    {
      Cb__JobStart *start = body_of (record, step->body);

      cb_msg_set_string (&start->account, account);
      cb_msg_set_string (&start->key, key);
      cb_msg_set_string (&start->cell, cell);
      start->attempt = 1;
      start->epoch = epoch;
    }
  else
    {
      Cb__JobEnd *end = body_of (record, step->body);

      cb_msg_set_string (&end->account, account);
      cb_msg_set_string (&end->key, key);
      cb_msg_set_string (&end->cell, cell);
      end->state = CB__JOB_STATE__JOB_DONE;
      end->epoch = epoch;
      end->run_ms = 7200000;
    }
  g_free (account);
  g_free (key);
  g_free (cell);
  return record;
}

static void
add_step (GArray *steps, cb_msec_t at_ms, uint32_t job, uint32_t writer,
          Cb__Record__BodyCase body)
{
  step_t step = { at_ms, job, writer, body };

  g_array_append_val (steps, step);
}

static gint
compare_steps (gconstpointer a, gconstpointer b)
{
  const step_t *x = a;
  const step_t *y = b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->job != y->job ? (x->job < y->job ? -1 : 1) : (int)x->body - (int)y->body;
}

/* Records of JOBS jobs over DAYS days, in order of time: BURST jobs are submitted
   within one second at a time, at any entry; one job in five is not repeatable, so that
   its start is recorded too. */
static GArray *
make_steps (uint32_t jobs, uint32_t days, uint32_t burst)
{
  GArray *steps = g_array_new (FALSE, FALSE, sizeof (step_t));
  GRand *random = g_rand_new_with_seed (SEED);
  cb_msec_t base = 0;

  for (uint32_t i = 0; i < jobs; i++)
    {
      cb_msec_t at;

      if (i % burst == 0)
        base = (cb_msec_t)(g_rand_double (random) * (double)(days * DAY_MS));
      at = base + (burst > 1 ? g_rand_int_range (random, 0, 1000) : 0);
      add_step (steps, at, i, (uint32_t)g_rand_int_range (random, 0, ENTRIES),
                CB__RECORD__BODY_JOB_SUBMIT);
      if (i % 5 == 0)
        add_step (steps, at + 500, i, i % CELLS, CB__RECORD__BODY_JOB_START);
      add_step (steps, at + g_rand_int_range (random, 60000, 14400000), i, i % CELLS,
                CB__RECORD__BODY_JOB_END);
    }
  g_rand_free (random);
  g_array_sort (steps, compare_steps);
  return steps;
}

static void
on_done (void *ctx, uint64_t tag, int err, uint64_t offset)
{
  (void)tag;
  (void)offset;
  bench_require (err == CB_OK, "a stored record");
  ++*(uint32_t *)ctx;
}

/* Runs the records of one day through the writers of all entries. Returns the number
   of appends for each job. */
static double
appends_per_job (uint32_t burst)
{
  GArray *steps = make_steps (JOBS_PER_DAY, 1, burst);
  cb_logc_t *log = cb_logc_memory ();
  cb_writer_t *writers[ENTRIES];
  cb_msec_t now = 0;
  uint32_t stored = 0;
  uint64_t appends = 0;
  guint next = 0;

  for (uint32_t i = 0; i < ENTRIES; i++)
    {
      char *name = g_strdup_printf ("entry-%02u", i);

      writers[i] = cb_writer_new (log, "state", name, BATCH_MS, 2000, on_done, &stored);
      g_free (name);
    }
  while (stored < steps->len)
    {
      /* Nothing happens between two records once all earlier ones are stored. */
      if (stored == next)
        now = MAX (now, g_array_index (steps, step_t, next).at_ms);
      for (; next < steps->len && g_array_index (steps, step_t, next).at_ms <= now;
           next++)
        {
          const step_t *step = &g_array_index (steps, step_t, next);

          cb_writer_add (writers[step->writer], make_record (step), 0, now);
        }
      for (uint32_t i = 0; i < ENTRIES; i++)
        cb_writer_tick (writers[i], now);
      cb_logc_memory_dispatch (log);
      now += STEP_MS;
    }
  for (uint32_t i = 0; i < ENTRIES; i++)
    {
      appends += cb_writer_appends (writers[i]);
      cb_writer_free (writers[i]);
    }
  cb_logc_close (log);
  g_array_free (steps, TRUE);
  return (double)appends / JOBS_PER_DAY;
}

/* A log of DAYS days: one batch for each record, and snapshots as a scheduler writes
   them. */
typedef struct
{
  GPtrArray *batches; /* of GBytes; number 0 has offset 1 */
  GHashTable *sequences;
  cb_ledger_t *ledger; /* of the entry that writes the snapshots */
  uint64_t version;
  GBytes *snapshot;
  uint64_t snapshot_next;
} history_t;

static void
history_add (history_t *h, Cb__Record *record, const char *producer)
{
  Cb__RecordBatch batch = CB__RECORD_BATCH__INIT;
  uint64_t sequence =
      GPOINTER_TO_SIZE (g_hash_table_lookup (h->sequences, producer)) + 1;
  GBytes *packed;
  gsize size;
  const void *data;

  g_hash_table_insert (h->sequences, g_strdup (producer), GSIZE_TO_POINTER (sequence));
  cb_msg_set_string (&record->producer, producer);
  record->sequence = sequence;
  batch.n_records = 1;
  batch.records = &record;
  packed = cb_msg_pack (&batch.base);
  cb_msg_free (record);
  g_ptr_array_add (h->batches, packed);
  data = g_bytes_get_data (packed, &size);
  cb_ledger_apply (h->ledger, h->batches->len, data, size);
  if (h->batches->len % SNAPSHOT_EVERY != 0)
    return;
  if (h->snapshot != NULL)
    g_bytes_unref (h->snapshot);
  h->snapshot = cb_ledger_snapshot (h->ledger);
  h->snapshot_next = cb_ledger_next_offset (h->ledger);
}

static void
add_claims (history_t *h)
{
  for (uint32_t i = 0; i < CELLS; i++)
    {
      Cb__Record *record = cb_msg_new (&cb__record__descriptor);
      Cb__CellClaim *claim = body_of (record, CB__RECORD__BODY_CELL_CLAIM);
      char *cell = g_strdup_printf ("cell%u", i);

      cb_msg_set_string (&claim->cell, cell);
      cb_msg_set_string (&claim->entry, "entry-00");
      history_add (h, record, "entry-00");
      g_free (cell);
    }
}

static void
add_config (history_t *h, uint32_t workers)
{
  Cb__Config *config = bench_config (workers, workers * 15 / 13);
  Cb__Record *record = cb_msg_new (&cb__record__descriptor);

  record->body_case = CB__RECORD__BODY_CONFIG;
  record->config = cb_config_diff (NULL, config);
  record->config->replace_all = 1;
  history_add (h, record, "entry-00");
  h->version = h->batches->len;
  bench_require (cb_ledger_config (h->ledger) != NULL, "a configuration");
  cb_msg_free (config);
}

/* An operator changes the quota of one account. */
static void
add_change (history_t *h, uint32_t number)
{
  Cb__Record *record = cb_msg_new (&cb__record__descriptor);
  Cb__ConfigChange *change = body_of (record, CB__RECORD__BODY_CONFIG);
  Cb__AccountRule *rule = cb_msg_new (&cb__account_rule__descriptor);
  char *name = g_strdup_printf ("a%u", number % 550);

  change->base_version = h->version;
  cb_msg_set_string (&change->author, "operator");
  cb_msg_set_string (&rule->name, name);
  rule->quota_accelerators = 16 + number % 16;
  cb_msg_append ((void ***)&change->accounts, &change->n_accounts, rule);
  history_add (h, record, "entry-01");
  h->version = h->batches->len;
  g_free (name);
}

static void
history_open (history_t *h, uint32_t workers)
{
  memset (h, 0, sizeof *h);
  h->batches = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  h->sequences = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  h->ledger = cb_ledger_new ();
  add_claims (h);
  add_config (h, workers);
}

static void
history_close (history_t *h)
{
  g_ptr_array_free (h->batches, TRUE);
  g_hash_table_destroy (h->sequences);
  cb_ledger_free (h->ledger);
  if (h->snapshot != NULL)
    g_bytes_unref (h->snapshot);
}

static void
add_days (history_t *h, uint32_t days, uint32_t changes)
{
  GArray *steps = make_steps (days * JOBS_PER_DAY, days, 1);
  uint32_t changed = 0;

  for (guint i = 0; i < steps->len; i++)
    {
      const step_t *step = &g_array_index (steps, step_t, i);
      char *producer = g_strdup_printf ("entry-%02u", step->writer);

      history_add (h, make_record (step), producer);
      g_free (producer);
      for (; changed < (uint64_t)changes * (i + 1) / steps->len; changed++)
        add_change (h, changed);
    }
  g_array_free (steps, TRUE);
}

/* Folds from batch FROM on. Returns the bytes of the batches. */
static uint64_t
fold (cb_ledger_t *ledger, const history_t *h, guint from)
{
  uint64_t bytes = 0;

  for (guint i = from; i < h->batches->len; i++)
    {
      gsize size;
      const void *data = g_bytes_get_data (h->batches->pdata[i], &size);

      bench_require (cb_ledger_apply (ledger, i + 1, data, size) == CB_OK, "a fold");
      bytes += size;
    }
  return bytes;
}

static gboolean
same_state (const cb_ledger_t *a, const cb_ledger_t *b)
{
  GBytes *x = cb_ledger_snapshot (a);
  GBytes *y = cb_ledger_snapshot (b);
  gboolean same = g_bytes_equal (x, y);

  g_bytes_unref (x);
  g_bytes_unref (y);
  return same;
}

/* The whole log against the newest snapshot and the records after it. */
static void
replay (void)
{
  history_t h;
  cb_ledger_t *ledger = cb_ledger_new ();
  uint64_t bytes = 0;
  gsize size;
  const void *data;

  history_open (&h, 3900);
  add_days (&h, DAYS, DAYS * CHANGES_PER_DAY);
  for (guint i = 0; i < h.batches->len; i++)
    bytes += g_bytes_get_size (h.batches->pdata[i]);
  bench_info ("replay_without_snapshot_records", h.batches->len, "records");
  bench_info ("replay_without_snapshot_bytes", (double)bytes, "bytes");
  data = g_bytes_get_data (h.snapshot, &size);
  bench_require (cb_ledger_restore (ledger, data, size) == CB_OK, "a restore");
  bench_info ("replay_snapshot_bytes", (double)size, "bytes");
  bench_bound ("replay_after_snapshot_records",
               (double)(h.batches->len + 1 - h.snapshot_next), "records",
               SNAPSHOT_EVERY);
  bytes = fold (ledger, &h, (guint)h.snapshot_next - 1);
  bench_info ("replay_after_snapshot_bytes", (double)bytes, "bytes");
  bench_require (same_state (ledger, h.ledger), "the same state by both ways");
  cb_ledger_free (ledger);
  history_close (&h);
}

/* Cost of a folded record, of jobs or of configuration changes, with a state of
   WORKERS workers and DAYS days of ended jobs. */
static void
fold_cost (const char *name, uint32_t workers, uint32_t days, uint32_t jobs_days,
           uint32_t changes)
{
  history_t h;
  cb_ledger_t *ledger = cb_ledger_new ();
  guint first;

  history_open (&h, workers);
  if (days > 0)
    add_days (&h, days, 0);
  first = h.batches->len;
  if (jobs_days > 0)
    {
      GArray *steps = make_steps (JOBS_PER_DAY, jobs_days, 1);

      for (guint i = 0; i < steps->len; i++)
        {
          step_t step = g_array_index (steps, step_t, i);

          step.job += 1000000;
          history_add (&h, make_record (&step), "entry-02");
        }
      g_array_free (steps, TRUE);
    }
  for (uint32_t i = 0; i < changes; i++)
    add_change (&h, i);
  for (guint i = 0; i < first; i++)
    {
      gsize size;
      const void *data = g_bytes_get_data (h.batches->pdata[i], &size);

      cb_ledger_apply (ledger, i + 1, data, size);
    }
  bench_resume ();
  fold (ledger, &h, first);
  bench_pause ();
  bench_info (name, bench_instructions () / (h.batches->len - first),
              "instructions/record");
  cb_ledger_free (ledger);
  history_close (&h);
}

int
main (int argc, char **argv)
{
  bench_init (argc, argv);
  if (bench_counting ())
    {
      fold_cost ("fold_job_record", 390, 1, 1, 0);
      fold_cost ("fold_job_record_after_7_days", 390, DAYS, 1, 0);
      fold_cost ("fold_config_record_975_workers", 975, 0, 0, 20);
      fold_cost ("fold_config_record_3900_workers", 3900, 0, 0, 20);
      return 0;
    }
  bench_bound ("appends_per_job", appends_per_job (1), "appends/job", BOUND_APPENDS);
  bench_bound ("appends_per_job_bursts_of_100", appends_per_job (100), "appends/job",
               BOUND_APPENDS);
  fflush (stdout);
  replay ();
  return 0;
}
