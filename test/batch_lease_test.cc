// Tests that a lease that ends early in the eyes of a scheduler has ended for its
// worker, too: leases that the log says are not granted are granted by nobody.
#include "test/batch_harness.h"

namespace
{

// The longest lease of the simulation, as a scheduler counts it.
constexpr cb_msec_t kLeaseMs = 6450;

// Starts job j, one task that takes LENGTH_MS, and makes its worker unreachable for
// FOR_MS, while the task runs on.
Worker *
StartAndCutOff (BatchSimulation &sim, cb_msec_t length_ms, cb_msec_t for_ms)
{
  sim.SubmitAndRun ("j", 1, { { 1, 8 } }, length_ms, 500);
  Worker *w = sim.FirstBusyWorker ();
  if (w == nullptr)
    return nullptr;
  w->reachable = false;
  sim.Advance (for_ms);
  return w;
}

// Appends each record of the log that leases have stopped once more, as a store does
// that carries an append out late.
void
RepeatStoppedLeases (BatchSimulation &sim)
{
  std::vector<std::vector<uint8_t> > log = sim.log;

  for (const auto &bytes : log)
    {
      Cb__BatchRecord *record =
          cb__batch_record__unpack (nullptr, bytes.size (), bytes.data ());
      if (record->body_case == CB__BATCH_RECORD__BODY_LEASES &&
          !record->leases->leases[0]->granted)
        sim.Append (record);
      else
        cb_msg_free (record);
    }
}

// Guards against a run that is given up as its worker was silent for a while, or as the
// scheduler changed right after it had returned.
TEST (BatchLease, RunOfAWorkerThatWasSilentGoesOn)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartAndCutOff (sim, 20000, 4000);
  ASSERT_NE (w, nullptr);
  w->reachable = true;
  sim.Advance (300);
  sim.TakeOver ();
  sim.Advance (14000);
  EXPECT_EQ (w->running.count ("j.0.0.0"), 1u);
  sim.Advance (4000);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_COMPLETED);
}

// Guards against a lease that is granted while the log says that there is none.
TEST (BatchLease, NoneIsGrantedBeforeTheLogHasItsRecord)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartAndCutOff (sim, 20000, 4000);
  ASSERT_NE (w, nullptr);
  sim.log_unavailable = true;
  w->reachable = true;
  Cb__WorkerReport *report = w->NewReport (sim.now);
  cb_batch_handle_report (sim.primary, w->agent.c_str (), report, sim.now);
  cb_msg_free (report);
  Cb__WorkerOrders *commands =
      cb_batch_build_commands (sim.primary, w->agent.c_str (), TRUE, sim.now);
  EXPECT_EQ (commands->lease_until_ms, 0u);
  EXPECT_EQ (commands->n_starts, 0u);
  cb_msg_free (commands);
  sim.log_unavailable = false;
  sim.AppendRecords ();
  commands = cb_batch_build_commands (sim.primary, w->agent.c_str (), TRUE, sim.now);
  EXPECT_GT (commands->lease_until_ms, 0u);
  cb_msg_free (commands);
}

// Guards against a task that runs twice, as a record that leases had stopped was
// applied again after they had been resumed.
TEST (BatchLease, RepeatedRecordDoesNotEndLaterLeases)
{
  BatchSimulation sim (3, 3);

  sim.keep_log = true;
  Worker *w = StartAndCutOff (sim, 30000, 4000);
  ASSERT_NE (w, nullptr);
  w->reachable = true;
  sim.Advance (3000);
  RepeatStoppedLeases (sim);
  w->reachable = false;
  sim.TakeOver ();
  sim.Advance (20000);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_RUNNING);
}

// Guards against the same for a process that began from a snapshot.
TEST (BatchLease, RepeatedRecordDoesNotEndLaterLeasesAfterASnapshot)
{
  BatchSimulation sim (3, 3);

  sim.keep_log = true;
  Worker *w = StartAndCutOff (sim, 30000, 4000);
  ASSERT_NE (w, nullptr);
  w->reachable = true;
  sim.Advance (3000);
  sim.ReloadIdle ();
  RepeatStoppedLeases (sim);
  w->reachable = false;
  sim.TakeOver ();
  sim.Advance (20000);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_RUNNING);
}

