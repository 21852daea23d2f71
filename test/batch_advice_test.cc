// Tests queues whose tasks may run only on workers that the advisor permits, by a
// ticket: no start is sent without a valid ticket, and work starts once the advisor has
// decided.
#include "test/batch_harness.h"

namespace
{

TEST (BatchAdvice, StepStartsOnlyWhereTheAdvisorPermits)
{
  BatchSimulation sim (4, 2);

  sim.EnableAdvisor (0, { "w2" }, 5000);
  sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 5000, 400);
  EXPECT_EQ (sim.workers[2]->running.size (), 1u);
  EXPECT_EQ (sim.refused_tickets, 0);
  EXPECT_EQ (sim.advisor.requests, 1);
}

// A queue without an advisor sends no requests.
TEST (BatchAdvice, OtherQueuesSendNoRequests)
{
  BatchSimulation sim (2, 2);

  sim.EnableAdvisor (0, {}, 5000);
  sim.advisor.ticket_validity_ms = 0;
  sim.SubmitAndRun ("j", 1, { { 1, 8 } }, 5000, 400);
  EXPECT_EQ (sim.Running ("j"), 1);
  EXPECT_EQ (sim.advisor.requests, 0);
}

TEST (BatchAdvice, GangUsesAPermittedRack)
{
  BatchSimulation sim (6, 2);

  sim.EnableAdvisor (0, { "w0", "w2", "w4", "w5" }, 5000);
  sim.SubmitAndRun ("g", 0, { { 2, 8, 1000, true, true } }, 5000, 400);
  EXPECT_EQ (sim.workers[4]->running.size (), 1u);
  EXPECT_EQ (sim.workers[5]->running.size (), 1u);
}

// Guards against a gang that waits for a single rack when the advisor permits only one
// worker in each.
TEST (BatchAdvice, GangIsSpreadWhenNoPermittedRackHoldsIt)
{
  BatchSimulation sim (6, 2);

  sim.EnableAdvisor (0, { "w0", "w2" }, 5000);
  sim.SubmitAndRun ("g", 0, { { 2, 8, 1000, true, true } }, 5000, 400);
  EXPECT_EQ (sim.Running ("g"), 2);
}

// A ticket that was issued while the worker was busy has expired when capacity is free.
TEST (BatchAdvice, ExpiredTicketIsRequestedAgain)
{
  BatchSimulation sim (1, 1);

  sim.SubmitAndRun ("busy", 1, { { 1, 8 } }, 6000, 4000);
  sim.EnableAdvisor (2, { "w0" }, 1000);
  sim.SubmitAndRun ("j", 2, { { 1, 8 } }, 3000, 3500);
  EXPECT_EQ (sim.Running ("j"), 1);
  EXPECT_EQ (sim.refused_tickets, 0);
  EXPECT_EQ (sim.advisor.requests, 2);
}

// Guards against tickets that expire before they can be used, and are requested again
// and again.
TEST (BatchAdvice, TicketOfShortValidityIsUsed)
{
  BatchSimulation sim (1, 1);

  sim.EnableAdvisor (0, { "w0" }, 400);
  sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 5000, 800);
  EXPECT_EQ (sim.Running ("j"), 1);
  EXPECT_EQ (sim.refused_tickets, 0);
}

// Guards against tickets that count as expired when they arrive, as the advisor took
// almost as long to decide as they are valid: the step would never start.
TEST (BatchAdvice, TicketOfASlowAdvisorIsUsed)
{
  for (cb_msec_t advice_ms : { 2650, 3000, 5000 })
    {
      BatchSimulation sim (1, 1);

      sim.EnableAdvisor (0, { "w0" }, 3000, advice_ms, 0);
      sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 5000, advice_ms + 300);
      EXPECT_EQ (sim.Running ("j"), 1) << advice_ms;
      EXPECT_EQ (sim.refused_tickets, 0) << advice_ms;
      EXPECT_EQ (sim.advisor.requests, 1) << advice_ms;
    }
}

// Guards against starts with an expired ticket, or without end for lack of one, after a
// change of the validity that the job's configuration does not show.
TEST (BatchAdvice, ValidityIsThatOfTheAnswer)
{
  BatchSimulation sim (1, 1);

  sim.SubmitAndRun ("busy", 1, { { 1, 8 } }, 3000, 400);
  sim.EnableAdvisor (2, { "w0" }, 60000);
  sim.advisor.ticket_validity_ms = 1000;
  sim.SubmitAndRun ("j", 2, { { 1, 8 } }, 3000, 3500);
  EXPECT_EQ (sim.Running ("j"), 1);
  EXPECT_EQ (sim.refused_tickets, 0);
  EXPECT_EQ (sim.advisor.requests, 2);
}

// Guards against repeated starts with a ticket that the worker takes as expired earlier
// than the scheduler.
TEST (BatchAdvice, RejectedTicketIsRequestedAgain)
{
  BatchSimulation sim (1, 1);

  sim.SubmitAndRun ("busy", 1, { { 1, 8 } }, 3000, 400);
  sim.EnableAdvisor (2, { "w0" }, 2000, 1500);
  sim.advisor.issues_early = true;
  sim.SubmitAndRun ("j", 2, { { 1, 8 } }, 3000, 5000);
  EXPECT_EQ (sim.Running ("j"), 1);
  EXPECT_EQ (sim.refused_tickets, 1);
  EXPECT_EQ (sim.advisor.requests, 2);
}

