// Agents in virtual time whose messages the fixture delivers, through the entries or
// over direct connections between agents.
#pragma once
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gang/fns.h"

namespace
{

// Runs agents with a simulated worker each. The scheduler is "s" unless a test names
// another one; what the agents send to it is collected in to_scheduler.
class Gang : public ::testing::Test
{
protected:
  void
  TearDown () override
  {
    for (auto &entry : agents)
      cb_gang_free (entry.second);
    for (auto *envelope : to_scheduler)
      cb_msg_free (envelope);
  }

  void
  AddAgent (const std::string &name)
  {
    cb_gang_params_t params = { name.c_str (), "c", 8, 60, 130 };

    agents[name] = cb_gang_new (&params);
  }

  void
  KillAgent (const std::string &name)
  {
    cb_gang_free (agents[name]);
    agents.erase (name);
  }

  Cb__Envelope *
  NewEnvelope (Cb__Envelope__BodyCase body, uint64_t epoch, const char *from = "s")
  {
    cb_outq_t queue;
    cb_outq_init (&queue);
    Cb__Envelope *envelope = cb_outq_send (&queue, "", body);
    cb_out_t *out = cb_outq_pop (&queue);

    out->envelope = nullptr;
    cb_out_free (out);
    envelope->epoch = epoch;
    cb_msg_set_string (&envelope->from, from);
    cb_msg_set_string (&envelope->cell, "c");
    return envelope;
  }

  void
  DeliverTo (const std::string &to, Cb__Envelope *envelope)
  {
    if (agents.count (to))
      cb_gang_receive (agents[to], envelope, now);
    cb_msg_free (envelope);
    PerformOutputs ();
  }

  static Cb__Placement *
  NewPlacement (const std::string &instance, uint32_t member,
                std::vector<uint32_t> accels)
  {
    auto *placement =
        static_cast<Cb__Placement *> (cb_msg_new (&cb__placement__descriptor));

    cb_msg_set_string (&placement->instance, instance.c_str ());
    placement->member = member;
    placement->n_accelerators = accels.size ();
    placement->accelerators =
        static_cast<uint32_t *> (malloc (accels.size () * sizeof (uint32_t) + 1));
    std::copy (accels.begin (), accels.end (), placement->accelerators);
    return placement;
  }

  // Returns the reason in the reply, REASON_NONE when the reservation was made.
  Cb__Reason
  Reserve (const std::string &to, const char *key, uint32_t attempt, uint64_t epoch,
           std::vector<Cb__Placement *> placements, uint32_t cores = 4,
           uint32_t memory = 8)
  {
    Cb__Envelope *envelope = NewEnvelope (CB__ENVELOPE__BODY_RESERVE, epoch);
    Cb__Reserve *reserve = envelope->reserve;

    cb_msg_set_string (&reserve->job_key, key);
    cb_msg_set_string (&reserve->account, "a");
    reserve->attempt = attempt;
    reserve->ttl_ms = 5000;
    reserve->cores = cores;
    reserve->memory_gb = memory;
    for (auto *placement : placements)
      cb_msg_append (reinterpret_cast<void ***> (&reserve->placements),
                     &reserve->n_placements, placement);
    last_reason = CB__REASON__INTERNAL;
    DeliverTo (to, envelope);
    return last_reason;
  }

  void
  Start (const std::string &to, const char *key, uint32_t attempt, uint64_t epoch,
         std::vector<std::string> instances)
  {
    Cb__Envelope *envelope = NewEnvelope (CB__ENVELOPE__BODY_START, epoch);
    uint32_t member = 0;

    cb_msg_set_string (&envelope->start->job_key, key);
    cb_msg_set_string (&envelope->start->account, "a");
    envelope->start->attempt = attempt;
    envelope->start->gang_lease_ms = 5000;
    for (auto &instance : instances)
      cb_msg_append (reinterpret_cast<void ***> (&envelope->start->members),
                     &envelope->start->n_members,
                     NewPlacement (instance, member++, {}));
    DeliverTo (to, envelope);
  }

  void
  Stop (const std::string &to, const char *key, uint32_t attempt, uint64_t epoch)
  {
    Cb__Envelope *envelope = NewEnvelope (CB__ENVELOPE__BODY_STOP, epoch);

    cb_msg_set_string (&envelope->stop->job_key, key);
    cb_msg_set_string (&envelope->stop->account, "a");
    envelope->stop->attempt = attempt;
    envelope->stop->reason = CB__REASON__CANCELED;
    DeliverTo (to, envelope);
  }

  // Performs the outputs of all agents until there are none: delivers messages and
  // calls the simulated worker.
  void
  PerformOutputs ()
  {
    for (bool more = true; more;)
      {
        more = false;
        for (auto &entry : agents)
          while (cb_out_t *out = cb_outq_pop (cb_gang_outputs (entry.second)))
            {
              more = true;
              Perform (entry.first, out);
              cb_out_free (out);
            }
      }
  }

