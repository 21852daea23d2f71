// Configuration changes during faults: two operators at the same time, outages of the
// log, paused processes, and the sign-off of a kind, after which it runs at endpoints
// and no longer on the mainframe, during its traffic (invariants I5 and I8 of
// docs/design.md).
#include "test/site.h"

namespace
{

using site::kEndpoints;
using site::Numbered;
using site::Reply;
using site::Site;

// Waits until the process NAME has applied COUNT configurations.
bool
WaitApplied (Site *site, const std::string &name, int count)
{
  return site->Until ([&] { return site->Events (name, "config") >= count; });
}

// Two operators publish changes to the same base version at the same time: one change
// must be accepted, and the other refused with the reason conflict.
TEST (FaultConfig, TwoOperatorsWithOneBase)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ());
  std::string base = std::to_string (site.Version (0));
  std::vector<Reply *> replies;
  for (int entry = 0; entry < 2; entry++)
    replies.push_back (&site.Begin (site.EntryHttp (entry), "POST", "/v1/config",
                                    "{\"base_version\":" + base + ",\"reclaim_ms\":" +
                                        std::to_string (2100 + entry) + "}"));
  ASSERT_TRUE (site.AllDone ());
  EXPECT_EQ (replies[0]->status + replies[1]->status, 200 + 409)
      << replies[0]->body << replies[1]->body;
  for (Reply *reply : replies)
    if (reply->status != 200)
      {
        EXPECT_EQ (reply->Text ("reason"), "conflict");
      }
  EXPECT_EQ (site.Events ("entry0", "config_accepted"), 2);
  EXPECT_TRUE (WaitApplied (&site, "i0", 2));
  EXPECT_TRUE (WaitApplied (&site, "i1", 2));
  site.ExpectNoViolation ();
}

// A configuration is published while an agent and an entry are paused: both must apply
// it after they resume, and no older one after it.
TEST (FaultConfig, ChangeWhileAgentAndEntryArePaused)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ());
  site.Signal ("i0", SIGSTOP);
  site.Signal ("entry1", SIGSTOP);
  EXPECT_TRUE (site.Until ([&] { return site.Apply (0, 2500) == 0; }));
  EXPECT_EQ (site.Events ("i0", "config"), 1);
  EXPECT_EQ (site.Events ("entry1", "config"), 1);
  site.Signal ("i0", SIGCONT);
  site.Signal ("entry1", SIGCONT);
  for (const char *name : { "i0", "i1", "entry0", "entry1" })
    EXPECT_TRUE (WaitApplied (&site, name, 2)) << name;
  site.ExpectNoViolation ();
}

// An entry learns from its peer that a newer version exists, but can't read it from the
// log: after the bound it must refuse work, not decide by the old version. After a
// restart with access to the log it must accept work again.
TEST (FaultConfig, EntryThatLacksANewerVersionRefuses)
{
  Site site (2, 2, kEndpoints);

  site.StartLink ("loglink", "entry0", -1);
  ASSERT_TRUE (site.Up ());
  site.Kill ("loglink");
  EXPECT_TRUE (site.Until ([&] { return site.Apply (1, 2500) == 0; }));
  Reply reply;
  int sent = 0;
  EXPECT_TRUE (site.Until ([&] {
    reply = site.Request (0, Numbered ("r", sent++), "preview");
    return reply.Text ("reason") == "config_stale";
  })) << reply.body;
  EXPECT_EQ (reply.Text ("ran"), "no") << reply.body;
  EXPECT_EQ (site.Request (1, "other", "preview").status, 200);
  // The agents get the version from the other entry.
  for (const char *agent : { "i0", "i1" })
    EXPECT_TRUE (WaitApplied (&site, agent, 2)) << agent;
  // Longer than the bound of I8, or ExpectNoViolation would not check this entry.
  site.Pause (12000);
  EXPECT_EQ (site.Request (0, "late", "preview").Text ("reason"), "config_stale");
  EXPECT_EQ (site.Terminate ("entry0"), 0);
  site.StartLink ("loglink", "entry0", -1);
  site.StartEntry (0);
  EXPECT_TRUE (
      site.Until ([&] { return site.Request (0, "again", "preview").status == 200; }));
  EXPECT_EQ (site.Events ("entry0", "config_stale"), 1);
  site.ExpectNoViolation ();
}