// Guards against records of a later epoch that are taken for repeated ones: a task
// would wait for the lease of a lost worker anew after each take-over.
TEST (BatchLease, RecordsOfALaterEpochCount)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartAndCutOff (sim, 60000, 4000);
  ASSERT_NE (w, nullptr);
  w->reachable = true;
  sim.Advance (1000);
  sim.TakeOver ();
  sim.Advance (5000);
  sim.Lose (*w);
  sim.Advance (3000);
  sim.TakeOver ();
  EXPECT_LE (sim.AdvanceUntilRunning ("j", 30000), kLeaseMs - 3000 + 500);
}

// Guards against a start without a lease: the worker rejects it as late.
TEST (BatchLease, NoStartIsOrderedWithoutALease)
{
  BatchSimulation sim (1, 3);
  Worker &w = *sim.workers[0];

  w.calls_lost = true;
  sim.SubmitAndRun ("j", 1, { { 1, 8 } }, 20000, 100);
  w.reachable = false;
  sim.Advance (3000);
  sim.log_unavailable = true;
  sim.HandleReport (w.agent, w);
  Cb__WorkerOrders *commands =
      cb_batch_build_commands (sim.primary, w.agent.c_str (), TRUE, sim.now);
  EXPECT_STREQ (commands->worker, w.id.c_str ());
  EXPECT_EQ (commands->lease_until_ms, 0u);
  EXPECT_EQ (commands->n_starts, 0u);
  cb_msg_free (commands);
}

// Guards against leases that are stopped and resumed in turn for a worker that is still
// silent, each time that its commands are repeated.
TEST (BatchLease, NoneIsResumedWhileItsWorkerIsSilent)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartAndCutOff (sim, 20000, 3000);
  ASSERT_NE (w, nullptr);
  Cb__WorkerOrders *commands =
      cb_batch_build_commands (sim.primary, w->agent.c_str (), TRUE, sim.now);
  EXPECT_EQ (commands->lease_until_ms, 0u);
  cb_msg_free (commands);
  EXPECT_EQ (cb_batch_pop_record (sim.primary), nullptr);
}

// Guards against a lease that is granted after the log may have a record that there is
// none.
TEST (BatchLease, NoneIsGrantedWhileARecordIsOnItsWay)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartAndCutOff (sim, 20000, 1000);
  ASSERT_NE (w, nullptr);
  sim.log_unavailable = true;
  sim.Advance (1500);
  sim.HandleReport (w->agent, *w);
  Cb__WorkerOrders *commands =
      cb_batch_build_commands (sim.primary, w->agent.c_str (), TRUE, sim.now);
  EXPECT_EQ (commands->lease_until_ms, 0u);
  cb_msg_free (commands);
}

// Guards against a task that runs twice, as a process that began from a snapshot did
// not know that the log had stopped the leases of a worker without runs.
TEST (BatchLease, RunStartedAfterASnapshotKeepsItsLease)
{
  BatchSimulation sim (1, 3);

  Worker *w = StartAndCutOff (sim, 30000, 9000);
  ASSERT_NE (w, nullptr);
  sim.Cancel ("j");
  sim.ReloadIdle ();
  sim.TakeOver ();
  w->reachable = true;
  sim.SubmitAndRun ("k", 1, { { 1, 8 } }, 30000, 8000);
  ASSERT_EQ (w->running.count ("k.0.0.0"), 1u);
  sim.workers.push_back (std::make_unique<Worker> ());
  sim.workers.back ()->id = sim.workers.back ()->agent = "x1";
  w->reachable = false;
  sim.TakeOver ();
  sim.Advance (20000);
  EXPECT_EQ (sim.Running ("k"), 1);
}

// Lets the scheduler resign, and another process take over.
void
HandOver (BatchSimulation &sim)
{
  Cb__BatchRecord *record = sim.NewHeartbeat ();

  record->beat->resigns = TRUE;
  sim.Append (record);
  sim.TakeOver ();
}

