/* Handlers of /v1/config, /v1/drain and /v1/undrain, and the configuration in use. */
#include "cmd/entry.h"

#include <string.h>

static void
refuse_conflict (cb_entry_t *entry, cb_http_req_t *req)
{
  const Cb__Config *config = cb_ledger_config (entry->ledger);
  char *detail = g_strdup_printf ("the current version is %" G_GUINT64_FORMAT,
                                  config == NULL ? 0 : config->version);

  cb_entry_refuse (entry, req, CB__REASON__CONFLICT, CB__RAN__RAN_NO, detail);
  g_free (detail);
}

/* Checks the configuration that CHANGE would produce. Returns FALSE, after refusing
   REQ, when that configuration is not valid or CHANGE is not based on the current
   version. */
static gboolean
check_change (cb_entry_t *entry, cb_http_req_t *req, const Cb__ConfigChange *change)
{
  const Cb__Config *current = cb_ledger_config (entry->ledger);
  uint64_t version = current == NULL ? 0 : current->version;
  Cb__Config *next = NULL;
  cb_errors_t errors;
  char *text;
  int err;

  if (change->base_version != version)
    {
      refuse_conflict (entry, req);
      return FALSE;
    }
  cb_errors_init (&errors);
  err = cb_config_apply (current, change, version + 1, &next);
  if (err < 0)
    cb_errors_add (&errors, "change", 0, "configuration",
                   "the changed configuration is not valid");
  else
    err = cb_fleet_check (next->inventory, NULL, next->rules, NULL, &errors);
  if (err < 0)
    {
      text = cb_errors_text (&errors);
      cb_entry_refuse (entry, req, CB__REASON__BAD_REQUEST, CB__RAN__RAN_NO, text);
      g_free (text);
    }
  cb_errors_clear (&errors);
  cb_msg_free (next);
  return err == CB_OK;
}

/* POST /v1/config: answered once the record of the change has been applied. */
void
cb_entry_post_config (cb_entry_t *entry, cb_http_req_t *req)
{
  Cb__ConfigChange *change;
  Cb__Record *record;

  if (entry->draining)
    {
      cb_entry_refuse (entry, req, CB__REASON__DRAINING, CB__RAN__RAN_NO, NULL);
      return;
    }
  if (!entry->caught_up)
    {
      cb_entry_refuse (entry, req, CB__REASON__LOG_UNAVAILABLE, CB__RAN__RAN_NO,
                       "the log has not been read yet");
      return;
    }
  change = (Cb__ConfigChange *)cb_entry_parse_body (entry, req,
                                                    &cb__config_change__descriptor);
  if (change == NULL)
    return;
  if (!check_change (entry, req, change))
    {
      cb_msg_free (change);
      return;
    }
  record = cb_msg_new (&cb__record__descriptor);
  record->body_case = CB__RECORD__BODY_CONFIG;
  record->config = change;
  cb_entry_append_for_caller (entry, record, req);
}

/* Answers POST /v1/config after its record was applied at OFFSET with RESULT. */
void
cb_entry_reply_config_change (cb_entry_t *entry, cb_http_req_t *req, uint64_t offset,
                              int result)
{
  Cb__ConfigReply reply = CB__CONFIG_REPLY__INIT;

  reply.version = offset;
  if (result == CB_OK)
    cb_entry_reply (req, 200, &reply.base);
  else if (result == CB_LEDGER_CONFLICT)
    refuse_conflict (entry, req);
  else
    cb_entry_refuse (entry, req, CB__REASON__BAD_REQUEST, CB__RAN__RAN_NO,
                     "the changed configuration is not valid");
}

/* GET /v1/config */
void
cb_entry_get_config (cb_entry_t *entry, cb_http_req_t *req)
{
  const Cb__Config *config = cb_ledger_config (entry->ledger);

  if (config == NULL)
    cb_entry_refuse (entry, req, CB__REASON__NOT_FOUND, CB__RAN__RAN_NO,
                     "no configuration has been published");
  else
    cb_entry_reply (req, 200, &config->base);
}

