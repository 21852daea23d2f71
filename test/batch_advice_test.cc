// Guards queues whose policy lets only some workers run a step: starts without a ticket
// are rejected, and work that waits for no answer never runs.
#include "test/batch_harness.h"

namespace
{

TEST (BatchAdvice, StepStartsOnlyWhereTheAdvisorAllows)
{
  BatchSite site (4, 2);

  site.Advised (0, { "w2" }, 5000);
  site.SubmitAndRun ("j", 0, { { 1, 8 } }, 5000, 400);
  EXPECT_EQ (site.workers[2]->running.size (), 1u);
  EXPECT_EQ (site.refused_tickets, 0);
  EXPECT_EQ (site.advisor.questions, 1);
}

// A queue without an advisor asks nothing.
TEST (BatchAdvice, OtherQueuesAreNotAskedAbout)
{
  BatchSite site (2, 2);

  site.Advised (0, {}, 5000);
  site.advisor.ticket_ms = 0;
  site.SubmitAndRun ("j", 1, { { 1, 8 } }, 5000, 400);
  EXPECT_EQ (site.Running ("j"), 1);
  EXPECT_EQ (site.advisor.questions, 0);
}

TEST (BatchAdvice, GangTakesARackThatIsAllowed)
{
  BatchSite site (6, 2);

  site.Advised (0, { "w0", "w2", "w4", "w5" }, 5000);
  site.SubmitAndRun ("g", 0, { { 2, 8, 1000, true, true } }, 5000, 400);
  EXPECT_EQ (site.workers[4]->running.size (), 1u);
  EXPECT_EQ (site.workers[5]->running.size (), 1u);
}

// Guards against a gang that waits for a rack of which the advisor allows one worker.
TEST (BatchAdvice, GangIsSpreadWhenNoAllowedRackHoldsIt)
{
  BatchSite site (6, 2);

  site.Advised (0, { "w0", "w2" }, 5000);
  site.SubmitAndRun ("g", 0, { { 2, 8, 1000, true, true } }, 5000, 400);
  EXPECT_EQ (site.Running ("g"), 2);
}

// A ticket that was given while the worker was busy is over when there is room.
TEST (BatchAdvice, TicketThatIsOverIsAskedForAgain)
{
  BatchSite site (1, 1);

  site.SubmitAndRun ("busy", 1, { { 1, 8 } }, 6000, 4000);
  site.Advised (2, { "w0" }, 1000);
  site.SubmitAndRun ("j", 2, { { 1, 8 } }, 3000, 3500);
  EXPECT_EQ (site.Running ("j"), 1);
  EXPECT_EQ (site.refused_tickets, 0);
  EXPECT_EQ (site.advisor.questions, 2);
}

// Guards against tickets that are over before they are used, and asked for without end.
TEST (BatchAdvice, ShortTicketIsUsed)
{
  BatchSite site (1, 1);

  site.Advised (0, { "w0" }, 400);
  site.SubmitAndRun ("j", 0, { { 1, 8 } }, 5000, 800);
  EXPECT_EQ (site.Running ("j"), 1);
  EXPECT_EQ (site.refused_tickets, 0);
}

TEST (BatchAdvice, NextLifeOfAWorkerNeedsATicketOfItsOwn)
{
  BatchSite site (1, 1);

  site.Advised (0, { "w0" }, 60000);
  site.SubmitAndRun ("j", 0, { { 1, 8 } }, 4000, 500);
  EXPECT_EQ (site.Running ("j"), 1);
  site.workers[0]->Crash ();
  site.Advance (1500);
  EXPECT_EQ (site.Running ("j"), 1);
  EXPECT_EQ (site.refused_tickets, 0);
  site.Advance (5000);
  EXPECT_EQ (site.Status ("j"), CB_JOB_COMPLETED);
}

// Guards against work of an advised queue that a new scheduler cannot start.
TEST (BatchAdvice, NextSchedulerAsksItself)
{
  BatchSite site (2, 2);

  site.Advised (0, { "w1" }, 60000);
  site.Submit ("j", 0, { { 1, 8 } });
  site.Claim (site.follower);
  site.Advance (800);
  EXPECT_EQ (site.workers[1]->running.size (), 1u);
}

// More workers than one question takes: those that may run the step come last.
TEST (BatchAdvice, LargeFleetIsAskedAboutInParts)
{
  BatchSite site (70, 3);

  site.Advised (0, { "w68", "w69" }, 5000);
  site.SubmitAndRun ("j", 0, { { 2, 8 } }, 5000, 1000);
  EXPECT_EQ (site.Running ("j"), 2);
  EXPECT_LE (site.advisor.questions, 3);
}

// Guaranteed work takes back lent accelerators of the workers it may use, in time.
TEST (BatchAdvice, GuaranteeIsReclaimedOnAllowedWorkers)
{
  BatchSite site (2, 2, { { "owner", 8 } });

  site.SubmitAndRun ("lent", 0, { { 16, 1 } }, 60000, 400, "other");
  ASSERT_EQ (site.Running ("lent"), 16);
  site.Advised (0, { "w1" }, 5000);
  site.advisor.ticket_ms = 0;
  site.length_ms["own"] = 5000;
  cb_msec_t accepted = site.now;
  site.Submit ("own", 0, { { 1, 8 } }, "owner");
  site.Advance (site.params.reclaim_ms);
  ASSERT_EQ (site.first_start_ms.count ("own.0.0.0"), 1u);
  EXPECT_LE (site.first_start_ms["own.0.0.0"] - accepted, site.params.reclaim_ms);
  EXPECT_EQ (site.workers[1]->running.count ("own.0.0.0"), 1u);
}

} // namespace
