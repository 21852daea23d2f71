/* Limits of the servers of batch-entry and batch-agent, and their metrics. */
#include "cmd/batch.h"

static const char *const listener_names[] = {
  [CB_LISTENER_CALLERS] = "callers",
  [CB_LISTENER_READY] = "ready",
  [CB_LISTENER_CONTROL] = "control",
  [CB_LISTENER_METRICS] = "metrics",
};

/* Applies the limits of SETTINGS and CONFIG (NULL: none) to SERVER, which serves
   LISTENER; NULL is accepted. */
void
cb_batch_limit_server (cb_http_server_t *server, const Cb__PlatformSettings *settings,
                       cb_listener_t listener, const cb_batch_config_t *config)
{
  cb_http_limits_t limits;

  if (server == NULL)
    return;
  cb_platform_limits (settings, listener, config, &limits);
  cb_http_server_limit (server, listener_names[listener], &limits);
}

/* Sets the metrics of SERVER, which serves LISTENER; NULL is accepted. */
void
cb_batch_server_gauges (cb_counters_t *counters, const cb_http_server_t *server,
                        cb_listener_t listener)
{
  cb_http_stats_t stats;
  char label[128];

  if (server == NULL)
    return;
  cb_http_server_stats (server, &stats);
  g_snprintf (label, sizeof label, "listener=\"%s\"", listener_names[listener]);
  cb_counters_set (counters, "http_held_bytes", label, stats.held_bytes);
  cb_counters_set (counters, "http_connections", label, stats.connections);
  for (int reason = 0; reason < CB_HTTP_REFUSALS; reason++)
    {
      if (stats.refusals[reason] == 0)
        continue;
      g_snprintf (label, sizeof label, "listener=\"%s\",reason=\"%s\"",
                  listener_names[listener],
                  cb_http_refusal_name ((cb_http_refusal_t)reason));
      cb_counters_set (counters, "http_refusals_total", label, stats.refusals[reason]);
    }
}