/* Sends AGENT the configuration of its instance and the rules of all kinds. */
void
cb_entry_notify_agent (cb_entry_t *entry, const char *agent)
{
  const cb_instance_t *instance = cb_fleet_instance (entry->fleet, agent);
  const Cb__Rules *rules = entry->fleet->config->rules;
  Cb__Envelope *envelope = cb_msg_new (&cb__envelope__descriptor);
  Cb__ConfigNotice *notice = cb_msg_new (&cb__config_notice__descriptor);

  cb_msg_set_string (&envelope->to, agent);
  envelope->body_case = CB__ENVELOPE__BODY_CONFIG_NOTICE;
  envelope->config_notice = notice;
  notice->version = entry->fleet->config->version;
  if (instance != NULL)
    notice->instance = (Cb__Instance *)cb_msg_copy (&instance->spec->base);
  for (size_t i = 0; rules != NULL && i < rules->n_kinds; i++)
    cb_msg_append ((void ***)&notice->kinds, &notice->n_kinds,
                   cb_msg_copy (&rules->kinds[i]->base));
  cb_entry_send (entry, envelope);
  cb_msg_free (envelope);
}

static void
notify_own_agent (void *ctx, const Cb__AgentHome *agent, const char *home)
{
  cb_entry_t *entry = ctx;

  if (home != NULL && strcmp (home, entry->settings->name) == 0)
    cb_entry_notify_agent (entry, agent->name);
}

/* Puts the ledger's configuration into effect when it is newer than the one in use. A
   new process that has not caught up with the log puts none into effect: it would act
   on versions that have been replaced. */
void
cb_entry_set_fleet (cb_entry_t *entry)
{
  const Cb__Config *config = cb_ledger_config (entry->ledger);
  cb_msec_t now_ms = cb_entry_now (entry);
  char *fields;

  if (config == NULL || !entry->caught_up ||
      (entry->fleet != NULL && entry->fleet->config->version >= config->version))
    return;
  cb_fleet_unref (entry->fleet);
  entry->fleet = cb_fleet_new (config);
  cb_sched_set_fleet (entry->sched, entry->fleet, now_ms);
  cb_route_set_fleet (entry->route, entry->fleet, now_ms);
  fields = g_strdup_printf ("\"version\":%" G_GUINT64_FORMAT, config->version);
  cb_trace_event (entry->trace, "config", fields);
  g_free (fields);
  cb_log (CB_LOG_INFO, "entry", "configuration version %" G_GUINT64_FORMAT,
          config->version);
  cb_peers_each_agent (entry->peers, notify_own_agent, entry);
  /* The scheduler has ignored the agents of instances that are new in the
     configuration. */
  cb_entry_update_sched_agents (entry);
}

/* POST /v1/drain, with ON, and /v1/undrain: answered with 200 once the record has been
   applied. */
void
cb_entry_post_drain (cb_entry_t *entry, cb_http_req_t *req, gboolean on)
{
  Cb__DrainRequest *body;
  Cb__Record *record;

  if (!cb_entry_check_ready (entry, req))
    return;
  body = (Cb__DrainRequest *)cb_entry_parse_body (entry, req,
                                                  &cb__drain_request__descriptor);
  if (body == NULL)
    return;
  /* An instance that was removed from the inventory while drained can be undrained. */
  if (cb_fleet_instance (entry->fleet, body->instance) == NULL &&
      (on || !cb_ledger_is_draining (entry->ledger, body->instance)))
    {
      cb_entry_refuse (entry, req, CB__REASON__NOT_FOUND, CB__RAN__RAN_NO,
                       "the inventory has no such instance");
      cb_msg_free (body);
      return;
    }
  record = cb_msg_new (&cb__record__descriptor);
  record->body_case = CB__RECORD__BODY_DRAIN;
  record->drain = cb_msg_new (&cb__drain__descriptor);
  cb_msg_set_string (&record->drain->instance, body->instance);
  record->drain->on = on;
  cb_msg_free (body);
  cb_entry_append_for_caller (entry, record, req);
}

/* Answers POST /v1/drain or /v1/undrain after its record was applied with RESULT. */
void
cb_entry_reply_drain (cb_entry_t *entry, cb_http_req_t *req, int result)
{
  if (result == CB_OK)
    cb_http_reply (req, 200, "application/json", "{}", 2);
  else
    cb_entry_refuse (entry, req, CB__REASON__INTERNAL, CB__RAN__RAN_UNKNOWN, NULL);
}
