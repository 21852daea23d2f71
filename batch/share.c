/* Fair queueing between client accounts. Answers the load in which one account keeps
   many jobs waiting and others only a few: in the order of latest starts alone, the
   many fill the fleet before the few get their turn.

   The measure is the dominant resource of accelerators and cores (A. Ghodsi et al.,
   Dominant Resource Fairness, NSDI 2011). Each account is entitled to a part of the
   fleet. Waiting work within the part of its account comes before work beyond the part
   of another one, and within each of the two sides the order by latest start holds. */
#include "batch/local.h"

#include <string.h>

/* Accelerators and cores, or their parts of the fleet. */
typedef struct
{
  double accelerators;
  double cpu_milli;
} amount_t;

typedef struct
{
  amount_t used;         /* by its running work and by what comes before an item */
  double entitled;       /* part of the fleet, 0 to 1 */
  gboolean beyond_share; /* for the log: some item is */
} account_share_t;

static void
add_amount (amount_t *sum, const Cb__BatchStep *step, uint32_t count)
{
  sum->accelerators += (double)step->accelerators * count;
  sum->cpu_milli += step->fills ? 0 : (double)step->cpu_milli * count;
}

/* Returns the part of the fleet that USED takes of its dominant resource. */
static double
dominant_part (const amount_t *used, const amount_t *fleet)
{
  return MAX (fleet->accelerators > 0 ? used->accelerators / fleet->accelerators : 0,
              fleet->cpu_milli > 0 ? used->cpu_milli / fleet->cpu_milli : 0);
}

static void
measure_fleet (const pass_t *pass, amount_t *fleet, amount_t *unused)
{
  *fleet = *unused = (amount_t){ 0 };
  for (guint i = 0; i < pass->capacities->len; i++)
    {
      const capacity_t *capacity = pass->capacities->pdata[i];

      fleet->accelerators += capacity->worker->accelerators;
      fleet->cpu_milli += capacity->worker->cpu_milli;
      unused->accelerators += (double)MAX (0, capacity->accelerators);
      unused->cpu_milli += (double)MAX (0, capacity->cpu_milli);
    }
}

/* Returns the end of the items that compete with the one at FIRST. */
static guint
group_end (const GArray *items, guint first)
{
  uint32_t group = g_array_index (items, share_item_t, first).group;
  guint end = first;

  while (end < items->len && g_array_index (items, share_item_t, end).group == group)
    end++;
  return end;
}

/* TRUE when items FIRST to END - 1 are of several accounts. */
static gboolean
are_accounts_mixed (const GArray *items, guint first, guint end)
{
  const char *account = g_array_index (items, share_item_t, first).job->spec->account;

  for (guint i = first + 1; i < end; i++)
    if (strcmp (g_array_index (items, share_item_t, i).job->spec->account, account) !=
        0)
      return TRUE;
  return FALSE;
}

/* Returns the start of the first group in which several accounts compete for more than
   is free after the groups before it, or the number of ITEMS when there is none. */
static guint
first_contended (const GArray *items, const amount_t *unused)
{
  amount_t needed = { 0 };
  guint end;

  for (guint first = 0; first < items->len; first = end)
    {
      end = group_end (items, first);
      for (guint i = first; i < end; i++)
        {
          const share_item_t *item = &g_array_index (items, share_item_t, i);

          add_amount (&needed, item->job->spec->steps[item->step], item->count);
        }
      if ((needed.accelerators > unused->accelerators ||
           needed.cpu_milli > unused->cpu_milli) &&
          are_accounts_mixed (items, first, end))
        return first;
    }
  return items->len;
}

static account_share_t *
get_account (GHashTable *accounts, const job_t *job)
{
  account_share_t *account = g_hash_table_lookup (accounts, job->spec->account);

  if (account == NULL)
    {
      account = g_new0 (account_share_t, 1);
      g_hash_table_insert (accounts, job->spec->account, account);
    }
  return account;
}

