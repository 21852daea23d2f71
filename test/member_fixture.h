// Entries and agents in virtual time that exchange messages over links that a test can
// cut in either direction.
#pragma once
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "member/fns.h"

namespace
{

// An entry. EVENTS holds each observed event with the name of its agent, peer or cell,
// as "silent west".
struct Entry
{
  Cb__Settings *settings;
  cb_peers_t *peers;
  std::vector<std::string> events;
  std::map<std::string, std::string> homes; // of each agent, at its last event
  uint64_t folded = 0;
  bool paused = false;
  bool terminated = false;
};

struct Agent
{
  Cb__Settings *settings;
  cb_home_t *home;
  std::string entry; // its home entry
  uint32_t generation = 0;
  int moves = 0; // changes of the entry, the first connection included
};

// Delivers envelopes between entries and agents without delay, except over cut links.
class MemberTest : public ::testing::Test
{
protected:
  cb_msec_t now = 100000;
  std::map<std::string, std::unique_ptr<Entry> > entries;
  std::map<std::string, std::unique_ptr<Agent> > agents;
  std::set<std::pair<std::string, std::string> > cut_links; // from, to
  std::vector<std::string> entry_names;
  size_t largest_heartbeat = 0;
  int acks = 0;
  int heartbeats = 0;
  int heartbeats_to_lose = 0;               // number of next heartbeats not to deliver
  std::map<std::string, std::string> cells; // cells of entries outside "west"
  std::map<std::string, int> peer_heartbeats; // by receiving entry

  void
  TearDown () override
  {
    for (auto &e : entries)
      FreeEntry (e.second.get ());
    for (auto &a : agents)
      {
        cb_home_free (a.second->home);
        cb_msg_free (a.second->settings);
      }
  }

  static void
  FreeEntry (Entry *e)
  {
    cb_peers_free (e->peers);
    cb_msg_free (e->settings);
  }

  Cb__Settings *
  MakeSettings (const std::string &name)
  {
    auto *s = static_cast<Cb__Settings *> (cb_msg_new (&cb__settings__descriptor));

    cb_msg_set_string (&s->name, name.c_str ());
    cb_msg_set_string (&s->cell,
                       cells.count (name) > 0 ? cells[name].c_str () : "west");
    for (const auto &e : entry_names)
      {
        auto *p = static_cast<Cb__Peer *> (cb_msg_new (&cb__peer__descriptor));

        cb_msg_set_string (&p->name, e.c_str ());
        cb_msg_set_string (&p->address, "127.0.0.1:1");
        cb_msg_append (reinterpret_cast<void ***> (&s->entries), &s->n_entries, p);
      }
    return s;
  }

  static void
  Observe (void *ctx, cb_member_event_t event, const char *name, const Cb__AgentHome *a)
  {
    static const char *const names[] = { "up ",      "changed ",   "down ",
                                         "peer-up ", "peer-down ", "silent ",
                                         "one-way ", "moved " };

    Entry *entry = static_cast<Entry *> (ctx);

    entry->events.push_back (std::string (names[event]) + name);
    if (a != nullptr)
      {
        const char *home = cb_peers_home_entry (entry->peers, name);
        entry->homes[name] = home == nullptr ? "" : home;
      }
  }

  void
  AddEntry (const std::string &name, uint64_t incarnation = 1)
  {
    std::unique_ptr<Entry> e (new Entry);
    cb_member_params_t params = {};

    if (entries.count (name) > 0)
      FreeEntry (entries[name].get ());
    e->settings = MakeSettings (name);
    params.settings = e->settings;
    params.incarnation = incarnation;
    e->peers = cb_peers_new (&params, Observe, e.get ());
    entries[name] = std::move (e);
  }