// Guards against a task that runs twice, as a later incarnation of its worker executes
// its start and gets leases, while the log says that its worker gets none.
TEST (BatchLease, LeasesOfALaterIncarnationCountForRunsOfTheEarlierOne)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartAndCutOff (sim, 30000, 2500);
  ASSERT_NE (w, nullptr);
  w->Restart ();
  sim.StartForEarlierIncarnation (*w, "j.0.0.0", 1, 30000);
  sim.HandleReport (w->agent, *w);
  sim.Advance (20);
  Cb__WorkerOrders *commands =
      cb_batch_build_commands (sim.primary, w->agent.c_str (), TRUE, sim.now);
  sim.Advance (20);
  cb_msg_free (commands);
  commands = cb_batch_build_commands (sim.primary, w->agent.c_str (), TRUE, sim.now);
  EXPECT_GT (commands->lease_until_ms, 0u);
  w->lease_ms = commands->lease_until_ms;
  cb_msg_free (commands);
  sim.TakeOver ();
  sim.Advance (20000);
  EXPECT_EQ (sim.Running ("j"), 1);
}

// Guards against a lease that counts from the return of a scheduler that was paused,
// while the worker's report waited: its worker has vanished since.
TEST (BatchLease, LeaseOfALateReportCountsFromWhenItWasMade)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartAndCutOff (sim, 60000, 0);
  ASSERT_NE (w, nullptr);
  w->reachable = true;
  sim.Advance (500);
  Cb__WorkerReport *report = w->NewReport (sim.now);
  sim.Lose (*w);
  sim.now += 4500;
  cb_batch_handle_report (sim.primary, w->agent.c_str (), report, sim.now);
  cb_msg_free (report);
  Cb__WorkerOrders *commands =
      cb_batch_build_commands (sim.primary, w->agent.c_str (), TRUE, sim.now);
  EXPECT_EQ (commands->lease_until_ms,
             static_cast<uint64_t> (sim.now - 4500 + sim.params.hold_max_ms));
  cb_msg_free (commands);
  cb_msec_t waited_ms = sim.AdvanceUntilRunning ("j", 30000);
  EXPECT_GE (waited_ms, kLeaseMs - 4500);
  EXPECT_LE (waited_ms, kLeaseMs - 4500 + 400);
}

// Guards against a lease that ends too early for a worker whose clock is 2% slow, after
// many reports.
TEST (BatchLease, LeaseCountsForASlowClock)
{
  BatchSimulation sim (2, 3);

  Worker *w = StartAndCutOff (sim, 90000, 0);
  ASSERT_NE (w, nullptr);
  const cb_msec_t since = sim.now;
  for (int i = 0; i < 500; i++)
    {
      sim.Advance (100);
      Cb__WorkerReport *report = w->NewReport (sim.now);
      report->clock_ms = static_cast<uint64_t> (since + (sim.now - since) * 98 / 100);
      cb_batch_handle_report (sim.primary, w->agent.c_str (), report, sim.now);
      cb_msg_free (report);
      Cb__WorkerOrders *commands =
          cb_batch_build_commands (sim.primary, w->agent.c_str (), TRUE, sim.now);
      w->lease_ms = static_cast<uint64_t> (
          since +
          (static_cast<cb_msec_t> (commands->lease_until_ms) - since) * 100 / 98);
      cb_msg_free (commands);
    }
  ASSERT_EQ (w->running.size (), 1u);
  sim.Advance (20000);
  EXPECT_EQ (sim.Running ("j"), 1);
}

// Guards against a lease that ends too early for a worker whose instance was suspended:
// its clock did not run, and each later lease was counted as so much older.
TEST (BatchLease, LeaseAfterASuspensionOfTheWorkerIsNotCountedTooShort)
{
  BatchSimulation sim (2, 3);

  Worker *w = StartAndCutOff (sim, 60000, 5000);
  ASSERT_NE (w, nullptr);
  w->suspended_ms = 5000;
  w->reachable = true;
  sim.Advance (3000);
  w->reachable = false;
  sim.Advance (5500);
  EXPECT_EQ (w->running.count ("j.0.0.0"), 1u);
  EXPECT_EQ (sim.Running ("j"), 1);
}

// Guards against the same for the lease that was in force during the suspension, when
// the worker becomes silent before it has a new one.
TEST (BatchLease, LeaseDuringASuspensionOfTheWorkerLastsLonger)
{
  BatchSimulation sim (2, 3);

  Worker *w = StartAndCutOff (sim, 60000, 5000);
  ASSERT_NE (w, nullptr);
  w->suspended_ms = 5000;
  sim.HandleReport (w->agent, *w);
  sim.Advance (5500);
  EXPECT_EQ (w->running.count ("j.0.0.0"), 1u);
  EXPECT_EQ (sim.Running ("j"), 1);
}

