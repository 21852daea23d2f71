/* Load on the log: appends for each job; records and bytes that a starting entry reads,
   with and without a snapshot; and instructions to apply a record. */
#include "bench/lib/bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ledger/fns.h"
#include "logc/fns.h"

#define JOBS_PER_DAY 2000
#define CONFIG_CHANGES_PER_DAY 1600
#define DAYS 7
#define DAY_MS INT64_C (86400000)
#define ENTRIES 30
#define CELLS 4
#define BATCH_MS 20
#define GIVE_UP_MS 2000
#define TICK_MS 10
#define RECORDS_PER_SNAPSHOT 5000
#define BOUND_APPENDS_PER_JOB 4.0
#define JOB_RUN_MS 7200000
#define SEED 42

/* A record to be written at AT_MS by entry number WRITER. */
typedef struct
{
  cb_msec_t at_ms;
  uint32_t job;
  uint32_t writer;
  Cb__Record__BodyCase body;
} planned_record_t;

/* Sets the body of RECORD to a new message of type BODY_CASE, and returns it. */
static void *
set_body (Cb__Record *record, Cb__Record__BodyCase body_case)
{
  const ProtobufCFieldDescriptor *field =
      protobuf_c_message_descriptor_get_field (&cb__record__descriptor, body_case);

  record->body_case = body_case;
  /* All members of the union are pointers to messages. */
  record->config = cb_msg_new (field->descriptor);
  return record->config;
}

static Cb__Record *
make_record (const planned_record_t *planned)
{
  Cb__Record *record = cb_msg_new (&cb__record__descriptor);
  char *account = g_strdup_printf ("account-%u", planned->job % BENCH_ACCOUNTS);
  char *key = g_strdup_printf ("job-%u", planned->job);
  char *cell = g_strdup_printf ("cell%u", planned->job % CELLS);
  uint64_t epoch = 1 + planned->job % CELLS;

  record->time_ms = (uint64_t)planned->at_ms;
  if (planned->body == CB__RECORD__BODY_JOB_SUBMIT)
    {
      Cb__Job *job = set_body (record, planned->body);

      cb_msg_set_string (&job->account, account);
      cb_msg_set_string (&job->key, key);
      cb_msg_set_string (&job->kind, "edge-profile");
      cb_msg_set_string (&job->cell, cell);
      cb_msg_set_string (&job->command, "edge-profile --sheet 4711 --quality high");
      job->members = 4;
      job->accelerators = 1;
      job->cores = 4;
      job->memory_gb = 8;
      job->run_ms = JOB_RUN_MS;
      job->submitted_ms = record->time_ms;
    }
  else if (planned->body == CB__RECORD__BODY_JOB_START)
    {
      Cb__JobStart *start = set_body (record, planned->body);

      cb_msg_set_string (&start->account, account);
      cb_msg_set_string (&start->key, key);
      cb_msg_set_string (&start->cell, cell);
      start->attempt = 1;
      start->epoch = epoch;
    }
  else
    {
      Cb__JobEnd *end = set_body (record, planned->body);

      cb_msg_set_string (&end->account, account);
      cb_msg_set_string (&end->key, key);
      cb_msg_set_string (&end->cell, cell);
      end->state = CB__JOB_STATE__JOB_DONE;
      end->epoch = epoch;
      end->run_ms = JOB_RUN_MS;
    }
  g_free (account);
  g_free (key);
  g_free (cell);
  return record;
}

static void
plan_record (GArray *plan, cb_msec_t at_ms, uint32_t job, uint32_t writer,
             Cb__Record__BodyCase body)
{
  planned_record_t planned = { at_ms, job, writer, body };

  g_array_append_val (plan, planned);
}

static gint
compare_planned_records (gconstpointer a, gconstpointer b)
{
  const planned_record_t *x = a;
  const planned_record_t *y = b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->job != y->job ? (x->job < y->job ? -1 : 1) : (int)x->body - (int)y->body;
}

