// A worker of batch jobs in virtual time, as its agent reports it.
#ifndef TEST_BATCH_WORKER_H
#define TEST_BATCH_WORKER_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "batch/fns.h"

// A new message of TYPE, freed with cb_msg_free.
template <typename T>
T *
NewMessage (const ProtobufCMessageDescriptor *type)
{
  return static_cast<T *> (cb_msg_new (type));
}

// Run NUMBER of a task that is named JOB.OCCURRENCE.STEP.INDEX.
inline Cb__TaskRun *
NewTaskRun (const std::string &task, uint32_t number)
{
  auto *run = NewMessage<Cb__TaskRun> (&cb__task_run__descriptor);
  char job[64];

  sscanf (task.c_str (), "%63[^.].%u.%u.%u", job, &run->occurrence, &run->step,
          &run->index);
  cb_msg_set_string (&run->job, job);
  run->run = number;
  return run;
}

inline std::string
TaskName (const Cb__TaskRun *run)
{
  return std::string (run->job) + "." + std::to_string (run->occurrence) + "." +
         std::to_string (run->step) + "." + std::to_string (run->index);
}

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
  bool fails = false;   // every run shortly after its start
  uint64_t lease_ms = 0;
  uint32_t latency_ms = 0;  // of serving tasks, without others
  uint32_t disturb_ms = 60; // more for each task that fills at full pace
  std::map<std::string, Run> running;
  std::vector<End> ended;
  uint64_t ends = 0;
  std::map<std::string, uint32_t> highest; // run that was stopped or ended
  std::set<std::string> rejected;          // task/run
  std::set<std::string> absent;

  // Response time in ms of the tasks that serve.
  uint32_t
  Latency () const
  {
    uint32_t sum_ms = latency_ms;

    for (const auto &r : running)
      if (r.second.step.fills)
        sum_ms += disturb_ms * r.second.pace / 100;
    return sum_ms;
  }
  // Its next life: nothing of this one is left.
  void
  Crash ()
  {
    running.clear ();
    ended.clear ();
    highest.clear ();
    rejected.clear ();
    absent.clear ();
    ends = 0;
    lease_ms = 0;
    born_ms++;
  }
  // What its agent reports at NOW; freed with cb_msg_free.
  Cb__WorkerReport *
  NewReport (cb_msec_t now) const
  {
    auto *report = NewMessage<Cb__WorkerReport> (&cb__worker_report__descriptor);

    cb_msg_set_string (&report->worker, id.c_str ());
    report->born_ms = born_ms;
    cb_msg_set_string (&report->service, "svc");
    report->draining = draining;
    report->drain_left_ms = 2000;
    report->cpu_milli = cpu_milli;
    report->memory_mb = 131072;
    report->accelerators = accelerators;
    for (const std::string &label : { std::string ("a"), rack })
      cb_msg_append (reinterpret_cast<void ***> (&report->labels), &report->n_labels,
                     strdup (label.c_str ()));
    report->clock_ms = static_cast<uint64_t> (now);
    for (const auto &r : running)
      AddRunning (report, r.second, now);
    for (const End &e : ended)
      AddEnded (report, e);
    for (const std::string &key : rejected)
      AddRun (&report->rejected, &report->n_rejected, key);
    for (const std::string &key : absent)
      AddRun (&report->absent, &report->n_absent, key);
    return report;
  }

private:
  uint32_t
  Percent (const Run &run, cb_msec_t now) const
  {
    if (run.step.daemon)
      return 100; // it is at work
    if (mute)
      return 50;
    return static_cast<uint32_t> (100 * (now - run.began_ms) /
                                  std::max<cb_msec_t> (1, run.ends_ms - run.began_ms));
  }
  void
  AddRunning (Cb__WorkerReport *report, const Run &run, cb_msec_t now) const
  {
    auto *row = NewMessage<Cb__RunningTask> (&cb__running_task__descriptor);

    row->run = NewTaskRun (run.task, run.run);
    row->percent = Percent (run, now);
    row->usage = Latency ();
    cb_msg_append (reinterpret_cast<void ***> (&report->running), &report->n_running,
                   row);
  }
  static void
  AddEnded (Cb__WorkerReport *report, const End &end)
  {
    auto *row = NewMessage<Cb__EndedTask> (&cb__ended_task__descriptor);

    row->number = end.number;
    row->run = NewTaskRun (end.task, end.run);
    row->how = end.how;
    cb_msg_set_string (&row->saved, end.saved.c_str ());
    cb_msg_append (reinterpret_cast<void ***> (&report->ended), &report->n_ended, row);
  }
  static void
  AddRun (Cb__TaskRun ***runs, size_t *count, const std::string &key)
  {
    size_t slash = key.find ('/');
    cb_msg_append (
        reinterpret_cast<void ***> (runs), count,
        NewTaskRun (key.substr (0, slash),
                    static_cast<uint32_t> (std::stoul (key.substr (slash + 1)))));
  }
};

#endif
