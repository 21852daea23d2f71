// Batch jobs in virtual time: a log, two folds of it, workers under leases. After each
// step it checks what must hold at the workers: no task runs twice at a time, none runs
// again after it was done, no worker is over its capacity.
#ifndef TEST_BATCH_HARNESS_H
#define TEST_BATCH_HARNESS_H

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "batch/fns.h"
#include "test/batch_advisor.h"
#include "test/batch_worker.h"

struct StepSpec
{
  uint32_t count = 1;
  uint32_t accelerators = 1;
  uint32_t cpu_milli = 1000;
  bool gang = false;
  bool same_rack = false;
  bool saves = false;
  uint32_t per_worker_max = 0;
  std::vector<uint32_t> after = {};
  uint32_t estimate_ms = 1000;
  uint32_t target_ms = 0; // above 0: lasting tasks that serve
  bool lasts = false;
  uint32_t max_unavailable = 0;
  bool fills = false;

  Cb__BatchStep *
  NewStep () const
  {
    auto *step = NewMessage<Cb__BatchStep> (&cb__batch_step__descriptor);

    step->count = count;
    step->accelerators = accelerators;
    step->cpu_milli = cpu_milli;
    step->gang = gang;
    step->same_rack = same_rack;
    step->saves = saves;
    step->per_worker_max = per_worker_max;
    step->estimate_ms = estimate_ms;
    step->target_ms = target_ms;
    step->max_unavailable = max_unavailable;
    step->daemon = lasts || target_ms > 0;
    step->fills = fills;
    step->n_after = after.size ();
    if (!after.empty ())
      step->after = static_cast<uint32_t *> (calloc (after.size (), sizeof (uint32_t)));
    std::copy (after.begin (), after.end (), step->after);
    return step;
  }
};

// Time after which a worker that fails everything has failed a run.
constexpr cb_msec_t kFailsAfterMs = 50;

class BatchSite
{
public:
  cb_batch_params_t params = { 6000, 400, 2900, 120000, 3, nullptr };
  cb_batch_t *lead = cb_batch_new (&params);
  cb_batch_t *follower = cb_batch_new (&params);
  cb_batch_config_t *config = cb_batch_config_new ();
  std::vector<std::unique_ptr<Worker> > workers;
  std::map<std::string, cb_msec_t> length_ms; // of a job's tasks, default 1000
  std::map<std::string, int> fails;           // task -> runs that fail first
  std::set<std::string> done;
  std::map<std::string, cb_msec_t> first_start_ms; // of a task
  std::map<std::string, std::string> started_with; // checkpoint of the latest start
  cb_msec_t now = 100000;
  uint64_t offset = 0;
  std::vector<std::string> violations;
  uint64_t epoch = 0;
  bool keep_log = false;
  std::string queue;         // of the next jobs; empty: by priority
  uint32_t times = 0;        // occurrences of the next jobs, from now on
  cb_msec_t interval_ms = 0; // between them
  bool log_away = false;     // records of the scheduler wait
  Advisor advisor;
  int refused_tickets = 0;
  int failed_runs = 0;
  std::set<std::string> stopped; // tasks of which a run was stopped
  std::vector<std::vector<uint8_t> > log;

  BatchSite (int count, int per_rack, std::map<std::string, uint32_t> accounts = {})
  {
    for (const auto &a : accounts)
      cb_batch_config_add_account (config, a.first.c_str ())->guaranteed = a.second;
    cb_batch_set_config (lead, config);
    cb_batch_set_config (follower, config);
    for (int i = 0; i < count; i++)
      {
        workers.push_back (std::make_unique<Worker> ());
        workers.back ()->id = "w" + std::to_string (i);
        workers.back ()->agent = "a" + std::to_string (i);
        workers.back ()->rack = "r" + std::to_string (i / per_rack);
      }
    Claim (lead);
    Advance (300);
  }
  ~BatchSite ()
  {
    cb_batch_free (lead);
    cb_batch_free (follower);
    cb_batch_config_unref (config);
  }