/* Adds what runs or is about to start, by account. */
static void
add_running (const pass_t *pass, GHashTable *accounts)
{
  for (guint i = 0; i < pass->capacities->len; i++)
    {
      const worker_t *w = ((const capacity_t *)pass->capacities->pdata[i])->worker;

      for (guint k = 0; k < w->tasks->len; k++)
        {
          const task_t *task = w->tasks->pdata[k];

          add_amount (&get_account (accounts, task->job)->used, task_spec (task), 1);
        }
    }
}

/* Returns the part of the fleet, 0 to 1, to which ACCOUNT is entitled. ACCOUNTS has the
   names of those with work that waits or runs, ACCOUNT among them. Each is entitled to
   the accelerators guaranteed to it and to an equal part of the rest. */
double
share_entitled (const cb_batch_config_t *config, const char *account,
                GHashTable *accounts, double fleet_accelerators)
{
  double own = 0;
  double sum = 0;
  double whole;

  for (guint i = 0; config != NULL && i < config->accounts->len; i++)
    {
      const cb_batch_account_t *configured = config->accounts->pdata[i];

      if (!g_hash_table_contains (accounts, configured->name))
        continue;
      sum += configured->guaranteed;
      if (strcmp (configured->name, account) == 0)
        own = configured->guaranteed;
    }
  whole = MAX (1, MAX (sum, fleet_accelerators));
  return own / whole + (1 - sum / whole) / MAX (1, g_hash_table_size (accounts));
}

static void
entitle_accounts (const pass_t *pass, GHashTable *accounts, double fleet_accelerators)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, accounts);
  while (g_hash_table_iter_next (&iter, &name, &value))
    ((account_share_t *)value)->entitled =
        share_entitled (pass->b->config, name, accounts, fleet_accelerators);
}

/* Logs the begin and the end of contention between accounts. */
static void
note_contention (cb_batch_t *b, uint32_t accounts, uint32_t beyond)
{
  if (b->params.counters != NULL)
    cb_counters_set (b->params.counters, "accounts_beyond_share", NULL, beyond);
  if (b->accounts_contend == (beyond > 0))
    return;
  b->accounts_contend = beyond > 0;
  /* accounts: with work that waits or runs. */
  cb_event (CB_LOG_INFO, "batch", beyond > 0 ? "share_contended" : "share_settled",
            "accounts=%u beyond=%u", accounts, beyond);
}

/* Marks the items that are beyond the part of the fleet to which their account is
   entitled: what the account's running work and its items before them take exceeds it.
   ITEMS, of share_item_t, are in the order in which they would be placed otherwise. No
   item is marked when all of them fit, or before the first group in which several
   accounts compete. An item that begins within the part is not marked, however large,
   so that an account which runs nothing is never marked at its first item. */
void
share_update (const pass_t *pass, GArray *items)
{
  GHashTable *accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  amount_t fleet;
  amount_t unused;
  guint contended;
  uint32_t beyond = 0;

  measure_fleet (pass, &fleet, &unused);
  contended = first_contended (items, &unused);
  if (contended < items->len)
    {
      add_running (pass, accounts);
      for (guint i = 0; i < items->len; i++)
        get_account (accounts, g_array_index (items, share_item_t, i).job);
      entitle_accounts (pass, accounts, fleet.accelerators);
    }
  for (guint i = 0; contended < items->len && i < items->len; i++)
    {
      share_item_t *item = &g_array_index (items, share_item_t, i);
      account_share_t *account = get_account (accounts, item->job);

      item->beyond_share =
          i >= contended && dominant_part (&account->used, &fleet) >= account->entitled;
      beyond += item->beyond_share && !account->beyond_share;
      account->beyond_share = account->beyond_share || item->beyond_share;
      add_amount (&account->used, item->job->spec->steps[item->step], item->count);
    }
  note_contention (pass->b, g_hash_table_size (accounts), beyond);
  g_hash_table_unref (accounts);
}

/* Lets client accounts beyond their part of a fleet that is short come last at their
   rank from now on, or, without USE, only the deadlines decide. */
void
cb_batch_use_fair_queueing (cb_batch_t *b, gboolean use)
{
  b->fair_queueing = use;
  b->dirty = TRUE;
}