/* Returns the records of JOBS jobs over DAYS days in order of time. Jobs are submitted
   in groups of BURST within one second, each job at a random entry. One job in five is
   not repeatable, so that its start is recorded too. */
static GArray *
plan_records (uint32_t jobs, uint32_t days, uint32_t burst)
{
  GArray *plan = g_array_new (FALSE, FALSE, sizeof (planned_record_t));
  GRand *random = g_rand_new_with_seed (SEED);
  cb_msec_t base = 0;

  for (uint32_t i = 0; i < jobs; i++)
    {
      cb_msec_t at;

      if (i % burst == 0)
        base = (cb_msec_t)(g_rand_double (random) * (double)(days * DAY_MS));
      at = base + (burst > 1 ? g_rand_int_range (random, 0, 1000) : 0);
      plan_record (plan, at, i, (uint32_t)g_rand_int_range (random, 0, ENTRIES),
                   CB__RECORD__BODY_JOB_SUBMIT);
      if (i % 5 == 0)
        plan_record (plan, at + 500, i, i % CELLS, CB__RECORD__BODY_JOB_START);
      plan_record (plan, at + g_rand_int_range (random, 60000, 14400000), i, i % CELLS,
                   CB__RECORD__BODY_JOB_END);
    }
  g_rand_free (random);
  g_array_sort (plan, compare_planned_records);
  return plan;
}

static void
on_append_done (void *ctx, uint64_t tag, int err, uint64_t offset)
{
  (void)tag;
  (void)offset;
  bench_require (err == CB_OK, "an append that succeeds");
  ++*(uint32_t *)ctx;
}

/* Writes the records of one day by the writers of all entries. Returns the number of
   appends for each job; a writer puts the records of BATCH_MS into one append. */
static double
appends_per_job (uint32_t burst)
{
  GArray *plan = plan_records (JOBS_PER_DAY, 1, burst);
  cb_logc_t *log = cb_logc_memory ();
  cb_writer_t *writers[ENTRIES];
  cb_msec_t now_ms = 0;
  uint32_t stored_count = 0;
  uint64_t appends = 0;
  guint next = 0;

  for (uint32_t i = 0; i < ENTRIES; i++)
    {
      char *name = g_strdup_printf ("entry-%02u", i);

      writers[i] = cb_writer_new (log, "state", name, BATCH_MS, GIVE_UP_MS,
                                  on_append_done, &stored_count);
      g_free (name);
    }
  while (stored_count < plan->len)
    {
      /* When no append is pending, virtual time skips to the next record. */
      if (stored_count == next)
        now_ms = MAX (now_ms, g_array_index (plan, planned_record_t, next).at_ms);
      for (; next < plan->len &&
             g_array_index (plan, planned_record_t, next).at_ms <= now_ms;
           next++)
        {
          const planned_record_t *planned =
              &g_array_index (plan, planned_record_t, next);

          cb_writer_add (writers[planned->writer], make_record (planned), 0, now_ms);
        }
      for (uint32_t i = 0; i < ENTRIES; i++)
        cb_writer_tick (writers[i], now_ms);
      cb_logc_memory_dispatch (log);
      now_ms += TICK_MS;
    }
  for (uint32_t i = 0; i < ENTRIES; i++)
    {
      appends += cb_writer_appends (writers[i]);
      cb_writer_free (writers[i]);
    }
  cb_logc_close (log);
  g_array_free (plan, TRUE);
  return (double)appends / JOBS_PER_DAY;
}

/* A log with one batch for each record, and its newest snapshot. */
typedef struct
{
  GPtrArray *batches;    /* of GBytes; index I has offset I + 1 */
  GHashTable *sequences; /* producer -> its last sequence number */
  cb_ledger_t *ledger;   /* of the entry that writes the snapshots */
  uint64_t config_version;
  GBytes *snapshot;
  uint64_t snapshot_next; /* offset of the first record that it does not contain */
} history_t;