  // Appends a record, which both folds apply.
  uint64_t
  Append (Cb__BatchRecord *record)
  {
    cb_batch_apply (lead, offset, record, now, now);
    cb_batch_apply (follower, offset, record, now, now);
    if (keep_log)
      {
        log.emplace_back (cb__batch_record__get_packed_size (record));
        cb__batch_record__pack (record, log.back ().data ());
      }
    cb_msg_free (record);
    return offset++;
  }
  static Cb__BatchRecord *
  NewRecord (Cb__BatchRecord__BodyCase body)
  {
    auto *record = NewMessage<Cb__BatchRecord> (&cb__batch_record__descriptor);
    record->body_case = body;
    return record;
  }
  // The scheduler's record of the workers that it can use.
  Cb__BatchRecord *
  NewBeat ()
  {
    Cb__BatchRecord *record = NewRecord (CB__BATCH_RECORD__BODY_BEAT);

    record->epoch = epoch;
    record->beat = NewMessage<Cb__BatchBeat> (&cb__batch_beat__descriptor);
    cb_batch_fill_beat (active, record->beat);
    return record;
  }
  // Makes SCHEDULER the scheduler: `lead`, or `follower` for a takeover.
  void
  Claim (cb_batch_t *scheduler)
  {
    Cb__BatchRecord *record = NewRecord (CB__BATCH_RECORD__BODY_CLAIM);
    record->claim = NewMessage<Cb__BatchClaim> (&cb__batch_claim__descriptor);
    cb_msg_set_string (&record->claim->entry, scheduler == lead ? "lead" : "follower");
    record->claim->replaces_epoch = epoch;
    Append (record);
    epoch = cb_batch_epoch (scheduler);
    cb_batch_lead (scheduler, epoch, now);
    active = scheduler;
  }
  void
  Submit (const std::string &id, uint32_t priority, std::vector<StepSpec> steps,
          const std::string &account = "acc", uint32_t attempts = 3)
  {
    Cb__BatchRecord *record = NewRecord (CB__BATCH_RECORD__BODY_SUBMIT);
    auto *job = NewMessage<Cb__BatchJob> (&cb__batch_job__descriptor);
    cb_msg_set_string (&job->id, id.c_str ());
    cb_msg_set_string (&job->queue, queue.empty ()
                                        ? ("q" + std::to_string (priority)).c_str ()
                                        : queue.c_str ());
    cb_msg_set_string (&job->service, "svc");
    cb_msg_set_string (&job->account, account.c_str ());
    job->priority = priority;
    job->attempts = attempts;
    job->stretch_milli = priority == 0 ? 1500 : 3000;
    job->slack_ms = priority == 0 ? 250 : 3000;
    job->times = times;
    job->start_at_ms = static_cast<uint64_t> (now);
    job->interval_ms = static_cast<uint64_t> (interval_ms);
    for (const StepSpec &s : steps)
      cb_msg_append (reinterpret_cast<void ***> (&job->steps), &job->n_steps,
                     s.NewStep ());
    record->submit = job;
    Append (record);
  }
  // Submits ID, whose tasks take TASK_MS each, and lets FOR_MS pass.
  void
  SubmitAndRun (const std::string &id, uint32_t priority, std::vector<StepSpec> steps,
                cb_msec_t task_ms, cb_msec_t for_ms, const std::string &account = "acc")
  {
    length_ms[id] = task_ms;
    Submit (id, priority, std::move (steps), account);
    Advance (for_ms);
  }
  // The first worker that runs something, null without one.
  Worker *
  Busy () const
  {
    for (const auto &w : workers)
      if (!w->running.empty ())
        return w.get ();
    return nullptr;
  }
  void
  Cancel (const std::string &id)
  {
    Cb__BatchRecord *record = NewRecord (CB__BATCH_RECORD__BODY_CANCEL);
    record->cancel = NewMessage<Cb__BatchCancel> (&cb__batch_cancel__descriptor);
    cb_msg_set_string (&record->cancel->job, id.c_str ());
    Append (record);
  }
  cb_job_status_t
  Status (const std::string &id)
  {
    EXPECT_EQ (cb_batch_status (lead, id.c_str ()),
               cb_batch_status (follower, id.c_str ()));
    return cb_batch_status (lead, id.c_str ());
  }
  void
  Advance (cb_msec_t by_ms)
  {
    for (cb_msec_t until = now + by_ms; now < until; now += 10)
      {
        for (auto &w : workers)
          Work (*w);
        if (now % 100 == 0)
          for (auto &w : workers)
            Report (*w);
        cb_batch_tick (active, now, now);
        Drain ();
        advisor.Answer (active, now);
        for (auto &w : workers)
          if (w->reached && w->up &&
              cb_batch_orders_changed (active, w->agent.c_str ()))
            Obey (*w);
        Check ();
      }
    EXPECT_EQ (violations, std::vector<std::string> ());
  }
  int
  Running (const std::string &job) const
  {
    int count = 0;

    for (const auto &w : workers)
      for (const auto &r : w->running)
        count += r.first.rfind (job + ".", 0) == 0;
    return count;
  }
  void
  Drain ()
  {
    if (log_away)
      return;
    while (Cb__BatchRecord *record = cb_batch_take_record (active))
      Append (record);
  }
  void
  Report (Worker &w)
  {
    if (!w.up || !w.reached)
      return;
    auto *report = w.NewReport (now);
    cb_batch_report (active, w.agent.c_str (), report, now);
    cb_batch_tick (active, now, now); // as the entry does, before it sends orders
    last_report[w.id] = std::shared_ptr<Cb__WorkerReport> (report, cb_msg_free);
    Drain ();
    Obey (w);
  }
  // Makes the queue of PRIORITY ask the advisor, whose tickets are good for
  // VALIDITY_MS.
  void
  Advised (uint32_t priority, std::set<std::string> allowed, cb_msec_t validity_ms)
  {
    cb_batch_queue_t *advised =
        cb_batch_config_add_queue (config, ("q" + std::to_string (priority)).c_str ());

    advised->advised = TRUE;
    advised->decide_ms = 30;
    advised->decide_each_ms = 2;
    advised->validity_ms = validity_ms;
    config->advised = TRUE;
    advisor.allowed = std::move (allowed);
    advisor.ticket_ms = validity_ms;
  }
  // The scheduler gets the worker's latest report once more.
  void
  RepeatReport (Worker &w)
  {
    cb_batch_report (active, w.agent.c_str (), last_report[w.id].get (), now);
  }
  // A start for an earlier life of W is carried out by this one.
  void
  LateStart (Worker &w, const std::string &task, uint32_t number)
  {
    Run run;

    run.task = task;
    run.run = number;
    run.began_ms = now;
    run.ends_ms = now + 5000;
    w.lease_ms = static_cast<uint64_t> (now + params.hold_max_ms);
    w.running[task] = run;
  }

private:
  cb_batch_t *active = nullptr;
  std::map<std::string, std::shared_ptr<Cb__WorkerReport> > last_report;

