/* Counts the records that the ledger applies more than once when responses to appends
   are lost and the writers repeat the appends: with the producer id and sequence number
   of each record, and without them. The product has no switch to turn these off: for
   the second variant, this benchmark changes them in a copy of the records. */
#include "bench/lib/bench.h"

#include <stdio.h>
#include <string.h>

#include "ledger/fns.h"
#include "logc/fns.h"

#define WRITERS 4
#define JOBS 2000
#define INSTANCES 20
#define TICK_MS 10
#define SEED 42
#define BATCH_MS 20
/* Longer than a run: no writer gives up a record. */
#define GIVE_UP_MS (INT64_C (1) << 40)

/* A log in memory that stores all appends, but loses a share of the responses. */
typedef struct
{
  cb_logc_t base;
  GPtrArray *batches; /* of GBytes; index I has offset I + 1 */
  GRand *random;
  double loss_rate; /* share of the responses that are lost, 0 to 1 */
} lossy_log_t;

static void
lossy_append (cb_logc_t *base, const char *stream, const void *data, size_t size,
              cb_logc_append_done_t done, void *ctx)
{
  lossy_log_t *log = (lossy_log_t *)base;

  (void)stream;
  g_ptr_array_add (log->batches, g_bytes_new (data, size));
  if (g_rand_double (log->random) < log->loss_rate)
    done (ctx, CB_LOGC_UNAVAILABLE, 0);
  else
    done (ctx, CB_OK, log->batches->len);
}

static const cb_logc_ops_t lossy_ops = { lossy_append, NULL, NULL };

static Cb__Record *
new_record (Cb__Record__BodyCase body_case, uint64_t now_ms)
{
  const ProtobufCFieldDescriptor *field =
      protobuf_c_message_descriptor_get_field (&cb__record__descriptor, body_case);
  Cb__Record *record = cb_msg_new (&cb__record__descriptor);

  record->body_case = body_case;
  /* All members of the union are pointers to messages. */
  record->config = cb_msg_new (field->descriptor);
  record->time_ms = now_ms;
  return record;
}

static Cb__Record *
make_submit (uint32_t number, uint64_t now_ms)
{
  Cb__Record *record = new_record (CB__RECORD__BODY_JOB_SUBMIT, now_ms);
  char *key = g_strdup_printf ("job-%u", number);

  cb_msg_set_string (&record->job_submit->account, "lab-glass");
  cb_msg_set_string (&record->job_submit->key, key);
  cb_msg_set_string (&record->job_submit->cell, "cell");
  record->job_submit->members = 1;
  g_free (key);
  return record;
}

static Cb__Record *
make_start (uint32_t number, uint64_t now_ms)
{
  Cb__Record *record = new_record (CB__RECORD__BODY_JOB_START, now_ms);
  char *key = g_strdup_printf ("job-%u", number);

  cb_msg_set_string (&record->job_start->account, "lab-glass");
  cb_msg_set_string (&record->job_start->key, key);
  cb_msg_set_string (&record->job_start->cell, "cell");
  record->job_start->attempt = 1;
  record->job_start->epoch = 1;
  g_free (key);
  return record;
}

static Cb__Record *
make_cancel (uint32_t number, uint64_t now_ms)
{
  Cb__Record *record = new_record (CB__RECORD__BODY_JOB_CANCEL, now_ms);
  char *key = g_strdup_printf ("job-%u", number);

  cb_msg_set_string (&record->job_cancel->account, "lab-glass");
  cb_msg_set_string (&record->job_cancel->key, key);
  cb_msg_set_string (&record->job_cancel->cell, "cell");
  g_free (key);
  return record;
}

static Cb__Record *
make_end (uint32_t number, uint64_t now_ms)
{
  Cb__Record *record = new_record (CB__RECORD__BODY_JOB_END, now_ms);
  char *key = g_strdup_printf ("job-%u", number);

  cb_msg_set_string (&record->job_end->account, "lab-glass");
  cb_msg_set_string (&record->job_end->key, key);
  cb_msg_set_string (&record->job_end->cell, "cell");
  record->job_end->state = CB__JOB_STATE__JOB_DONE;
  record->job_end->epoch = 1;
  g_free (key);
  return record;
}

/* Returns a record that drains an instance, or ends its drain, by turns. */
static Cb__Record *
make_drain (uint32_t number, uint64_t now_ms)
{
  Cb__Record *record = new_record (CB__RECORD__BODY_DRAIN, now_ms);
  char *name = g_strdup_printf ("instance-%u", number % INSTANCES);

  cb_msg_set_string (&record->drain->instance, name);
  record->drain->on = number / INSTANCES % 2 == 0;
  g_free (name);
  return record;
}