  void
  AddAgent (const std::string &name, uint64_t incarnation = 1)
  {
    std::unique_ptr<Agent> a (new Agent);
    cb_member_params_t params = {};

    if (agents.count (name) > 0)
      {
        cb_home_free (agents[name]->home);
        cb_msg_free (agents[name]->settings);
      }
    a->settings = MakeSettings (name);
    cb_msg_set_string (&a->settings->worker_address, "127.0.0.1:2");
    params.settings = a->settings;
    params.incarnation = incarnation;
    a->home = cb_home_new (&params);
    agents[name] = std::move (a);
  }

  void
  Deliver (const std::string &from, const std::string &to, const Cb__Envelope *env)
  {
    if (cut_links.count ({ from, to }) > 0)
      return;
    if (agents.count (to) > 0)
      cb_home_receive (agents[to]->home, env, now);
    else if (entries.count (to) > 0 && !entries[to]->terminated && !entries[to]->paused)
      cb_peers_receive (entries[to]->peers, env, now);
  }

  void
  DeliverOutputs (const std::string &from, cb_outq_t *queue, const std::string &home)
  {
    cb_out_t *out;

    while ((out = cb_outq_pop (queue)) != nullptr)
      {
        std::string to = out->envelope->to;

        if (out->envelope->body_case == CB__ENVELOPE__BODY_HEARTBEAT)
          {
            largest_heartbeat = cb__envelope__get_packed_size (out->envelope);
            heartbeats++;
            if (heartbeats_to_lose > 0 && heartbeats_to_lose--)
              to = "nobody";
          }
        peer_heartbeats[to] += out->envelope->body_case == CB__ENVELOPE__BODY_PEER_BEAT;
        acks += out->envelope->body_case == CB__ENVELOPE__BODY_HEARTBEAT_ACK;
        Deliver (from, to.empty () ? home : to, out->envelope);
        cb_out_free (out);
      }
  }

  // Advances the time by one tick of 50 ms for all agents and entries.
  void
  Step ()
  {
    now += 50;
    for (auto &a : agents)
      {
        uint32_t generation;

        cb_home_tick (a.second->home, now);
        const Cb__Peer *p = cb_home_entry (a.second->home, &generation);
        if (a.second->entry != p->name)
          a.second->moves++;
        a.second->entry = p->name;
        a.second->generation = generation;
        DeliverOutputs (a.first, cb_home_outputs (a.second->home), p->name);
      }
    for (auto &e : entries)
      {
        if (e.second->terminated || e.second->paused)
          continue;
        cb_peers_tick (e.second->peers, now);
        DeliverOutputs (e.first, cb_peers_outputs (e.second->peers), "");
      }
  }

  void
  Run (cb_msec_t ms)
  {
    for (cb_msec_t end = now + ms; now < end;)
      Step ();
  }

  // Applies a claim of the cell by the entry NAME in all running entries.
  void
  ApplyClaim (const std::string &name, uint64_t epoch)
  {
    for (auto &e : entries)
      {
        if (e.second->paused || e.second->terminated)
          continue;
        cb_peers_set_state (e.second->peers, 0, epoch + 1, epoch, name.c_str (), FALSE);
        cb_peers_set_scheduling (e.second->peers, e.first == name ? epoch : 0);
      }
  }

  int
  Count (const std::string &entry, const std::string &event)
  {
    int n = 0;

    for (const auto &e : entries[entry]->events)
      n += e == event;
    return n;
  }

  // Returns the entries that were due to claim the cell since ClearEvents.
  std::vector<std::string>
  Claimants ()
  {
    std::vector<std::string> names;

    for (auto &e : entries)
      if (Count (e.first, "silent west") > 0)
        names.push_back (e.first);
    return names;
  }

  void
  ClearEvents ()
  {
    for (auto &e : entries)
      e.second->events.clear ();
  }

  void
  Start (std::vector<std::string> names)
  {
    entry_names = names;
    for (const auto &n : names)
      AddEntry (n);
  }

  // Returns the first entry that is due to claim the cell, "" if none is within 10 s.
  std::string
  WaitForClaimant ()
  {
    for (int i = 0; i < 200 && Claimants ().empty (); i++)
      Step ();
    return Claimants ().empty () ? "" : Claimants ()[0];
  }
};

} // namespace
