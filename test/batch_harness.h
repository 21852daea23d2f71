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

struct Run
{
  std::string task;
  uint32_t run = 0;
  cb_msec_t ends_ms = 0;
  cb_msec_t began_ms = 0;
  Cb__BatchStep step = CB__BATCH_STEP__INIT;
  uint32_t pace = 100;
};

struct End
{
  uint64_t number;
  std::string task;
  uint32_t run;
  Cb__RunEnd how;
  std::string saved;
};

struct Worker
{
  std::string id;
  std::string agent;
  std::string rack;
  uint64_t born_ms = 1;
  uint32_t cpu_milli = 64000;
  uint32_t accelerators = 8;
  bool up = true;      // its process runs
  bool reached = true; // its agent reaches the scheduler
  bool draining = false;
  bool rejects = false; // starts
  bool stuck = false;   // tasks make no progress
  bool mute = false;    // it reports none, though they do
  uint64_t lease_ms = 0;
  uint32_t latency_ms = 0;  // of serving tasks, without others
  uint32_t disturb_ms = 60; // more for each task that fills at full pace
  std::map<std::string, Run> running;
  std::vector<End> ended;
  uint64_t ends = 0;
  std::map<std::string, uint32_t> highest; // run that was stopped or ended
  std::set<std::string> rejected;          // task/run
  std::set<std::string> absent;
};

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
};

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
  std::string queue;             // of the next jobs; empty: by priority
  uint32_t times = 0;            // occurrences of the next jobs, from now on
  cb_msec_t interval_ms = 0;     // between them
  bool log_away = false;         // records of the scheduler wait
  std::set<std::string> allowed; // workers that the advisor allows
  cb_msec_t ticket_ms = 0;       // validity; 0: workers ask for no ticket
  int questions = 0;
  int refused_tickets = 0;
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
    cb_batch_question_free (question_);
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
    auto *record =
        static_cast<Cb__BatchRecord *> (cb_msg_new (&cb__batch_record__descriptor));
    record->body_case = body;
    return record;
  }
  // Makes SCHEDULER the scheduler: `lead`, or `follower` for a takeover.
  void
  Claim (cb_batch_t *scheduler)
  {
    Cb__BatchRecord *record = NewRecord (CB__BATCH_RECORD__BODY_CLAIM);
    record->claim =
        static_cast<Cb__BatchClaim *> (cb_msg_new (&cb__batch_claim__descriptor));
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
    auto *job = static_cast<Cb__BatchJob *> (cb_msg_new (&cb__batch_job__descriptor));
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
      {
        auto *step =
            static_cast<Cb__BatchStep *> (cb_msg_new (&cb__batch_step__descriptor));
        step->count = s.count;
        step->accelerators = s.accelerators;
        step->cpu_milli = s.cpu_milli;
        step->gang = s.gang;
        step->same_rack = s.same_rack;
        step->saves = s.saves;
        step->per_worker_max = s.per_worker_max;
        step->estimate_ms = s.estimate_ms;
        step->target_ms = s.target_ms;
        step->max_unavailable = s.max_unavailable;
        step->daemon = s.lasts || s.target_ms > 0;
        step->fills = s.fills;
        step->n_after = s.after.size ();
        if (!s.after.empty ())
          step->after = static_cast<uint32_t *> (calloc (s.after.size (), 4));
        for (size_t i = 0; i < s.after.size (); i++)
          step->after[i] = s.after[i];
        cb_msg_append (reinterpret_cast<void ***> (&job->steps), &job->n_steps, step);
      }
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
    record->cancel =
        static_cast<Cb__BatchCancel *> (cb_msg_new (&cb__batch_cancel__descriptor));
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
        Advise ();
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
    auto *report =
        static_cast<Cb__WorkerReport *> (cb_msg_new (&cb__worker_report__descriptor));
    cb_msg_set_string (&report->worker, w.id.c_str ());
    report->born_ms = w.born_ms;
    cb_msg_set_string (&report->service, "svc");
    report->draining = w.draining;
    report->drain_left_ms = 2000;
    report->cpu_milli = w.cpu_milli;
    report->memory_mb = 131072;
    report->accelerators = w.accelerators;
    for (const std::string &label : { std::string ("a"), w.rack })
      cb_msg_append (reinterpret_cast<void ***> (&report->labels), &report->n_labels,
                     strdup (label.c_str ()));
    report->clock_ms = static_cast<uint64_t> (now);
    for (const auto &r : w.running)
      {
        auto *row =
            static_cast<Cb__RunningTask *> (cb_msg_new (&cb__running_task__descriptor));
        row->run = TaskRun (r.second.task, r.second.run);
        row->percent =
            w.mute ? 50
                   : static_cast<uint32_t> (
                         100 * (now - r.second.began_ms) /
                         std::max<cb_msec_t> (1, r.second.ends_ms - r.second.began_ms));
        if (r.second.step.daemon)
          row->percent = 100; // it is at work
        row->usage = Latency (w);
        cb_msg_append (reinterpret_cast<void ***> (&report->running),
                       &report->n_running, row);
      }
    for (const End &e : w.ended)
      {
        auto *row =
            static_cast<Cb__EndedTask *> (cb_msg_new (&cb__ended_task__descriptor));
        row->number = e.number;
        row->run = TaskRun (e.task, e.run);
        row->how = e.how;
        cb_msg_set_string (&row->saved, e.saved.c_str ());
        cb_msg_append (reinterpret_cast<void ***> (&report->ended), &report->n_ended,
                       row);
      }
    for (const std::string &key : w.rejected)
      AddRun (&report->rejected, &report->n_rejected, key);
    for (const std::string &key : w.absent)
      AddRun (&report->absent, &report->n_absent, key);
    cb_batch_report (active, w.agent.c_str (), report, now);
    cb_batch_tick (active, now, now); // as the entry does, before it sends orders
    last_report[w.id] = std::shared_ptr<Cb__WorkerReport> (report, cb_msg_free);
    Drain ();
    Obey (w);
  }
  // Response time in ms of the tasks that serve on W.
  static uint32_t
  Latency (const Worker &w)
  {
    uint32_t latency_ms = w.latency_ms;

    for (const auto &r : w.running)
      if (r.second.step.fills)
        latency_ms += w.disturb_ms * r.second.pace / 100;
    return latency_ms;
  }
  // Makes the queue of PRIORITY ask the advisor, whose tickets are good for
  // VALIDITY_MS.
  void
  Advised (uint32_t priority, std::set<std::string> workers, cb_msec_t validity_ms)
  {
    cb_batch_queue_t *queue =
        cb_batch_config_add_queue (config, ("q" + std::to_string (priority)).c_str ());

    queue->advised = TRUE;
    queue->decide_ms = 30;
    queue->decide_each_ms = 2;
    queue->validity_ms = validity_ms;
    config->advised = TRUE;
    allowed = std::move (workers);
    ticket_ms = validity_ms;
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
  void
  Crash (Worker &w)
  {
    w.running.clear ();
    w.ended.clear ();
    w.highest.clear ();
    w.rejected.clear ();
    w.absent.clear ();
    w.ends = 0;
    w.lease_ms = 0;
    w.born_ms++;
  }

private:
  cb_batch_t *active = nullptr;
  cb_batch_question_t *question_ = nullptr;
  cb_msec_t asked_ms_ = 0;

  // One question at a time, each takes its time.
  void
  Advise ()
  {
    if (question_ == nullptr)
      {
        question_ = cb_batch_take_question (active);
        asked_ms_ = now;
        questions += question_ != nullptr;
      }
    if (question_ == nullptr || now < asked_ms_ + question_->takes_ms)
      return;
    std::vector<std::string> tickets;
    std::vector<cb_batch_permit_t> permits;
    for (guint i = 0; i < question_->asked->len; i++)
      {
        auto *asked = static_cast<cb_batch_asked_t *> (question_->asked->pdata[i]);
        if (allowed.count (asked->worker))
          tickets.push_back (Ticket (asked->worker, asked->born_ms, now));
        else
          tickets.push_back ("");
      }
    for (guint i = 0; i < question_->asked->len; i++)
      if (!tickets[i].empty ())
        permits.push_back (
            { static_cast<cb_batch_asked_t *> (question_->asked->pdata[i])->worker,
              tickets[i].c_str () });
    cb_batch_permit (active, question_, permits.data (), permits.size (), asked_ms_);
    cb_batch_question_free (question_);
    question_ = nullptr;
  }
  static std::string
  Ticket (const std::string &worker, uint64_t born_ms, cb_msec_t at_ms)
  {
    return worker + "/" + std::to_string (born_ms) + "/" + std::to_string (at_ms);
  }
  bool
  TicketIsGood (const Worker &w, const std::string &ticket) const
  {
    std::string life = w.id + "/" + std::to_string (w.born_ms) + "/";

    return ticket.rfind (life, 0) == 0 &&
           now <= std::stoll (ticket.substr (life.size ())) + ticket_ms;
  }
  std::map<std::string, std::shared_ptr<Cb__WorkerReport> > last_report;

  static Cb__TaskRun *
  TaskRun (const std::string &task, uint32_t number)
  {
    auto *run = static_cast<Cb__TaskRun *> (cb_msg_new (&cb__task_run__descriptor));
    char job[64];

    sscanf (task.c_str (), "%63[^.].%u.%u.%u", job, &run->occurrence, &run->step,
            &run->index);
    cb_msg_set_string (&run->job, job);
    run->run = number;
    return run;
  }
  static void
  AddRun (Cb__TaskRun ***runs, size_t *count, const std::string &key)
  {
    size_t slash = key.find ('/');
    cb_msg_append (reinterpret_cast<void ***> (runs), count,
                   TaskRun (key.substr (0, slash), static_cast<uint32_t> (std::stoul (
                                                       key.substr (slash + 1)))));
  }
  static std::string
  Name (const Cb__TaskRun *run)
  {
    return std::string (run->job) + "." + std::to_string (run->occurrence) + "." +
           std::to_string (run->step) + "." + std::to_string (run->index);
  }
  void
  Finish (Worker &w, std::string task, Cb__RunEnd how, const std::string &saved)
  {
    Run run = w.running[task];

    w.running.erase (task);
    w.highest[task] = std::max (w.highest[task], run.run);
    w.ended.push_back ({ ++w.ends, task, run.run, how, saved });
    if (how == CB__RUN_END__RUN_DONE)
      done.insert (task);
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
      if (!w.stuck && now >= r.second.ends_ms)
        due.push_back (r.first);
    for (const auto &task : due)
      if (w.running.count (task))
        Finish (w, task,
                fails[task]-- > 0 ? CB__RUN_END__RUN_FAILED : CB__RUN_END__RUN_DONE,
                "");
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
          if (w.running.count (Name (orders->paces[i]->run)))
            w.running[Name (orders->paces[i]->run)].pace = orders->paces[i]->percent;
      }
    cb_msg_free (orders);
  }
  void
  Stop (Worker &w, const Cb__TaskRun *run)
  {
    std::string task = Name (run);

    if (w.running.count (task) && w.running[task].run == run->run)
      Finish (w, task, CB__RUN_END__RUN_STOPPED, "at" + std::to_string (now));
    else
      w.absent.insert (task + "/" + std::to_string (run->run));
    w.highest[task] = std::max (w.highest[task], run->run);
  }
  void
  Start (Worker &w, const Cb__OrderedStart *start)
  {
    std::string task = Name (start->run);

    if (w.running.count (task))
      return;
    if (ticket_ms > 0 && !TicketIsGood (w, start->ticket))
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
