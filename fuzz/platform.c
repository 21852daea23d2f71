/* The decoders of what the users' platform sends. The first byte selects one: 0 a
   worker's heartbeat, 1 its notice that it ends, 2 its lists of runs, 3 the operator's
   configuration, 4 a caller's job. */
#include "fuzz/lib/fuzz.h"

#include "platform/local.h"

static void
fuzz_heartbeat (const char *text, size_t size)
{
  Cb__WorkerReport *report = cb_msg_new (&cb__worker_report__descriptor);
  uint64_t sequence = 0;
  char *address = NULL;
  int err = cb_platform_heartbeat_read (text, size, &sequence, &address, report);

  FUZZ_CHECK (err == CB_OK || (address == NULL && report->n_labels == 0));
  FUZZ_CHECK (err < 0 || strrchr (address, ':') != NULL);
  FUZZ_CHECK (sequence <= G_MAXINT64 && report->born_ms <= G_MAXINT64);
  g_free (address);
  cb_msg_free (report);
}

/* Each row is listed, under a number above that of the row before. One that could not
   be read counts as such, and is neither done nor failed. */
static void
fuzz_lists (const char *text, size_t size)
{
  json_t *root = json_loadb (text, size, 0, NULL);
  size_t rows = json_array_size (json_object_get (root, "finished"));
  size_t unread = 0;
  Cb__WorkerReport *report = cb_msg_new (&cb__worker_report__descriptor);

  read_lists (root, report);
  FUZZ_CHECK (report->n_ended == rows);
  for (size_t i = 0; i < rows; i++)
    {
      const Cb__EndedTask *end = report->ended[i];

      FUZZ_CHECK (end->number > (i == 0 ? 0 : report->ended[i - 1]->number));
      FUZZ_CHECK (end->how != CB__RUN_END__RUN_LOST ||
                  (report->unread_end > 0 && report->unread_end <= end->number));
      unread += end->how == CB__RUN_END__RUN_LOST;
      FUZZ_CHECK (end->run->job[0] != '\0' || end->how == CB__RUN_END__RUN_LOST);
    }
  FUZZ_CHECK ((unread > 0) == (report->unread_end > 0));
  rows = json_array_size (json_object_get (root, "running"));
  FUZZ_CHECK ((report->n_running < rows) == report->running_unread);
  cb_msg_free (report);
  json_decref (root);
}

static void
fuzz_config (const char *text, size_t size)
{
  cb_batch_config_t *config = NULL;
  int err = cb_platform_config_read (text, size, &config);

  FUZZ_CHECK ((err == CB_OK) == (config != NULL));
  if (config != NULL)
    cb_batch_config_unref (config);
}

static void
fuzz_job (const char *text, size_t size)
{
  Cb__BatchJob *job = NULL;
  int err = cb_platform_job_read (text, size, &job);

  FUZZ_CHECK ((err == CB_OK) == (job != NULL));
  cb_msg_free (job);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const char *text = (const char *)data + 1;

  if (size == 0)
    return 0;
  switch (data[0] % 5)
    {
    case 0:
      fuzz_heartbeat (text, size - 1);
      break;
    case 1:
      cb_platform_leave_read (text, size - 1);
      break;
    case 2:
      fuzz_lists (text, size - 1);
      break;
    case 3:
      fuzz_config (text, size - 1);
      break;
    default:
      fuzz_job (text, size - 1);
    }
  return 0;
}
