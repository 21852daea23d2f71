/* Applies single records of the log to the ledger. */
#include "ledger/local.h"

#include <string.h>

/* Returns CB_LEDGER_DUPLICATE for a repeated record and CB_LEDGER_INVALID for a record
   without a producer or sequence, else stores its sequence. A producer appends in the
   order of its sequences, so its highest one is enough to recognize every repeated
   record. */
static int
advance_sequence (cb_ledger_t *ledger, const Cb__Record *record)
{
  Cb__ProducerState *state;

  if (*record->producer == '\0' || record->sequence == 0)
    return CB_LEDGER_INVALID;
  state = g_tree_lookup (ledger->producers, record->producer);
  if (state != NULL && record->sequence <= state->sequence)
    return CB_LEDGER_DUPLICATE;
  if (state == NULL)
    {
      state = cb_msg_new (&cb__producer_state__descriptor);
      cb_msg_set_string (&state->producer, record->producer);
      g_tree_insert (ledger->producers, g_strdup (record->producer), state);
    }
  state->sequence = record->sequence;
  state->time_ms = MAX (state->time_ms, record->time_ms);
  return CB_OK;
}

static int
apply_cell_claim (cb_ledger_t *ledger, uint64_t offset, const Cb__CellClaim *claim)
{
  Cb__CellClaimState *state;

  if (*claim->cell == '\0' || *claim->entry == '\0')
    return CB_LEDGER_INVALID;
  /* Two claims in one batch have the same offset and would get the same epoch, so only
     the first of them is accepted. */
  if (claim->replaces_epoch != cb_ledger_epoch (ledger, claim->cell, NULL) ||
      claim->replaces_epoch == offset)
    return CB_LEDGER_STALE;
  state = cb_msg_new (&cb__cell_claim_state__descriptor);
  cb_msg_set_string (&state->cell, claim->cell);
  cb_msg_set_string (&state->entry, claim->entry);
  state->epoch = offset;
  g_tree_insert (ledger->cells, g_strdup (claim->cell), state);
  return CB_OK;
}

/* Returns TRUE when A and B are submissions of the same job. The submission time and
   the cell are ignored: an entry may fill them in, and a caller may retry at an entry
   of another cell. */
gboolean
cb_ledger_jobs_equal (const Cb__Job *a, const Cb__Job *b)
{
  Cb__Job x = *a;
  Cb__Job y = *b;

  x.submitted_ms = y.submitted_ms = 0;
  x.cell = y.cell = (char *)protobuf_c_empty_string;
  return cb_msg_equal (&x.base, &y.base);
}

static int
apply_job_submit (cb_ledger_t *ledger, uint64_t offset, uint64_t time_ms,
                  const Cb__Job *job)
{
  const Cb__JobStateEntry *old = cb_ledger_job (ledger, job->account, job->key);
  Cb__JobStateEntry *state;

  if (*job->account == '\0' || *job->key == '\0')
    return CB_LEDGER_INVALID;
  if (old != NULL &&
      (old->ended_ms == 0 || time_ms <= old->ended_ms + CB_LEDGER_RETENTION_MS))
    return cb_ledger_jobs_equal (old->job, job) ? CB_LEDGER_EXISTS
                                                : CB_LEDGER_KEY_CONFLICT;
  state = cb_msg_new (&cb__job_state_entry__descriptor);
  state->job = (Cb__Job *)cb_msg_copy (&job->base);
  state->offset = offset;
  g_tree_insert (ledger->jobs, cb_ledger_id (job->account, job->key), state);
  return CB_OK;
}

/* Sets JOB to the job under KEY. Returns CB_LEDGER_NOT_FOUND when there is none and
   CB_LEDGER_ENDED when it has ended. */
static int
find_open_job (cb_ledger_t *ledger, const char *account, const char *key,
               Cb__JobStateEntry **job)
{
  *job = (Cb__JobStateEntry *)cb_ledger_job (ledger, account, key);
  if (*job == NULL)
    return CB_LEDGER_NOT_FOUND;
  return (*job)->state >= CB__JOB_STATE__JOB_DONE ? CB_LEDGER_ENDED : CB_OK;
}

/* Returns TRUE when CELL is the cell of JOB and EPOCH its current epoch: only the
   current scheduler of the cell may start or end the job. */
static gboolean
is_current_epoch (const cb_ledger_t *ledger, const Cb__JobStateEntry *job,
                  const char *cell, uint64_t epoch)
{
  return epoch != 0 && strcmp (job->job->cell, cell) == 0 &&
         epoch == cb_ledger_epoch (ledger, cell, NULL);
}

static int
apply_job_start (cb_ledger_t *ledger, const Cb__JobStart *start)
{
  Cb__JobStateEntry *job;
  int err = find_open_job (ledger, start->account, start->key, &job);

  if (err < 0)
    return err;
  if (!is_current_epoch (ledger, job, start->cell, start->epoch) ||
      (job->started_once && start->attempt <= job->attempt))
    return CB_LEDGER_STALE;
  job->state = CB__JOB_STATE__JOB_STARTING;
  job->attempt = start->attempt;
  job->started_once = TRUE;
  return CB_OK;
}

