/* Direct connections from a member's agent to the agents that lead its gangs. */
#include "gang/local.h"

#include <string.h>

/* A connection over which no decision arrives for 1.5 heartbeat intervals counts as
   failed. The next heartbeat, 3 s before the end of the default gang lease, then also
   goes through the entries and over a new connection, which has the same time to
   deliver a decision. */
#define LINK_TIMEOUT_MS (CB_GANG_HEARTBEAT_MS + CB_GANG_HEARTBEAT_MS / 2)

/* The connection to one leader's agent. */
typedef struct
{
  char *address;
  uint32_t generation;        /* increases whenever a new connection is needed */
  cb_msec_t opened_ms;        /* start of the present generation */
  cb_msec_t last_decision_ms; /* last one over it; 0: none in this generation */
} link_t;

void
cb_gang_link_free (gpointer data)
{
  link_t *link = data;

  g_free (link->address);
  g_free (link);
}

static gboolean
is_working (const link_t *link, cb_msec_t now_ms)
{
  return link->last_decision_ms > 0 &&
         now_ms - link->last_decision_ms < LINK_TIMEOUT_MS;
}

static void
reopen (link_t *link, cb_msec_t now_ms)
{
  link->generation++;
  link->opened_ms = now_ms;
  link->last_decision_ms = 0;
}

/* Sets the ADDRESS of the socket of LEADER's agent, as in a decision that came through
   the entries. An empty ADDRESS is ignored: without an earlier one, heartbeats to
   LEADER go through the entries only. */
void
cb_gang_link_set_address (cb_gang_t *gang, const char *leader, const char *address,
                          cb_msec_t now_ms)
{
  link_t *link = g_hash_table_lookup (gang->links, leader);

  if (*address == '\0')
    return;
  if (link == NULL)
    {
      link = g_new0 (link_t, 1);
      g_hash_table_insert (gang->links, g_strdup (leader), link);
    }
  if (g_strcmp0 (link->address, address) == 0)
    return;
  g_free (link->address);
  link->address = g_strdup (address);
  reopen (link, now_ms);
}

/* Records that a decision arrived over the connection to LEADER's agent. */
void
cb_gang_link_confirm (cb_gang_t *gang, const char *leader, cb_msec_t now_ms)
{
  link_t *link = g_hash_table_lookup (gang->links, leader);

  if (link != NULL)
    link->last_decision_ms = now_ms;
}

/* Sets USE to the paths for a heartbeat to LEADER: the direct connection as soon as its
   address is known, and the entries while there is no working connection. Replaces a
   connection that has failed. */
void
cb_gang_link_choose_paths (cb_gang_t *gang, const char *leader, cb_msec_t now_ms,
                           gboolean use[N_PATHS])
{
  link_t *link = g_hash_table_lookup (gang->links, leader);

  use[PATH_DIRECT] = link != NULL;
  use[PATH_ENTRIES] = link == NULL || !is_working (link, now_ms);
  if (link != NULL && !is_working (link, now_ms) &&
      now_ms - link->opened_ms >= LINK_TIMEOUT_MS)
    reopen (link, now_ms);
}

static gboolean
is_unused (gpointer leader, gpointer link, gpointer ctx)
{
  const cb_gang_t *gang = ctx;

  (void)link;
  for (guint i = 0; i < gang->jobs->len; i++)
    {
      const job_t *job = gang->jobs->pdata[i];

      if (job->started && strcmp (cb_gang_leader_instance (job), leader) == 0)
        return FALSE;
    }
  return TRUE;
}

/* Removes the connections to agents that lead no gang with members here any more. */
void
cb_gang_link_prune (cb_gang_t *gang)
{
  g_hash_table_foreach_remove (gang->links, is_unused, gang);
}

/* Returns the address of the connection to the agent of INSTANCE, owned by GANG, and
   sets *GENERATION; NULL when no connection is wanted, which leaves *GENERATION unset.
   When the generation changes, the caller must close the connection and open a new one.
 */
const char *
cb_gang_direct_link (const cb_gang_t *gang, const char *instance, uint32_t *generation)
{
  const link_t *link = g_hash_table_lookup (gang->links, instance);

  if (link == NULL)
    return NULL;
  *generation = link->generation;
  return link->address;
}

/* Sets the address at which this agent accepts heartbeats of other agents. Empty, the
   initial value: it accepts them through the entries only. */
void
cb_gang_set_address (cb_gang_t *gang, const char *address)
{
  g_free (gang->address);
  gang->address = g_strdup (address);
}
