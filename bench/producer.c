/* Records that are applied more than once when answers to appends are lost: with the
   producer's id and sequence number, and without them. The second variant changes the
   fold's input here, in a copy; the product has no such switch. */
#include "bench/lib/bench.h"

#include <stdio.h>
#include <string.h>

#include "ledger/fns.h"
#include "logc/fns.h"

#define WRITERS 4
#define JOBS 2000
#define INSTANCES 20
#define STEP_MS 10
#define SEED 42

/* A log in memory that loses answers at a rate. */
typedef struct
{
  cb_logc_t base;
  GPtrArray *batches; /* of GBytes; number 0 has offset 1 */
  GRand *random;
  double rate;
} lossy_log_t;

static void
lossy_append (cb_logc_t *base, const char *stream, const void *data, size_t size,
              cb_logc_append_done_t done, void *ctx)
{
  lossy_log_t *log = (lossy_log_t *)base;

  (void)stream;
  g_ptr_array_add (log->batches, g_bytes_new (data, size));
  if (g_rand_double (log->random) < log->rate)
    done (ctx, CB_LOGC_UNAVAILABLE, 0);
  else
    done (ctx, CB_OK, log->batches->len);
}

static const cb_logc_ops_t lossy_ops = { lossy_append, NULL, NULL };

static Cb__Record *
new_record (Cb__Record__BodyCase body_case, uint64_t now)
{
  const ProtobufCFieldDescriptor *field =
      protobuf_c_message_descriptor_get_field (&cb__record__descriptor, body_case);
  Cb__Record *record = cb_msg_new (&cb__record__descriptor);

  record->body_case = body_case;
  record->config = cb_msg_new (field->descriptor);
  record->time_ms = now;
  return record;
}

static Cb__Record *
make_submit (uint32_t number, uint64_t now)
{
  Cb__Record *record = new_record (CB__RECORD__BODY_JOB_SUBMIT, now);
  char *key = g_strdup_printf ("job-%u", number);

  cb_msg_set_string (&record->job_submit->account, "lab-glass");
  cb_msg_set_string (&record->job_submit->key, key);
  cb_msg_set_string (&record->job_submit->cell, "cell");
  record->job_submit->members = 1;
  g_free (key);
  return record;
}