TEST (BatchAdvice, RestartedWorkerNeedsANewTicket)
{
  BatchSimulation sim (1, 1);

  sim.EnableAdvisor (0, { "w0" }, 60000);
  sim.SubmitAndRun ("j", 0, { { 1, 8 } }, 4000, 500);
  EXPECT_EQ (sim.Running ("j"), 1);
  sim.workers[0]->Restart ();
  sim.Advance (1500);
  EXPECT_EQ (sim.Running ("j"), 1);
  EXPECT_EQ (sim.refused_tickets, 0);
  sim.Advance (5000);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_COMPLETED);
}

// Guards against work of an advised queue that a new scheduler cannot start.
TEST (BatchAdvice, NewSchedulerSendsItsOwnRequests)
{
  BatchSimulation sim (2, 2);

  sim.EnableAdvisor (0, { "w1" }, 60000);
  sim.Submit ("j", 0, { { 1, 8 } });
  sim.Claim (sim.standby);
  sim.Advance (800);
  EXPECT_EQ (sim.workers[1]->running.size (), 1u);
}

// Guards against an accepted job that never ends as a later configuration lacks its
// queue: its next step would be started without tickets, or not at all.
TEST (BatchAdvice, JobKeepsItsAdvisorWhenItsQueueIsDropped)
{
  for (const std::string successor : { "none", "entry", "snapshot" })
    {
      BatchSimulation sim (3, 3);
      StepSpec second;

      sim.EnableAdvisor (1, { "w1" }, 5000);
      second.after = { 0 };
      sim.SubmitAndRun ("j", 1, { {}, second }, 2000, 500);
      ASSERT_EQ (sim.Running ("j"), 1) << successor;
      sim.DropQueues ();
      if (successor == "snapshot")
        sim.ReloadIdle ();
      if (successor != "none")
        sim.TakeOver ();
      sim.Advance (3000);
      EXPECT_EQ (sim.workers[1]->running.count ("j.0.1.0"), 1u) << successor;
      EXPECT_EQ (sim.refused_tickets, 0) << successor;
      sim.Advance (1500);
      EXPECT_EQ (sim.Status ("j"), CB_JOB_COMPLETED) << successor;
    }
}

// Guards against work that never starts because the fleet has more workers than one
// request may contain, and the permitted ones come last.
TEST (BatchAdvice, LargeFleetNeedsSeveralRequests)
{
  BatchSimulation sim (70, 3);

  sim.EnableAdvisor (0, { "w68", "w69" }, 5000);
  sim.SubmitAndRun ("j", 0, { { 2, 8 } }, 5000, 1000);
  EXPECT_EQ (sim.Running ("j"), 2);
  EXPECT_LE (sim.advisor.requests, 3);
}

// Guards against a gang that never starts on an idle fleet: it needs more workers than
// one request names, and the first tickets expire before the last ones arrive.
TEST (BatchAdvice, TicketsOfALargeGangAreValidTogether)
{
  BatchSimulation sim (40, 40);
  std::set<std::string> all;

  for (int i = 0; i < 40; i++)
    all.insert ("w" + std::to_string (i));
  sim.EnableAdvisor (0, all, 3000, 2600, 1);
  sim.SubmitAndRun ("g", 0, { { 35, 8, 1000, true } }, 5000, 6000);
  EXPECT_EQ (sim.Running ("g"), 35);
  EXPECT_EQ (sim.refused_tickets, 0);
  EXPECT_LE (sim.advisor.requests, 2);
}

// Guards against long requests for a small gang, as the advisor takes time for each
// worker.
TEST (BatchAdvice, RequestsOfASmallGangAreBounded)
{
  BatchSimulation sim (70, 3);

  sim.EnableAdvisor (0, { "w68", "w69" }, 5000);
  sim.SubmitAndRun ("g", 0, { { 2, 8, 1000, true } }, 5000, 1000);
  EXPECT_EQ (sim.Running ("g"), 2);
  EXPECT_LE (sim.advisor.requests, 3);
  EXPECT_LE (sim.advisor.largest_request, 30u);
}

// A guarantee preempts on the workers that the advisor permits, and starts in time.
TEST (BatchAdvice, GuaranteePreemptsOnPermittedWorkers)
{
  BatchSimulation sim (2, 2, { { "owner", 8 } });

  sim.SubmitAndRun ("lent", 0, { { 16, 1 } }, 60000, 400, "other");
  ASSERT_EQ (sim.Running ("lent"), 16);
  sim.EnableAdvisor (0, { "w1" }, 5000);
  sim.advisor.ticket_validity_ms = 0;
  sim.run_time_ms["own"] = 5000;
  cb_msec_t accepted = sim.now;
  sim.Submit ("own", 0, { { 1, 8 } }, "owner");
  sim.Advance (sim.params.reclaim_ms);
  ASSERT_EQ (sim.first_start_ms.count ("own.0.0.0"), 1u);
  EXPECT_LE (sim.first_start_ms["own.0.0.0"] - accepted, sim.params.reclaim_ms);
  EXPECT_EQ (sim.workers[1]->running.count ("own.0.0.0"), 1u);
}

} // namespace