static int
apply_job_end (cb_ledger_t *ledger, uint64_t time_ms, const Cb__JobEnd *end)
{
  Cb__JobStateEntry *job;
  int err = find_open_job (ledger, end->account, end->key, &job);

  if (err < 0)
    return err;
  if (!is_current_epoch (ledger, job, end->cell, end->epoch))
    return CB_LEDGER_STALE;
  if (end->state < CB__JOB_STATE__JOB_DONE)
    return CB_LEDGER_INVALID;
  job->state = end->state;
  job->reason = end->reason;
  job->run_ms = end->run_ms;
  job->attempt = MAX (job->attempt, end->attempt);
  job->ended_ms = MAX (time_ms, 1);
  return CB_OK;
}

static int
apply_job_cancel (cb_ledger_t *ledger, const Cb__JobCancel *cancel)
{
  Cb__JobStateEntry *job;
  int err = find_open_job (ledger, cancel->account, cancel->key, &job);

  if (err == CB_OK)
    job->cancel = TRUE;
  return err;
}

/* Returns TRUE when a key with the claim OLD (NULL: none) can be claimed again: the old
   request is known not to have run, or its claim expired before TIME_MS, the time in
   the new record. */
static gboolean
is_key_free (const Cb__RequestState *old, uint64_t time_ms)
{
  if (old == NULL || (old->ended && old->end->ran == CB__RAN__RAN_NO))
    return TRUE;
  return old->claim->expires_ms > 0 && time_ms > old->claim->expires_ms;
}

static int
apply_request_claim (cb_ledger_t *ledger, uint64_t offset, uint64_t time_ms,
                     const Cb__RequestClaim *claim)
{
  const Cb__RequestState *old = cb_ledger_request (ledger, claim->account, claim->key);
  Cb__RequestState *state;

  if (*claim->account == '\0' || *claim->key == '\0')
    return CB_LEDGER_INVALID;
  if (!is_key_free (old, time_ms))
    return old->claim->body_hash == claim->body_hash &&
                   strcmp (old->claim->kind, claim->kind) == 0
               ? CB_LEDGER_EXISTS
               : CB_LEDGER_KEY_CONFLICT;
  state = cb_msg_new (&cb__request_state__descriptor);
  state->claim = (Cb__RequestClaim *)cb_msg_copy (&claim->base);
  state->offset = offset;
  g_tree_insert (ledger->requests, cb_ledger_id (claim->account, claim->key), state);
  return CB_OK;
}

static int
apply_request_end (cb_ledger_t *ledger, const Cb__RequestEnd *end)
{
  Cb__RequestState *state =
      (Cb__RequestState *)cb_ledger_request (ledger, end->account, end->key);

  if (state == NULL)
    return CB_LEDGER_NOT_FOUND;
  if (end->claim != state->offset)
    return CB_LEDGER_STALE;
  if (state->ended)
    return CB_LEDGER_ENDED;
  state->ended = TRUE;
  state->end = (Cb__RequestEnd *)cb_msg_copy (&end->base);
  return CB_OK;
}

static int
apply_drain (cb_ledger_t *ledger, const Cb__Drain *drain)
{
  char *name;

  if (*drain->instance == '\0')
    return CB_LEDGER_INVALID;
  if (!drain->on)
    {
      g_tree_remove (ledger->drained, drain->instance);
      return CB_OK;
    }
  name = g_strdup (drain->instance);
  g_tree_replace (ledger->drained, name, name);
  return CB_OK;
}

/* Applies one record of the batch at OFFSET. Returns CB_OK or a CB_LEDGER_ error; on an
   error only the stored sequence of the producer may change. */
int
cb_ledger_apply_record (cb_ledger_t *ledger, uint64_t offset, const Cb__Record *record)
{
  int err = advance_sequence (ledger, record);

  if (err < 0)
    return err;
  switch (record->body_case)
    {
    case CB__RECORD__BODY_CONFIG:
      return cb_ledger_apply_config (ledger, offset, record->config);
    case CB__RECORD__BODY_CELL_CLAIM:
      return apply_cell_claim (ledger, offset, record->cell_claim);
    case CB__RECORD__BODY_JOB_SUBMIT:
      return apply_job_submit (ledger, offset, record->time_ms, record->job_submit);
    case CB__RECORD__BODY_JOB_START:
      return apply_job_start (ledger, record->job_start);
    case CB__RECORD__BODY_JOB_END:
      return apply_job_end (ledger, record->time_ms, record->job_end);
    case CB__RECORD__BODY_JOB_CANCEL:
      return apply_job_cancel (ledger, record->job_cancel);
    case CB__RECORD__BODY_REQUEST_CLAIM:
      return apply_request_claim (ledger, offset, record->time_ms,
                                  record->request_claim);
    case CB__RECORD__BODY_REQUEST_END:
      return apply_request_end (ledger, record->request_end);
    case CB__RECORD__BODY_DRAIN:
      return apply_drain (ledger, record->drain);
    default:
      return CB_LEDGER_INVALID;
    }
}