static void
ignore_result (void *ctx, uint64_t tag, int err, uint64_t offset)
{
  (void)ctx;
  (void)tag;
  (void)err;
  (void)offset;
}

/* Writes the records of JOBS jobs, one submitted in each tick of 10 ms. A job starts
   100 ticks after it was submitted and ends after 400; one in ten is cancelled in
   between. Every 5 ticks the drain of an instance begins or ends. The submissions,
   cancellations and drains are spread over the writers. */
static void
write_log (lossy_log_t *log)
{
  cb_writer_t *writers[WRITERS];
  uint64_t next_tick = 0;
  gboolean pending = TRUE;

  for (uint32_t i = 0; i < WRITERS; i++)
    {
      char *name = g_strdup_printf ("entry-%u", i);

      writers[i] = cb_writer_new (&log->base, "state", name, BATCH_MS, GIVE_UP_MS,
                                  ignore_result, NULL);
      g_free (name);
    }
  for (cb_msec_t now_ms = 1; pending; now_ms += TICK_MS)
    {
      uint32_t tick = (uint32_t)next_tick++;

      if (tick == 0)
        {
          Cb__Record *claim = new_record (CB__RECORD__BODY_CELL_CLAIM, 1);

          cb_msg_set_string (&claim->cell_claim->cell, "cell");
          cb_msg_set_string (&claim->cell_claim->entry, "entry-0");
          cb_writer_add (writers[0], claim, 0, now_ms);
        }
      if (tick >= 10 && tick < JOBS + 10)
        cb_writer_add (writers[tick % WRITERS],
                       make_submit (tick - 10, (uint64_t)now_ms), 0, now_ms);
      if (tick >= 110 && tick < JOBS + 110)
        cb_writer_add (writers[0], make_start (tick - 110, (uint64_t)now_ms), 0,
                       now_ms);
      if (tick >= 130 && tick < JOBS + 130 && tick % 10 == 0)
        cb_writer_add (writers[tick / 10 % WRITERS],
                       make_cancel (tick - 130, (uint64_t)now_ms), 0, now_ms);
      if (tick >= 410 && tick < JOBS + 410)
        cb_writer_add (writers[0], make_end (tick - 410, (uint64_t)now_ms), 0, now_ms);
      if (tick >= 10 && tick < JOBS + 10 && tick % 5 == 0)
        cb_writer_add (writers[tick / 5 % WRITERS],
                       make_drain (tick / 5, (uint64_t)now_ms), 0, now_ms);
      pending = tick < JOBS + 410;
      for (uint32_t i = 0; i < WRITERS; i++)
        {
          cb_writer_tick (writers[i], now_ms);
          pending |= cb_writer_pending (writers[i]) > 0;
        }
    }
  for (uint32_t i = 0; i < WRITERS; i++)
    cb_writer_free (writers[i]);
}

/* Results of the ledger for each record. A record's id is the producer and the sequence
   number that its writer gave it. */
typedef struct
{
  GPtrArray *ids;      /* of char *: the records of the batch that is being applied */
  GHashTable *applied; /* id -> how often it was applied */
  GHashTable *last_result; /* id -> last result */
} results_t;

static void
on_record_applied (void *ctx, uint64_t offset, uint32_t index, const Cb__Record *record,
                   int result)
{
  results_t *results = ctx;
  const char *id = results->ids->pdata[index];

  (void)offset;
  (void)record;
  if (result == CB_OK)
    g_hash_table_insert (
        results->applied, g_strdup (id),
        GSIZE_TO_POINTER (
            GPOINTER_TO_SIZE (g_hash_table_lookup (results->applied, id)) + 1));
  g_hash_table_insert (results->last_result, g_strdup (id), GINT_TO_POINTER (result));
}

/* Applies LOG to LEDGER. Without KEEP_IDS each record gets a sequence number of its
   own, so that a repeated one looks new. */
static void
apply_log (const lossy_log_t *log, gboolean keep_ids, cb_ledger_t *ledger,
           results_t *results)
{
  uint64_t sequence = 0;

  cb_ledger_set_observer (ledger, on_record_applied, results);
  for (guint i = 0; i < log->batches->len; i++)
    {
      gsize size;
      const uint8_t *data = g_bytes_get_data (log->batches->pdata[i], &size);
      Cb__RecordBatch *batch = cb__record_batch__unpack (NULL, size, data);
      GBytes *packed;

      g_ptr_array_set_size (results->ids, 0);
      for (size_t k = 0; k < batch->n_records; k++)
        {
          Cb__Record *record = batch->records[k];

          g_ptr_array_add (results->ids,
                           g_strdup_printf ("%s %" G_GUINT64_FORMAT, record->producer,
                                            record->sequence));
          if (keep_ids)
            continue;
          cb_msg_set_string (&record->producer, "any");
          record->sequence = ++sequence;
        }
      packed = cb_msg_pack (&batch->base);
      data = g_bytes_get_data (packed, &size);
      cb_ledger_apply (ledger, i + 1, data, size);
      g_bytes_unref (packed);
      cb_msg_free (batch);
    }
}