// Guards against a task that runs twice, as its worker has announced its end and does
// not respond any more, but has not ended its runs yet.
TEST (BatchLease, RunsOfAWorkerThatHasLeftWaitForItsLease)
{
  BatchSimulation sim (2, 3);

  Worker *w = StartAndCutOff (sim, 60000, 0);
  ASSERT_NE (w, nullptr);
  Cb__WorkerReport *report = w->NewReport (sim.now);
  report->left = TRUE;
  cb_batch_handle_report (sim.primary, w->agent.c_str (), report, sim.now);
  cb_msg_free (report);
  sim.Advance (5500);
  EXPECT_EQ (w->running.count ("j.0.0.0"), 1u);
  EXPECT_EQ (sim.Running ("j"), 1);
  sim.Advance (1500);
  EXPECT_EQ (w->running.count ("j.0.0.0"), 0u);
  EXPECT_EQ (sim.Running ("j"), 1);
}

// Guards against a wait for leases that a scheduler which has resigned cannot grant.
TEST (BatchLease, AfterAHandOverOnlyTheLeaseIsWaitedFor)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartAndCutOff (sim, 30000, 100);
  ASSERT_NE (w, nullptr);
  sim.Lose (*w);
  HandOver (sim);
  EXPECT_LE (sim.AdvanceUntilRunning ("j", 30000), kLeaseMs + 200);
}

// Guards against a task that runs twice, as the scheduler before the one that has
// resigned may still grant leases.
TEST (BatchLease, HandOverDoesNotCountForTheSchedulerBefore)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartAndCutOff (sim, 30000, 100);
  ASSERT_NE (w, nullptr);
  sim.Lose (*w);
  sim.TakeOver ();
  sim.Advance (500);
  HandOver (sim);
  EXPECT_GE (sim.AdvanceUntilRunning ("j", 30000), kLeaseMs + 4000 - 500);
}

// Registers a process of the entry NAME that started at START_MS and had read
// READ_EPOCH.
void
RegisterEntry (BatchSimulation &sim, const std::string &name, int start_ms,
               uint64_t read_epoch)
{
  Cb__BatchRecord *record = sim.NewRecord (CB__BATCH_RECORD__BODY_AGENT);

  record->agent = NewMessage<Cb__BatchAgent> (&cb__batch_agent__descriptor);
  record->agent->entry = TRUE;
  cb_msg_set_string (&record->agent->name, name.c_str ());
  cb_msg_set_string (&record->agent->identity,
                     (name + "#" + std::to_string (start_ms)).c_str ());
  record->agent->read_epoch = read_epoch;
  sim.Append (record);
}

// Guards against the same wait after a restart of the scheduler's entry, and against a
// shorter one after the late registration of a process before it.
TEST (BatchLease, OnlyALaterProcessOfTheSchedulersEntryShowsThatItHasEnded)
{
  for (bool later : { false, true })
    {
      BatchSimulation sim (3, 3);

      sim.entry_start_ms = 100;
      Worker *w = StartAndCutOff (sim, 30000, 0);
      ASSERT_NE (w, nullptr);
      w->reachable = true;
      sim.TakeOver ();
      sim.Advance (4000);
      sim.Lose (*w);
      RegisterEntry (sim, "standby", 200, later ? sim.epoch : sim.epoch - 1);
      sim.TakeOver ();
      cb_msec_t waited_ms = sim.AdvanceUntilRunning ("j", 30000);
      if (later)
        EXPECT_LE (waited_ms, kLeaseMs + 200);
      else
        EXPECT_GE (waited_ms, kLeaseMs + 4000);
    }
}

// Guards against a wait that a restart of all entries begins anew: the snapshot has the
// time that is left.
TEST (BatchLease, SnapshotHasTheTimeThatIsLeft)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartAndCutOff (sim, 30000, 100);
  ASSERT_NE (w, nullptr);
  sim.Lose (*w);
  sim.Advance (5000);
  sim.ReloadIdle ();
  sim.TakeOver ();
  EXPECT_LE (sim.AdvanceUntilRunning ("j", 30000), 3000);
}