static Cb__Record *
make_start (uint32_t number, uint64_t now)
{
  Cb__Record *record = new_record (CB__RECORD__BODY_JOB_START, now);
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
make_cancel (uint32_t number, uint64_t now)
{
  Cb__Record *record = new_record (CB__RECORD__BODY_JOB_CANCEL, now);
  char *key = g_strdup_printf ("job-%u", number);

  cb_msg_set_string (&record->job_cancel->account, "lab-glass");
  cb_msg_set_string (&record->job_cancel->key, key);
  cb_msg_set_string (&record->job_cancel->cell, "cell");
  g_free (key);
  return record;
}

static Cb__Record *
make_end (uint32_t number, uint64_t now)
{
  Cb__Record *record = new_record (CB__RECORD__BODY_JOB_END, now);
  char *key = g_strdup_printf ("job-%u", number);

  cb_msg_set_string (&record->job_end->account, "lab-glass");
  cb_msg_set_string (&record->job_end->key, key);
  cb_msg_set_string (&record->job_end->cell, "cell");
  record->job_end->state = CB__JOB_STATE__JOB_DONE;
  record->job_end->epoch = 1;
  g_free (key);
  return record;
}

/* Drain of an instance, on and off by turns, written by one entry after another. */
static Cb__Record *
make_drain (uint32_t number, uint64_t now)
{
  Cb__Record *record = new_record (CB__RECORD__BODY_DRAIN, now);
  char *name = g_strdup_printf ("instance-%u", number % INSTANCES);

  cb_msg_set_string (&record->drain->instance, name);
  record->drain->on = number / INSTANCES % 2 == 0;
  g_free (name);
  return record;
}

static void
on_done (void *ctx, uint64_t tag, int err, uint64_t offset)
{
  (void)ctx;
  (void)tag;
  (void)err;
  (void)offset;
}

/* Writes the records of JOBS jobs. A job is submitted, started 100 ms later, in one of
   ten cases cancelled, and ends after 400 ms; every 50 ms an instance is drained or
   taken back. */
static void
write_log (lossy_log_t *log)
{
  cb_writer_t *writers[WRITERS];
  uint64_t next = 0;
  gboolean pending = TRUE;

  for (uint32_t i = 0; i < WRITERS; i++)
    {
      char *name = g_strdup_printf ("entry-%u", i);

      writers[i] = cb_writer_new (&log->base, "state", name, 20, INT64_C (1) << 40,
                                  on_done, NULL);
      g_free (name);
    }
  for (cb_msec_t now = 1; pending; now += STEP_MS)
    {
      uint32_t n = (uint32_t)next++;

      if (n == 0)
        {
          Cb__Record *claim = new_record (CB__RECORD__BODY_CELL_CLAIM, 1);

          cb_msg_set_string (&claim->cell_claim->cell, "cell");
          cb_msg_set_string (&claim->cell_claim->entry, "entry-0");
          cb_writer_add (writers[0], claim, 0, now);
        }
      if (n >= 10 && n < JOBS + 10)
        cb_writer_add (writers[n % WRITERS], make_submit (n - 10, (uint64_t)now), 0,
                       now);
      if (n >= 110 && n < JOBS + 110)
        cb_writer_add (writers[0], make_start (n - 110, (uint64_t)now), 0, now);
      if (n >= 130 && n < JOBS + 130 && n % 10 == 0)
        cb_writer_add (writers[n / 10 % WRITERS], make_cancel (n - 130, (uint64_t)now),
                       0, now);
      if (n >= 410 && n < JOBS + 410)
        cb_writer_add (writers[0], make_end (n - 410, (uint64_t)now), 0, now);
      if (n >= 10 && n < JOBS + 10 && n % 5 == 0)
        cb_writer_add (writers[n / 5 % WRITERS], make_drain (n / 5, (uint64_t)now), 0,
                       now);
      pending = n < JOBS + 410;
      for (uint32_t i = 0; i < WRITERS; i++)
        {
          cb_writer_tick (writers[i], now);
          pending |= cb_writer_pending (writers[i]) > 0;
        }
    }
  for (uint32_t i = 0; i < WRITERS; i++)
    cb_writer_free (writers[i]);
}

/* What the fold made of each record, known by the numbers its writer gave it. */
typedef struct
{
  GPtrArray *ids;       /* of char, of the batch that is folded */
  GHashTable *applied;  /* id -> times */
  GHashTable *answered; /* id -> last result */
} results_t;

static void
on_folded (void *ctx, uint64_t offset, uint32_t index, const Cb__Record *record,
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
  g_hash_table_insert (results->answered, g_strdup (id), GINT_TO_POINTER (result));
}

/* Folds LOG into LEDGER; without NUMBERS each record looks like a new one. */
static void
fold_log (const lossy_log_t *log, gboolean numbers, cb_ledger_t *ledger,
          results_t *results)
{
  uint64_t sequence = 0;

  cb_ledger_set_observer (ledger, on_folded, results);
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
          if (numbers)
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
  results->answered = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
results_clear (results_t *results)
{
  g_ptr_array_free (results->ids, TRUE);
  g_hash_table_destroy (results->applied);
  g_hash_table_destroy (results->answered);
}

/* Records applied more than once. */
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

/* Records that were applied, but whose writer learns of a refusal. */
static double
count_refused (const results_t *results)
{
  GHashTableIter it;
  gpointer key, value;
  uint32_t count = 0;

  g_hash_table_iter_init (&it, results->answered);
  while (g_hash_table_iter_next (&it, &key, &value))
    count += GPOINTER_TO_INT (value) != CB_OK &&
             GPOINTER_TO_INT (value) != CB_LEDGER_DUPLICATE &&
             g_hash_table_contains (results->applied, key);
  return count;
}

/* Instances whose drain differs between two states. */
static double
count_drains (const cb_ledger_t *a, const cb_ledger_t *b)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      char *name = g_strdup_printf ("instance-%u", i);

      count += cb_ledger_is_drained (a, name) != cb_ledger_is_drained (b, name);
      g_free (name);
    }
  return count;
}

static void
print (const char *variant, const char *what, double permille, double figure,
       gboolean bound)
{
  char *name =
      g_strdup_printf ("producer_%s_%s_at_%.0f_permille", variant, what, permille);

  if (bound)
    bench_bound (name, figure, "records", 0);
  else
    bench_info (name, figure, "records");
  g_free (name);
}

static void
measure (double rate)
{
  lossy_log_t log = { .base = { &lossy_ops }, .rate = rate };
  cb_ledger_t *ledgers[2];
  results_t results[2];

  log.batches = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  log.random = g_rand_new_with_seed (SEED);
  write_log (&log);
  for (int numbers = 0; numbers < 2; numbers++)
    {
      ledgers[numbers] = cb_ledger_new ();
      results_init (&results[numbers]);
      fold_log (&log, numbers, ledgers[numbers], &results[numbers]);
    }
  print ("numbered", "repeated", rate * 1000, count_repeated (&results[1]), TRUE);
  print ("numbered", "refused", rate * 1000, count_refused (&results[1]), TRUE);
  print ("bare", "repeated", rate * 1000, count_repeated (&results[0]), FALSE);
  print ("bare", "refused", rate * 1000, count_refused (&results[0]), FALSE);
  print ("bare", "wrong_drains", rate * 1000, count_drains (ledgers[0], ledgers[1]),
         FALSE);
  print ("log", "records", rate * 1000, g_hash_table_size (results[1].answered), FALSE);
  for (int numbers = 0; numbers < 2; numbers++)
    {
      cb_ledger_free (ledgers[numbers]);
      results_clear (&results[numbers]);
    }
  g_ptr_array_free (log.batches, TRUE);
  g_rand_free (log.random);
}

int
main (int argc, char **argv)
{
  static const double rates[] = { 0, 0.01, 0.1, 0.5 };

  bench_init (argc, argv);
  for (size_t i = 0; i < G_N_ELEMENTS (rates); i++)
    measure (rates[i]);
  return 0;
}