static void
results_init (results_t *results)
{
  results->ids = g_ptr_array_new_with_free_func (g_free);
  results->applied = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  results->last_result = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
results_clear (results_t *results)
{
  g_ptr_array_free (results->ids, TRUE);
  g_hash_table_destroy (results->applied);
  g_hash_table_destroy (results->last_result);
}

/* Returns the number of records that were applied more than once. */
static double
count_repeated (const results_t *results)
{
  GHashTableIter it;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&it, results->applied);
  while (g_hash_table_iter_next (&it, NULL, &value))
    count += GPOINTER_TO_SIZE (value) > 1;
  return count;
}

/* Returns the number of records that were applied, but whose last result is a
   rejection, which is what their writer sees. */
static double
count_rejected (const results_t *results)
{
  GHashTableIter it;
  gpointer key, value;
  uint32_t count = 0;

  g_hash_table_iter_init (&it, results->last_result);
  while (g_hash_table_iter_next (&it, &key, &value))
    count += GPOINTER_TO_INT (value) != CB_OK &&
             GPOINTER_TO_INT (value) != CB_LEDGER_DUPLICATE &&
             g_hash_table_contains (results->applied, key);
  return count;
}

/* Returns the number of instances that are draining in only one of two states. */
static double
count_wrong_drains (const cb_ledger_t *a, const cb_ledger_t *b)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      char *name = g_strdup_printf ("instance-%u", i);

      count += cb_ledger_is_draining (a, name) != cb_ledger_is_draining (b, name);
      g_free (name);
    }
  return count;
}

static void
print_count (const char *variant, const char *count_name, double permille,
             double records, gboolean must_be_zero)
{
  char *name = g_strdup_printf ("producer_%s_%s_at_%.0f_permille", variant, count_name,
                                permille);

  if (must_be_zero)
    bench_check_bound (name, records, "records", 0);
  else
    bench_print_figure (name, records, "records");
  g_free (name);
}

/* Prints the counts for a log that loses the share LOSS_RATE of its responses. The
   names of the figures have "numbered" for records with producer id and sequence
   number, and "bare" for records without them. */
static void
measure (double loss_rate)
{
  lossy_log_t log = { .base = { &lossy_ops }, .loss_rate = loss_rate };
  cb_ledger_t *ledgers[2];
  results_t results[2];

  log.batches = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  log.random = g_rand_new_with_seed (SEED);
  write_log (&log);
  for (int keep_ids = 0; keep_ids < 2; keep_ids++)
    {
      ledgers[keep_ids] = cb_ledger_new ();
      results_init (&results[keep_ids]);
      apply_log (&log, keep_ids, ledgers[keep_ids], &results[keep_ids]);
    }
  print_count ("numbered", "repeated", loss_rate * 1000, count_repeated (&results[1]),
               TRUE);
  print_count ("numbered", "refused", loss_rate * 1000, count_rejected (&results[1]),
               TRUE);
  print_count ("bare", "repeated", loss_rate * 1000, count_repeated (&results[0]),
               FALSE);
  print_count ("bare", "refused", loss_rate * 1000, count_rejected (&results[0]),
               FALSE);
  print_count ("bare", "wrong_drains", loss_rate * 1000,
               count_wrong_drains (ledgers[0], ledgers[1]), FALSE);
  print_count ("log", "records", loss_rate * 1000,
               g_hash_table_size (results[1].last_result), FALSE);
  for (int keep_ids = 0; keep_ids < 2; keep_ids++)
    {
      cb_ledger_free (ledgers[keep_ids]);
      results_clear (&results[keep_ids]);
    }
  g_ptr_array_free (log.batches, TRUE);
  g_rand_free (log.random);
}

int
main (int argc, char **argv)
{
  static const double loss_rates[] = { 0, 0.01, 0.1, 0.5 };

  bench_init (argc, argv);
  for (size_t i = 0; i < G_N_ELEMENTS (loss_rates); i++)
    measure (loss_rates[i]);
  return 0;
}