// Advances the time by FOR_MS, with a heartbeat of the scheduler each 250 ms.
void
AdvanceWithHeartbeats (BatchSimulation &sim, cb_msec_t for_ms)
{
  for (cb_msec_t until = sim.now + for_ms; sim.now < until;)
    {
      sim.Advance (std::min<cb_msec_t> (250, until - sim.now));
      sim.Append (sim.NewHeartbeat ());
    }
}

// Guards against a wait for the lease of a lost worker that a restart of all entries
// begins anew, from the time at which they read the log.
TEST (BatchLease, RestartOfAllEntriesDoesNotRepeatTheWait)
{
  for (bool snapshot : { false, true })
    {
      BatchSimulation sim (3, 3);

      Worker *w = StartAndCutOff (sim, 60000, 0);
      ASSERT_NE (w, nullptr);
      sim.SaveSnapshot ();
      sim.Lose (*w);
      AdvanceWithHeartbeats (sim, 3000);
      if (snapshot)
        sim.SaveSnapshot ();
      AdvanceWithHeartbeats (sim, 2000);
      sim.RestartAll (500);
      EXPECT_LE (sim.AdvanceUntilRunning ("j", 30000), kLeaseMs - 5000 + 500)
          << snapshot;
    }
}

// Guards against a task that never runs again as all entries restart sooner than the
// lease of its lost worker would be over.
TEST (BatchLease, RepeatedRestartsOfAllEntriesDoNotRepeatTheWait)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartAndCutOff (sim, 60000, 0);
  ASSERT_NE (w, nullptr);
  sim.SaveSnapshot ();
  sim.Lose (*w);
  AdvanceWithHeartbeats (sim, 2500);
  cb_msec_t since = sim.now;
  while (sim.Running ("j") == 0 && sim.now < since + 64000)
    {
      sim.RestartAll (300);
      AdvanceWithHeartbeats (sim, 1500);
    }
  // What passes between the last record and the return does not count.
  EXPECT_LE (sim.now - since, 2 * kLeaseMs);
}

// Guards against a second run of a task, as too much of the lease of its worker, whose
// clock is 2% slow, is taken as over after restarts of all entries, with schedulers in
// between that have not seen each other's records.
TEST (BatchLease, RestartsOfAllEntriesDoNotEndALeaseEarly)
{
  for (cb_msec_t first_ms = 0; first_ms < 7000; first_ms += 170)
    for (cb_msec_t next_ms : { 0, 400, 1300, 2900 })
      {
        BatchSimulation sim (3, 3);

        Worker *w = StartAndCutOff (sim, 60000, 0);
        ASSERT_NE (w, nullptr);
        sim.SaveSnapshot ();
        cb_msec_t granted_ms = static_cast<cb_msec_t> (w->lease_ms) - 6000;
        w->lease_ms = static_cast<uint64_t> (granted_ms + 6000 * 100 / 98);
        w->reachable = false;
        AdvanceWithHeartbeats (sim, first_ms);
        if (first_ms % 340 == 0)
          sim.SaveSnapshot ();
        sim.RestartAll (200);
        AdvanceWithHeartbeats (sim, next_ms);
        if (next_ms == 1300)
          sim.ClaimUnnoticed (sim.standby, {});
        AdvanceWithHeartbeats (sim, next_ms);
        if (next_ms == 1300)
          sim.EndEarlierScheduler ();
        sim.RestartAll (200);
        AdvanceWithHeartbeats (sim, 9000);
        EXPECT_EQ (sim.violations, std::vector<std::string> ())
            << first_ms << " " << next_ms;
      }
}

// Guards against a second run of a task, as its worker was silent for a while before it
// got leases again, and new processes take those as over that it got before.
TEST (BatchLease, ResumedLeasesCountAfterARestartOfAllEntries)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartAndCutOff (sim, 60000, 0);
  ASSERT_NE (w, nullptr);
  sim.SaveSnapshot ();
  AdvanceWithHeartbeats (sim, 2500);
  w->reachable = true;
  AdvanceWithHeartbeats (sim, 4000);
  w->reachable = false;
  AdvanceWithHeartbeats (sim, 500);
  sim.RestartAll (200);
  AdvanceWithHeartbeats (sim, 12000);
  EXPECT_EQ (sim.violations, std::vector<std::string> ());
}