// The append of a change takes effect, but its reply is lost and the log goes down; a
// second change is tried during the outage. The first change must take effect in all
// processes or in none, and a repeat of it must return the current version.
TEST (FaultConfig, ChangesAroundALogOutage)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ());
  site.Control (site.LogAddress (), "{\"down_after\":1}");
  std::string base = std::to_string (site.Version (0));
  auto change = [&] (int entry, int reclaim_ms) {
    return site.Call (site.EntryHttp (entry), "POST", "/v1/config",
                      "{\"base_version\":" + base +
                          ",\"reclaim_ms\":" + std::to_string (reclaim_ms) + "}");
  };
  Reply lost = change (0, 2500);
  EXPECT_EQ (lost.Text ("reason"), "log_unavailable") << lost.body;
  EXPECT_EQ (lost.Text ("ran"), "unknown") << lost.body;
  Reply during = change (1, 2600);
  EXPECT_EQ (during.Text ("reason"), "log_unavailable") << during.body;
  for (const char *name : { "entry0", "entry1", "i0", "i1" })
    EXPECT_EQ (site.Events (name, "config"), 1) << name;
  site.Control (site.LogAddress (), "{\"down\":false}");
  for (const char *name : { "entry0", "entry1", "i0", "i1" })
    EXPECT_TRUE (WaitApplied (&site, name, 2)) << name;
  EXPECT_EQ (site.Events ("entry0", "config_accepted"), 2);
  Reply again;
  EXPECT_TRUE (site.Until ([&] {
    again = change (0, 2500);
    return again.status == 409;
  })) << again.body;
  EXPECT_EQ (again.Text ("detail"),
             "the current version is " + std::to_string (site.Version (0)));
  again = site.Call (site.EntryHttp (1), "GET", "/v1/config");
  EXPECT_NE (again.body.find ("\"reclaim_ms\":2500"), std::string::npos) << again.body;
  EXPECT_EQ (site.Apply (1, 2500), 0);
  EXPECT_EQ (site.Events ("entry0", "config_accepted"), 2);
  site.ExpectNoViolation ();
}

// A kind is signed off from the mainframe during its traffic: a key that was sent to
// the mainframe must not run at an endpoint as well, nor the other way round.
TEST (FaultConfig, SignOffInTheMiddleOfTraffic)
{
  Site site (2, 2, kEndpoints);

  ASSERT_TRUE (site.Up ());
  for (int i = 0; i < 12; i++)
    for (int entry = 0; entry < 2; entry++)
      {
        site.BeginRequest (entry, Numbered ("late", i), "late");
        if (i != 6 || entry != 0)
          continue;
        EXPECT_TRUE (
            site.Until ([&] { return site.AllEvents ("mainframe_run") >= 1; }));
        EXPECT_EQ (site.Apply (1, 2000, "foreman"), 0);
      }
  ASSERT_TRUE (site.AllDone ());
  for (int i = 0; i < 12; i++)
    {
      Reply a = site.RequestUntilEnd (0, Numbered ("late", i), "late");
      Reply b = site.RequestUntilEnd (1, Numbered ("late", i), "late");
      EXPECT_EQ (a.body, b.body);
      EXPECT_EQ (a.Text ("key"), Numbered ("late", i));
    }
  EXPECT_GE (site.AllEvents ("mainframe_run"), 1);
  EXPECT_GE (site.AllEvents ("endpoint_run"), 1);
  EXPECT_EQ (site.AllEvents ("mainframe_run") + site.AllEvents ("endpoint_run"), 12);
  site.ExpectNoViolation ();
  EXPECT_EQ (site.Checked (5), 12u);
}

// A drained instance is removed from the inventory: the drain must be forgotten, and
// its agent, once stopped, must no longer be listed as down.
TEST (FaultConfig, DrainedInstanceLeavesTheInventory)
{
  Site site (2, 2, kEndpoints);
  auto drain = [&] (int entry, const char *action, const char *instance) {
    return site
        .Call (site.EntryHttp (entry), "POST", std::string ("/v1/") + action,
               std::string ("{\"instance\":\"") + instance + "\"}")
        .status;
  };
  auto listed = [&] (const char *text) {
    int count = 0;

    for (int entry = 0; entry < 2; entry++)
      count += Site::Count (
          site.Call (site.EntryHttp (entry), "GET", "/v1/status", "", 2000).body, text);
    return count;
  };

  ASSERT_TRUE (site.Up ());
  EXPECT_EQ (drain (0, "drain", "i1"), 200);
  EXPECT_EQ (site.Call (site.EntryHttp (0), "POST", "/v1/config",
                        "{\"base_version\":" + std::to_string (site.Version (0)) +
                            ",\"racks\":[{\"name\":\"rack0\","
                            "\"availability_zone\":\"z0\",\"instances\":["
                            "{\"name\":\"i0\",\"cores\":60,\"memory_gb\":130,"
                            "\"accelerators\":8}]}]}")
                 .status,
             200);
  // The agent is listed as long as it runs.
  EXPECT_EQ (listed ("\"name\":\"i1\""), 2);
  EXPECT_EQ (site.Terminate ("i1"), 0);
  EXPECT_TRUE (site.Until ([&] { return listed ("\"name\":\"i1\"") == 0; }));
  EXPECT_EQ (drain (1, "undrain", "i1"), 200);
  EXPECT_EQ (drain (1, "undrain", "i1"), 404);
  EXPECT_EQ (drain (1, "drain", "i1"), 404);
  // A new instance with the same name must not be drained.
  EXPECT_TRUE (site.Until ([&] { return site.Apply (1) == 0; }));
  site.StartAgent (1);
  EXPECT_TRUE (site.Ready (2));
  EXPECT_EQ (listed ("\"draining\":true"), 0);
  site.ExpectNoViolation ();
}

} // namespace