/* Appends RECORD of PRODUCER, and frees it. */
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
  if (h->batches->len % RECORDS_PER_SNAPSHOT != 0)
    return;
  if (h->snapshot != NULL)
    g_bytes_unref (h->snapshot);
  h->snapshot = cb_ledger_snapshot (h->ledger);
  h->snapshot_next = cb_ledger_next_offset (h->ledger);
}

static void
add_cell_claims (history_t *h)
{
  for (uint32_t i = 0; i < CELLS; i++)
    {
      Cb__Record *record = cb_msg_new (&cb__record__descriptor);
      Cb__CellClaim *claim = set_body (record, CB__RECORD__BODY_CELL_CLAIM);
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
  Cb__Config *config = bench_config_new (workers, workers * 15 / 13);
  Cb__Record *record = cb_msg_new (&cb__record__descriptor);

  record->body_case = CB__RECORD__BODY_CONFIG;
  record->config = cb_config_diff (NULL, config);
  record->config->replace_all = 1;
  history_add (h, record, "entry-00");
  h->config_version = h->batches->len;
  bench_require (cb_ledger_config (h->ledger) != NULL, "a configuration");
  cb_msg_free (config);
}

/* Adds the record of an operator's change to the quota of one account. */
static void
add_quota_change (history_t *h, uint32_t number)
{
  Cb__Record *record = cb_msg_new (&cb__record__descriptor);
  Cb__ConfigChange *change = set_body (record, CB__RECORD__BODY_CONFIG);
  Cb__AccountRule *rule = cb_msg_new (&cb__account_rule__descriptor);
  char *name = g_strdup_printf ("a%u", number % BENCH_ACCOUNTS);

  change->base_version = h->config_version;
  cb_msg_set_string (&change->author, "operator");
  cb_msg_set_string (&rule->name, name);
  rule->quota_accelerators = 16 + number % 16;
  cb_msg_append ((void ***)&change->accounts, &change->n_accounts, rule);
  history_add (h, record, "entry-01");
  h->config_version = h->batches->len;
  g_free (name);
}

static void
history_open (history_t *h, uint32_t workers)
{
  memset (h, 0, sizeof *h);
  h->batches = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  h->sequences = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  h->ledger = cb_ledger_new ();
  add_cell_claims (h);
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

/* Adds the records of the jobs of DAYS days, with CONFIG_CHANGES configuration changes
   spread evenly among them. */
static void
add_job_days (history_t *h, uint32_t days, uint32_t config_changes)
{
  GArray *plan = plan_records (days * JOBS_PER_DAY, days, 1);
  uint32_t changed = 0;

  for (guint i = 0; i < plan->len; i++)
    {
      const planned_record_t *planned = &g_array_index (plan, planned_record_t, i);
      char *producer = g_strdup_printf ("entry-%02u", planned->writer);

      history_add (h, make_record (planned), producer);
      g_free (producer);
      for (; changed < (uint64_t)config_changes * (i + 1) / plan->len; changed++)
        add_quota_change (h, changed);
    }
  g_array_free (plan, TRUE);
}

/* Applies the batches from index FROM on to LEDGER. Returns their bytes. */
static uint64_t
apply_batches (cb_ledger_t *ledger, const history_t *h, guint from)
{
  uint64_t bytes = 0;

  for (guint i = from; i < h->batches->len; i++)
    {
      gsize size;
      const void *data = g_bytes_get_data (h->batches->pdata[i], &size);

      bench_require (cb_ledger_apply (ledger, i + 1, data, size) == CB_OK,
                     "a batch that is applied");
      bytes += size;
    }
  return bytes;
}

static gboolean
states_equal (const cb_ledger_t *a, const cb_ledger_t *b)
{
  GBytes *x = cb_ledger_snapshot (a);
  GBytes *y = cb_ledger_snapshot (b);
  gboolean same = g_bytes_equal (x, y);

  g_bytes_unref (x);
  g_bytes_unref (y);
  return same;
}

/* Compares what a starting entry reads: the whole log, or the newest snapshot and the
   records after it. */
static void
measure_replay (void)
{
  history_t h;
  cb_ledger_t *ledger = cb_ledger_new ();
  uint64_t bytes = 0;
  gsize size;
  const void *data;

  history_open (&h, 3900);
  add_job_days (&h, DAYS, DAYS * CONFIG_CHANGES_PER_DAY);
  for (guint i = 0; i < h.batches->len; i++)
    bytes += g_bytes_get_size (h.batches->pdata[i]);
  bench_print_figure ("replay_without_snapshot_records", h.batches->len, "records");
  bench_print_figure ("replay_without_snapshot_bytes", (double)bytes, "bytes");
  data = g_bytes_get_data (h.snapshot, &size);
  bench_require (cb_ledger_restore (ledger, data, size) == CB_OK,
                 "a snapshot that can be restored");
  bench_print_figure ("replay_snapshot_bytes", (double)size, "bytes");
  bench_check_bound ("replay_after_snapshot_records",
                     (double)(h.batches->len + 1 - h.snapshot_next), "records",
                     RECORDS_PER_SNAPSHOT);
  bytes = apply_batches (ledger, &h, (guint)h.snapshot_next - 1);
  bench_print_figure ("replay_after_snapshot_bytes", (double)bytes, "bytes");
  bench_require (states_equal (ledger, h.ledger),
                 "equal states from the whole log and from the snapshot");
  cb_ledger_free (ledger);
  history_close (&h);
}

/* Prints the instructions to apply a record, as the mean over the jobs of MEASURED_DAYS
   days and CONFIG_CHANGES configuration changes. The state that they are applied to has
   WORKERS workers and the ended jobs of DAYS days. */
static void
measure_apply_cost (const char *name, uint32_t workers, uint32_t days,
                    uint32_t measured_days, uint32_t config_changes)
{
  history_t h;
  cb_ledger_t *ledger = cb_ledger_new ();
  guint first;

  history_open (&h, workers);
  if (days > 0)
    add_job_days (&h, days, 0);
  first = h.batches->len;
  if (measured_days > 0)
    {
      GArray *plan = plan_records (JOBS_PER_DAY, measured_days, 1);

      for (guint i = 0; i < plan->len; i++)
        {
          planned_record_t planned = g_array_index (plan, planned_record_t, i);

          /* Beyond the numbers of the earlier jobs. */
          planned.job += 1000000;
          history_add (&h, make_record (&planned), "entry-02");
        }
      g_array_free (plan, TRUE);
    }
  for (uint32_t i = 0; i < config_changes; i++)
    add_quota_change (&h, i);
  for (guint i = 0; i < first; i++)
    {
      gsize size;
      const void *data = g_bytes_get_data (h.batches->pdata[i], &size);

      cb_ledger_apply (ledger, i + 1, data, size);
    }
  bench_resume ();
  apply_batches (ledger, &h, first);
  bench_pause ();
  bench_print_figure (name, bench_instructions () / (h.batches->len - first),
                      "instructions/record");
  cb_ledger_free (ledger);
  history_close (&h);
}

int
main (int argc, char **argv)
{
  bench_init (argc, argv);
  if (bench_is_counting ())
    {
      measure_apply_cost ("fold_job_record", 390, 1, 1, 0);
      measure_apply_cost ("fold_job_record_after_7_days", 390, DAYS, 1, 0);
      measure_apply_cost ("fold_config_record_975_workers", 975, 0, 0, 20);
      measure_apply_cost ("fold_config_record_3900_workers", 3900, 0, 0, 20);
      return 0;
    }
  bench_check_bound ("appends_per_job", appends_per_job (1), "appends/job",
                     BOUND_APPENDS_PER_JOB);
  bench_check_bound ("appends_per_job_bursts_of_100", appends_per_job (100),
                     "appends/job", BOUND_APPENDS_PER_JOB);
  fflush (stdout);
  measure_replay ();
  return 0;
}
