// Placement: adjacency, best fit, and pins that move or are reported short, which means
// that they fit on no workers.
#include "test/sched_harness.h"

namespace
{

JobSpec
Spec (const std::string &key, uint32_t members, uint32_t accelerators,
      Cb__Adjacency adjacency)
{
  JobSpec s;
  s.account = "a";
  s.key = key;
  s.kind = "steady";
  s.members = members;
  s.accelerators = accelerators;
  s.adjacency = adjacency;
  return s;
}

std::set<std::string>
InstancesOf (const Cell &cell, const std::string &key)
{
  std::set<std::string> found;
  for (auto &a : cell.agents)
    for (auto &h : a.second)
      if (h.key == key)
        found.insert (a.first);
  return found;
}

// Small jobs must share one instance: spread over empty instances they would leave no
// instance for large jobs.
TEST (Place, SmallJobsShareTheFullestInstance)
{
  Site site (1, 2, 3, 8);
  Cell cell (site);
  cell.Run (200);
  std::set<std::string> used;
  for (int i = 0; i < 8; i++)
    {
      std::string key = std::to_string (i);
      cell.Add (Spec (key, 1, 1, CB__ADJACENCY__ANY));
      cell.Run (300);
      for (auto &p : InstancesOf (cell, key))
        used.insert (p);
    }
  EXPECT_EQ (used.size (), 1u);
}

// A gang must be placed with the adjacency it asks for, or not at all: otherwise it
// runs at a fraction of its speed.
TEST (Place, AdjacencyIsKept)
{
  Site site (2, 2, 3, 8);
  Cell cell (site);
  cell.Run (200);
  cell.Add (Spec ("i", 4, 2, CB__ADJACENCY__INSTANCE));
  cell.Add (Spec ("r", 3, 8, CB__ADJACENCY__RACK));
  cell.Add (Spec ("z", 5, 8, CB__ADJACENCY__ZONE));
  cell.Add (Spec ("no", 4, 8, CB__ADJACENCY__RACK));
  cell.Run (1000);
  cell.Check ();
  EXPECT_EQ (InstancesOf (cell, "i").size (), 1u);
  EXPECT_EQ (InstancesOf (cell, "r").size (), 3u);
  EXPECT_EQ (InstancesOf (cell, "z").size (), 5u);
  EXPECT_EQ (InstancesOf (cell, "no").size (), 0u);
  std::set<int> racks, zones;
  for (auto &p : InstancesOf (cell, "r"))
    racks.insert (atoi (p.c_str () + 1) / 3);
  for (auto &p : InstancesOf (cell, "z"))
    zones.insert (atoi (p.c_str () + 1) / 6);
  EXPECT_EQ (racks.size (), 1u);
  EXPECT_EQ (zones.size (), 1u);
}

// Pins on a lost worker must move to another, or be reported short when there is none.
TEST (Place, PinsMoveOrAreReportedShort)
{
  Site site (1, 1, 3, 8);
  site.Account ("owner", 0, 2, 8);
  Cell cell (site);
  cell.Run (200);
  EXPECT_EQ (cell.Totals ().guarantees, 2u);
  cell.TakeDown ("w0");
  cell.Run (200);
  EXPECT_EQ (cell.Totals ().guarantees_short, 0u);
  cell.TakeDown ("w1");
  cell.Run (200);
  cell.Check ();
  EXPECT_EQ (cell.Totals ().guarantees_short, 1u);
  cell.BringUp ("w0");
  cell.Run (200);
  EXPECT_EQ (cell.Totals ().guarantees_short, 0u);
}

// Unused pins must move off the only rack that is free for a large job.
TEST (Place, PinsMoveForLargeJobs)
{
  Site site (1, 2, 3, 8);
  site.Account ("owner", 0, 1, 8);
  Cell cell (site);
  cell.Run (200);
  cell.TakeDown ("w1");
  cell.TakeDown ("w2");
  cell.Add (Spec ("b", 1, 8, CB__ADJACENCY__INSTANCE));
  cell.Run (1000);
  EXPECT_EQ (InstancesOf (cell, "b"), std::set<std::string>{ "w3" });
  cell.BringUp ("w1");
  cell.BringUp ("w2");
  cell.Add (Spec ("c", 3, 8, CB__ADJACENCY__RACK));
  cell.Run (2000);
  cell.Check ();
  EXPECT_EQ (InstancesOf (cell, "c"), (std::set<std::string>{ "w0", "w1", "w2" }));
  EXPECT_EQ (cell.Totals ().guarantees_short, 0u);
}

// A small job must use a rack held for a large job before another account's pin.
// Otherwise it takes the pin, although a worker of the same size is free, and is
// preempted by the owner.
TEST (Place, HeldRackIsPreferredToPinsOfOthers)
{
  Site site (1, 2, 3, 4);
  site.Account ("owner", 0, 1, 4);
  Cell cell (site);
  cell.Run (200);
  for (int i = 0; i < 3; i++)
    {
      JobSpec s = Spec (std::to_string (i), 1, 4, CB__ADJACENCY__INSTANCE);
      s.run_ms = 600000;
      cell.Add (s);
    }
  cell.Run (1000);
  ASSERT_EQ (InstancesOf (cell, "2"), std::set<std::string>{ "w3" });
  cell.Add (Spec ("large", 3, 4, CB__ADJACENCY__RACK)); // w4 and w5 are held for it
  cell.Run (1000);
  JobSpec borrower = Spec ("borrower", 1, 4, CB__ADJACENCY__INSTANCE);
  borrower.kind = "batch";
  borrower.run_ms = 7200000;
  cell.Add (borrower);
  cell.Run (1000);
  JobSpec own = Spec ("own", 1, 4, CB__ADJACENCY__INSTANCE);
  own.account = "owner";
  cell.Add (own);
  cell.Run (3000);
  cell.Check ();
  EXPECT_EQ (InstancesOf (cell, "own"), std::set<std::string>{ "w0" });
  EXPECT_EQ (InstancesOf (cell, "borrower"), std::set<std::string>{ "w4" });
  EXPECT_EQ (cell.starts[Cell::Id ("a", "borrower")], 1);
}

// A remembered refusal must expire with the wait for a partly used instance that caused
// it, even when nothing else changes in the cell.
TEST (Place, WaitForAPartlyUsedInstanceEndsInAnIdleCell)
{
  Site site (1, 1, 3, 8);
  site.Account ("owner", 0, 1, 4);
  site.config->rules->weights =
      static_cast<Cb__Weights *> (cb_msg_new (&cb__weights__descriptor));
  site.config->rules->weights->fragmentation = 1;
  Cell cell (site);
  cell.Run (200);
  for (int i = 0; i < 5; i++)
    {
      JobSpec s = Spec (std::to_string (i), 1, 4, CB__ADJACENCY__INSTANCE);
      s.run_ms = 7200000;
      cell.Add (s);
    }
  cell.Run (1000);
  ASSERT_EQ (cell.Totals ().accelerators_used, 20u);
  JobSpec small = Spec ("small", 1, 1, CB__ADJACENCY__INSTANCE);
  small.kind = "batch";
  cell.Add (small);
  cell.Run (590000);
  EXPECT_EQ (InstancesOf (cell, "small").size (), 0u);
  cell.Run (11000);
  EXPECT_EQ (InstancesOf (cell, "small").size (), 1u);
}

// No job may be placed on an agent that drains or is down.
TEST (Place, DrainingAndUnreachableAgentsGetNoWork)
{
  Site site (1, 1, 3, 8);
  Cell cell (site);
  cell.Run (200);
  cb_sched_set_draining (cell.sched, "w0", TRUE, cell.now);
  cell.TakeDown ("w1");
  cell.Add (Spec ("x", 1, 8, CB__ADJACENCY__ANY));
  cell.Add (Spec ("y", 1, 8, CB__ADJACENCY__ANY));
  cell.Run (1000);
  EXPECT_EQ (cell.Totals ().accelerators_used, 8u);
  EXPECT_EQ (InstancesOf (cell, "x"), std::set<std::string>{ "w2" });
}

} // namespace