  void
  Perform (const std::string &name, cb_out_t *out)
  {
    if (out->kind == CB_OUT_CALL)
      CallWorker (name, out->name, reinterpret_cast<Cb__Task *> (out->message));
    if (out->kind == CB_OUT_EVENT)
      events[std::string (out->name) + "@" + name]++;
    if (out->kind != CB_OUT_SEND)
      return;
    std::string to = out->envelope->to;
    cb_msg_set_string (&out->envelope->from, name.c_str ());
    if (out->name != nullptr)
      {
        DeliverDirect (name, to, out->envelope);
        return;
      }
    envelopes[name + ">" + to]++;
    if (out->envelope->body_case == CB__ENVELOPE__BODY_RESERVE_REPLY)
      last_reason = out->envelope->reserve_reply->reason;
    if (agents.count (to) && !(drop && drop (name, to)))
      cb_gang_receive (agents[to], out->envelope, now);
    else if (!agents.count (to))
      {
        to_scheduler.push_back (out->envelope);
        out->envelope = nullptr;
      }
  }

  // Delivers a message over the connection between two agents. The member opens it, so
  // its generation identifies the connection in both directions.
  void
  DeliverDirect (const std::string &name, const std::string &to, Cb__Envelope *envelope)
  {
    bool is_heartbeat = envelope->body_case == CB__ENVELOPE__BODY_GANG_BEATS;
    uint32_t generation = 0;
    const std::string &member = is_heartbeat ? name : to;
    const std::string &leader = is_heartbeat ? to : name;

    if (!agents.count (to) || !agents.count (member))
      return;
    const char *address =
        cb_gang_direct_link (agents[member], leader.c_str (), &generation);
    if (address == nullptr || std::string (address) != leader + ":1")
      return;
    newest_generation = std::max (newest_generation, generation);
    direct_envelopes[name + ">" + to]++;
    if (generation <= silent_generation && (!silent_sender || *silent_sender == name))
      return;
    cb_gang_receive_direct (agents[to], envelope, now);
  }

  // As StartPair, and waits until heartbeats go over a direct connection.
  void
  StartDirectPair ()
  {
    newest_generation = silent_generation = 0;
    StartPair ();
    for (auto &entry : agents)
      cb_gang_set_address (entry.second, (entry.first + ":1").c_str ());
    Run (3000);
    envelopes.clear ();
    direct_envelopes.clear ();
  }

  // Carries out a call at the worker of agent NAME and reports the status at once.
  void
  CallWorker (const std::string &name, const std::string &action, const Cb__Task *task)
  {
    calls[action + "@" + name]++;
    if (unresponsive_worker == name)
      return;
    Cb__TaskState state = CB__TASK_STATE__TASK_RUNNING;
    if (action == "start" && failing_worker == name)
      state = CB__TASK_STATE__TASK_FAILED;
    if (slow_worker == name)
      state = CB__TASK_STATE__TASK_STARTING;
    if (action == "stop" || action == "checkpoint")
      state = CB__TASK_STATE__TASK_STOPPED;
    ReportStatus (name, task->job_key, task->attempt, task->member, state,
                  action == "checkpoint");
  }

  void
  ReportStatus (const std::string &name, const char *key, uint32_t attempt,
                uint32_t member, Cb__TaskState state, bool checkpointed = false)
  {
    cb_gang_handle_task_status (agents[name], "a", key, attempt, member, state,
                                checkpointed, now);
  }

  void
  Run (cb_msec_t ms)
  {
    for (cb_msec_t end = now + ms; now < end;)
      {
        now += 100;
        for (auto &entry : agents)
          cb_gang_tick (entry.second, now);
        PerformOutputs ();
      }
  }

  // Adds the agents a and b; reserves and starts a gang of two members, member 0 on a
  // and member 1 on b.
  void
  StartPair ()
  {
    AddAgent ("a");
    AddAgent ("b");
    ASSERT_EQ (CB__REASON__REASON_NONE,
               Reserve ("a", "j", 1, 7, { NewPlacement ("a", 0, { 0, 1 }) }));
    ASSERT_EQ (CB__REASON__REASON_NONE,
               Reserve ("b", "j", 1, 7, { NewPlacement ("b", 1, { 2, 3 }) }));
    Start ("a", "j", 1, 7, { "a", "b" });
    Start ("b", "j", 1, 7, { "a", "b" });
  }

  int
  Rejects () const
  {
    int count = 0;
    for (auto *envelope : to_scheduler)
      count += envelope->body_case == CB__ENVELOPE__BODY_EPOCH_REJECT;
    return count;
  }

  const Cb__Task *
  LastTask () const
  {
    for (auto it = to_scheduler.rbegin (); it != to_scheduler.rend (); ++it)
      if ((*it)->body_case == CB__ENVELOPE__BODY_TASK_REPORT)
        return (*it)->task_report->tasks[0];
    return nullptr;
  }

  std::map<std::string, cb_gang_t *> agents;
  std::map<std::string, int> events;    // by "event@agent"
  std::map<std::string, int> calls;     // of the worker, by "action@agent"
  std::map<std::string, int> envelopes; // through the entries, by "sender>receiver"
  std::map<std::string, int> direct_envelopes; // over direct connections, likewise
  uint32_t newest_generation = 0;              // of the direct connections
  uint32_t silent_generation = 0; // connections up to this one lose all messages
  std::unique_ptr<std::string> silent_sender; // only its messages are lost; null: all
  std::vector<Cb__Envelope *> to_scheduler;
  // Returns true for messages through the entries to lose, given sender and receiver.
  std::function<bool (const std::string &, const std::string &)> drop;
  std::string unresponsive_worker; // agent whose worker ignores all calls
  std::string failing_worker;      // agent whose worker fails all starts
  std::string slow_worker;         // agent whose worker never gets beyond starting
  Cb__Reason last_reason = CB__REASON__INTERNAL;
  cb_msec_t now = 1000;
};

} // namespace