// Guards against a worker with leases that have been over for long whose runs are taken
// as lost before it can report to a new scheduler how they ended.
TEST (BatchLease, EndBeforeTheLapseCountsAfterATakeOver)
{
  BatchSimulation sim (3, 3);

  // To the moment at which its leases are over.
  Worker *w = StartAndCutOff (sim, 3000, 6350);
  ASSERT_NE (w, nullptr);
  w->reachable = true;
  sim.TakeOver ();
  sim.Advance (1000);
  EXPECT_EQ (sim.Status ("j"), CB_JOB_COMPLETED);
  EXPECT_EQ (sim.first_start_ms.size (), 1u);
}

// Submits job j, one task of 60 s whose start its worker executes LATE_MS late, and
// makes this worker unreachable. Returns it; null: the task has no worker.
Worker *
StartLateAndCutOff (BatchSimulation &sim, cb_msec_t late_ms)
{
  Worker *worker = nullptr;

  for (auto &w : sim.workers)
    w->starts_late_ms = late_ms;
  sim.SubmitAndRun ("j", 1, { { 1, 8 } }, 60000, 110);
  Cb__BatchSnapshot *snapshot =
      cb_batch_save_snapshot (sim.Scheduler (), sim.offset, sim.now);
  for (auto &w : sim.workers)
    {
      w->starts_late_ms = 0;
      if (w->id == snapshot->jobs[0]->steps[0]->tasks[0]->worker)
        worker = w.get ();
    }
  cb_msg_free (snapshot);
  if (worker != nullptr)
    worker->reachable = false;
  return worker;
}

// Guards against a task that runs twice, as its worker executes a start from before its
// leases were over once it has a new one.
TEST (BatchLease, LateStartOfALostRunIsNotExecutedUnderALaterLease)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartLateAndCutOff (sim, 9000);
  ASSERT_NE (w, nullptr);
  sim.Advance (7500);
  ASSERT_EQ (sim.Running ("j"), 1);
  ASSERT_EQ (w->running.size (), 0u);
  w->reachable = true;
  sim.Advance (5000);
  EXPECT_EQ (w->running.size (), 0u);
}

// Guards against the same where the scheduler has granted a lease to a worker of the
// same id at another agent meanwhile.
TEST (BatchLease, LeaseAtAnotherAgentDoesNotLetALateStartTakeEffect)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartLateAndCutOff (sim, 9000);
  ASSERT_NE (w, nullptr);
  sim.Advance (7500);
  ASSERT_EQ (sim.Running ("j"), 1);
  Worker other;
  other.id = w->id;
  other.incarnation_ms = 2;
  other.agent = "x";
  other.accelerators = 0;
  sim.HandleReport (other.agent, other);
  cb_msg_free (cb_batch_build_commands (sim.primary, "x", TRUE, sim.now));
  sim.AppendRecords ();
  w->reachable = true;
  sim.Advance (5000);
  EXPECT_EQ (w->running.size (), 0u);
}

// Guards against a worker that is of no use for long after its runs were lost, and
// against late starts after the second time that happens.
TEST (BatchLease, WorkerIsUsedAgainSoonEachTimeItsRunsWereLost)
{
  BatchSimulation sim (1, 3);
  Worker &w = *sim.workers[0];

  sim.run_time_ms["j"] = 60000;
  sim.Submit ("j", 1, { { 1, 8 } });
  sim.Advance (200);
  for (int i = 0; i < 3; i++)
    {
      ASSERT_EQ (w.running.count ("j.0.0.0"), 1u);
      uint64_t fence = w.fence;
      w.reachable = false;
      sim.Advance (7500);
      w.reachable = true;
      EXPECT_LE (sim.AdvanceUntilRunning ("j", 5000), 500);
      EXPECT_GT (w.fence, fence);
    }
}

// Guards against an epoch that is raised for a worker that reports again in time: its
// agent would drop its commands.
TEST (BatchLease, EpochOfCommandsIsKeptWhileNoRunIsLost)
{
  BatchSimulation sim (3, 3);

  Worker *w = StartAndCutOff (sim, 20000, 4000);
  ASSERT_NE (w, nullptr);
  w->reachable = true;
  sim.Advance (2000);
  EXPECT_EQ (w->running.size (), 1u);
  EXPECT_EQ (w->fence, sim.epoch);
}

} // namespace