  void
  Finish (Worker &w, std::string task, Cb__RunEnd how, const std::string &saved)
  {
    Run run = w.running[task];

    w.running.erase (task);
    w.highest[task] = std::max (w.highest[task], run.run);
    w.ended.push_back ({ ++w.ends, task, run.run, how, saved });
    if (how == CB__RUN_END__RUN_DONE)
      done.insert (task);
    if (how == CB__RUN_END__RUN_STOPPED)
      stopped.insert (task);
    if (run.step.gang)
      for (auto &other : workers)
        {
          std::vector<std::string> members;
          for (const auto &r : other->running)
            if (r.first.substr (0, r.first.rfind ('.')) ==
                task.substr (0, task.rfind ('.')))
              members.push_back (r.first);
          for (const auto &m : members)
            Finish (*other, m,
                    how == CB__RUN_END__RUN_DONE ? how : CB__RUN_END__RUN_BROKEN, "");
        }
  }
  void
  Work (Worker &w)
  {
    if (static_cast<uint64_t> (now) > w.lease_ms)
      while (!w.running.empty ())
        Finish (w, w.running.begin ()->first, CB__RUN_END__RUN_LAPSED, "");
    for (auto &r : w.running)
      if (w.stuck)
        {
          r.second.began_ms += 10;
          r.second.ends_ms += 10;
        }
    std::vector<std::string> due;
    for (const auto &r : w.running)
      if ((!w.stuck && now >= r.second.ends_ms) ||
          (w.fails && now >= r.second.began_ms + kFailsAfterMs))
        due.push_back (r.first);
    for (const auto &task : due)
      if (w.running.count (task))
        {
          bool failed = w.fails || fails[task]-- > 0;

          failed_runs += failed;
          Finish (w, task, failed ? CB__RUN_END__RUN_FAILED : CB__RUN_END__RUN_DONE,
                  "");
        }
  }
  void
  Obey (Worker &w)
  {
    Cb__WorkerOrders *orders = cb_batch_orders (active, w.agent.c_str (), TRUE, now);

    if (w.id == orders->worker && orders->born_ms == w.born_ms)
      {
        w.lease_ms = std::max (w.lease_ms, orders->lease_until_ms);
        while (!w.ended.empty () && w.ended.front ().number <= orders->last_seen)
          w.ended.erase (w.ended.begin ());
        w.rejected.clear ();
        w.absent.clear ();
        for (size_t i = 0; i < orders->n_stops; i++)
          Stop (w, orders->stops[i]);
        for (size_t i = 0; i < orders->n_starts; i++)
          Start (w, orders->starts[i]);
        for (size_t i = 0; i < orders->n_paces; i++)
          if (w.running.count (TaskName (orders->paces[i]->run)))
            w.running[TaskName (orders->paces[i]->run)].pace =
                orders->paces[i]->percent;
      }
    cb_msg_free (orders);
  }
  void
  Stop (Worker &w, const Cb__TaskRun *run)
  {
    std::string task = TaskName (run);

    if (w.running.count (task) && w.running[task].run == run->run)
      Finish (w, task, CB__RUN_END__RUN_STOPPED, "at" + std::to_string (now));
    else
      w.absent.insert (task + "/" + std::to_string (run->run));
    w.highest[task] = std::max (w.highest[task], run->run);
  }
  void
  Start (Worker &w, const Cb__OrderedStart *start)
  {
    std::string task = TaskName (start->run);

    if (w.running.count (task))
      return;
    if (!advisor.Accepts (w, start->ticket, now))
      {
        refused_tickets++;
        w.rejected.insert (task + "/" + std::to_string (start->run->run));
        return;
      }
    if (w.rejects || (w.highest.count (task) && start->run->run <= w.highest[task]))
      {
        w.rejected.insert (task + "/" + std::to_string (start->run->run));
        return;
      }
    Run run;
    cb_msec_t length =
        length_ms.count (start->run->job) ? length_ms[start->run->job] : 1000;
    run.task = task;
    run.run = start->run->run;
    run.began_ms = now;
    run.ends_ms = now + length;
    run.step = Spec (start->run);
    if (done.count (task))
      violations.push_back (task + " started after it was done");
    for (const auto &other : workers)
      if (other->running.count (task))
        violations.push_back (task + " runs twice");
    w.running[task] = run;
    started_with[task] = start->saved;
    first_start_ms.emplace (task, now);
  }
  Cb__BatchStep
  Spec (const Cb__TaskRun *run)
  {
    Cb__BatchSnapshot *snapshot = cb_batch_save (lead, 0);
    Cb__BatchStep spec = CB__BATCH_STEP__INIT;

    for (size_t i = 0; i < snapshot->n_jobs; i++)
      if (strcmp (snapshot->jobs[i]->job->id, run->job) == 0)
        {
          const Cb__BatchStep *step = snapshot->jobs[i]->job->steps[run->step];
          spec.accelerators = step->accelerators;
          spec.cpu_milli = step->cpu_milli;
          spec.gang = step->gang;
          spec.fills = step->fills;
          spec.daemon = step->daemon;
        }
    cb_msg_free (snapshot);
    return spec;
  }
  void
  Check ()
  {
    for (const auto &w : workers)
      {
        uint32_t accelerators = 0;
        uint32_t cpu = 0;
        for (const auto &r : w->running)
          {
            accelerators += r.second.step.accelerators;
            cpu += r.second.step.fills ? 0 : r.second.step.cpu_milli;
          }
        if (accelerators > w->accelerators || cpu > w->cpu_milli)
          violations.push_back (w->id + " is over its capacity");
      }
  }
};

#endif
