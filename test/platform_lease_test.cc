// Checks real entries and agents, with stand-ins for the users' platform, in what is
// done under a lease by an agent that was paused until the lease was over.
#include "test/platform_site.h"

using site::PlatformSite;

namespace
{

// Guards against two runs of a task at once: a paused agent carries out a start after
// its worker's lease, and the clock of the worker, on which the lease is measured, has
// begun anew with the worker's next incarnation.
TEST (PlatformLease, PausedAgentStartsNothingOnTheNextIncarnationOfItsWorker)
{
  PlatformSite site (1, 2);

  ASSERT_TRUE (site.Up ());
  site.Kill ("runner1");
  site.Pause (3000);
  site.Signal ("agent0", SIGSTOP);
  ASSERT_EQ (site.Submit (0, 1, 0, site.Job (1, 8, "run 6000")).status, 200);
  ASSERT_TRUE (site.Until (
      [&] { return site.Logged ("entry0", "event=run_started job=" + site.Id (1)); }));
  site.Kill ("runner0");
  site.StartRunner (0);
  site.StartRunner (1);
  ASSERT_TRUE (site.Until ([&] { return site.Starts (1) == 1; }));
  site.Signal ("agent0", SIGCONT);
  site.Pause (3000);
  EXPECT_EQ (site.EventTimes ("runner0", "run_start", "\"run\":1").size (), 0u);
  site.CheckRuns ();
}

} // namespace
