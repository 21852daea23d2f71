#include "soak/checks.h"

#include <dirent.h>
#include <jansson.h>
#include <time.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <map>
#include <set>

#include "soak/plan.h"

namespace soak
{

// Bounds of the users' platform (platform/dat.h), in ms.
static const int64_t kContactMs = 3000;
static const int64_t kAckMs = 4000;
static const int64_t kConfigMs = 2000;
static const int64_t kCancelMs = 3000;
static const int64_t kStopMs = 400;
static const int64_t kVisibleMs = 3000;
static const int64_t kEarlyMs = 250;
static const int64_t kDrainMs = 2000;
static const int64_t kReclaimMs = 2900;
static const int64_t kFinishMs = 14000;
static const int64_t kIdleMs = 3000;
static const int kAttempts = 3;
// Capacity of a worker (fakes/runner.c).
static const int kCpuMilli = 64000;
static const int kMemoryMb = 131072;
static const int kAccelerators = 8;

static std::string
TextOf (const json_t *event, const char *name)
{
  const char *text = json_string_value (json_object_get (event, name));

  return text == nullptr ? "" : text;
}

static size_t
LifeAt (const std::vector<Life> &lives, int worker, int64_t time_ms)
{
  size_t found = 0;

  for (size_t i = 0; i < lives.size (); i++)
    if (lives[i].worker == worker && lives[i].begin_ms <= time_ms)
      found = i;
  return found;
}

// Sets the members of RUN that its task names.
static void
ParseTask (Run &run)
{
  size_t a = run.task.find ('.');
  size_t b = run.task.find ('.', a + 1);

  run.job = run.task.substr (0, a);
  run.occurrence = atoi (run.task.c_str () + a + 1);
  run.step = atoi (run.task.c_str () + b + 1);
}

std::vector<Run>
ReadRuns (const std::string &dir, int workers, std::vector<Life> &lives)
{
  std::vector<Run> runs;

  for (int worker = 0; worker < workers; worker++)
    {
      std::ifstream f (dir + "/worker" + std::to_string (worker) + ".trace");
      std::map<std::string, size_t> open; // by task, of this life
      std::map<std::string, size_t> last; // by task and run, of this life
      std::set<std::string> delayed;
      std::string line;

      while (std::getline (f, line))
        {
          json_t *event = json_loads (line.c_str (), 0, nullptr);
          std::string ev = TextOf (event, "ev");
          int64_t t = json_integer_value (json_object_get (event, "t"));
          std::string task = TextOf (event, "task");
          int number =
              static_cast<int> (json_integer_value (json_object_get (event, "run")));
          std::string key = task + "/" + std::to_string (number);

          if (ev == "start")
            {
              open.clear ();
              last.clear ();
              delayed.clear ();
            }
          else if (ev == "start_delayed")
            delayed.insert (task);
          else if (ev == "drain_seen")
            {
              Life &life = lives[LifeAt (lives, worker, t)];

              if (life.drain_seen_ms == 0)
                life.drain_seen_ms = t;
            }
          else if (ev == "run_start")
            {
              Run run = { task,
                          "",
                          0,
                          0,
                          number,
                          LifeAt (lives, worker, t),
                          t,
                          0,
                          "",
                          0,
                          delayed.count (task) > 0,
                          "" };

              ParseTask (run);
              run.end_ms = lives[run.life].end_ms;
              open[task] = last[key] = runs.size ();
              runs.push_back (run);
            }
          else if (ev == "run_end" && open.count (task))
            {
              runs[open[task]].end_ms = t;
              runs[open[task]].how = runs[open[task]].listed = TextOf (event, "how");
              open.erase (task);
            }
          else if (ev == "end_seen" && last.count (key))
            runs[last[key]].noted_ms = t;
          json_decref (event);
        }
    }
  std::sort (runs.begin (), runs.end (),
             [] (const Run &a, const Run &b) { return a.begin_ms < b.begin_ms; });
  return runs;
}

// The members of a gang end together, and one end as done counts for all. The workers
// of fakes/ do not know of each other's members and end them one by one.
static void
EndGangsTogether (Evidence &e)
{
  std::map<std::string, int64_t> done_ms; // by gang and run
  std::set<std::string> gangs;            // jobs
  auto key = [] (const Run &r) {
    return r.task.substr (0, r.task.rfind ('.')) + "/" + std::to_string (r.number);
  };

  for (auto &j : e.jobs)
    if (j.steps[0].gang)
      gangs.insert (j.id);
  for (auto &r : e.runs)
    if (gangs.count (r.job) && r.how == "done" &&
        (!done_ms.count (key (r)) || r.end_ms < done_ms[key (r)]))
      done_ms[key (r)] = r.end_ms;
  for (auto &r : e.runs)
    if (gangs.count (r.job) && done_ms.count (key (r)) &&
        (r.end_ms == 0 || r.end_ms > done_ms[key (r)]))
      {
        r.end_ms = done_ms[key (r)];
        r.how = "done";
      }
}

namespace
{

class Checker
{
public:
  explicit Checker (const Evidence &evidence) : e_ (evidence)
  {
    EndGangsTogether (e_);
    for (auto &j : e_.jobs)
      jobs_[j.id] = &j;
    for (auto &r : e_.runs)
      {
        tasks_[r.task].push_back (&r);
        of_job_[r.job].push_back (&r);
      }
  }

  std::vector<Violation>
  All ()
  {
    for (auto &t : tasks_)
      {
        CheckOverlaps (t.second);
        CheckStartsAfterEnds (t.second);
      }
    for (auto &r : e_.runs)
      CheckStart (r);
    for (size_t life = 0; life < e_.lives.size (); life++)
      CheckRoom (life);
    for (auto &j : e_.jobs)
      {
        for (auto &c : j.submits)
          CheckVersions (j, c);
        CheckRefused (j);
        CheckStates (j);
        CheckEnd (j);
        CheckIdle (j);
        CheckCanceled (j);
        CheckReclaim (j);
      }
    return violations_;
  }

private:
  Evidence e_;
  std::map<std::string, const Job *> jobs_;
  std::map<std::string, std::vector<const Run *> > tasks_;
  std::map<std::string, std::vector<const Run *> > of_job_;
  std::vector<Violation> violations_;

  std::string
  Text (const Run &r) const
  {
    return r.task + " run " + std::to_string (r.number) + " on " + e_.lives[r.life].id +
           " of worker" + std::to_string (e_.lives[r.life].worker) + " from " +
           std::to_string (r.begin_ms) + " to " + std::to_string (r.end_ms) + " (" +
           (r.how.empty () ? "-" : r.how) + (r.late ? ", started late)" : ")");
  }
  void
  Break (const std::string &rule, const std::string &job, const std::string &text)
  {
    violations_.push_back ({ rule, job, text });
  }
  static int64_t
  EndOf (const Run &r)
  {
    return r.end_ms == 0 ? INT64_MAX : r.end_ms;
  }
  void
  CheckOverlaps (const std::vector<const Run *> &runs)
  {
    for (size_t a = 0; a < runs.size (); a++)
      for (size_t b = a + 1; b < runs.size (); b++)
        if (runs[b]->begin_ms < EndOf (*runs[a]))
          Break ("TWICE", runs[a]->job, Text (*runs[a]) + " while " + Text (*runs[b]));
  }
  // Returns whether the end of A as done is one of B's task: its own, or that of
  // another member of the gang.
  bool
  Represents (const Run &a, const Run &b) const
  {
    auto job = jobs_.find (a.job);

    return a.task == b.task || (job != jobs_.end () && job->second->steps[0].gang &&
                                a.step == b.step && a.occurrence == b.occurrence);
  }
  // Checks that nothing starts after a noted end `done` or after all attempts failed.
  void
  CheckStartsAfterEnds (const std::vector<const Run *> &runs)
  {
    auto job = jobs_.find (runs[0]->job);
    int failed = 0;

    if (job != jobs_.end () && job->second->IsDaemon ())
      return;
    for (size_t a = 0; a < runs.size (); a++)
      {
        const Run &r = *runs[a];
        bool noted = r.noted_ms != 0;

        failed += noted && r.listed == "failed";
        if (a + 1 == runs.size () || runs[a + 1]->begin_ms < EndOf (r))
          continue;
        for (const Run *o : of_job_.at (r.job))
          if (o->noted_ms != 0 && o->listed == "done" && Represents (*o, r) &&
              o->number < runs[a + 1]->number && o->end_ms <= runs[a + 1]->begin_ms)
            Break ("TWICE", r.job, Text (*runs[a + 1]) + " after " + Text (*o));
        if (failed >= kAttempts)
          Break ("BUDGET", r.job, Text (*runs[a + 1]) + " after all attempts failed");
      }
  }
  // Returns how many tasks of STEP, of the occurrence of R, are done when R begins.
  int
  DoneBefore (const Run &r, int step) const
  {
    std::set<std::string> done;

    for (const Run *o : of_job_.at (r.job))
      if (o->occurrence == r.occurrence && o->step == step && o->how == "done" &&
          o->end_ms <= r.begin_ms)
        AddDone (*o, done);
    return static_cast<int> (done.size ());
  }
  // Adds the task of R, or all members of its gang, to DONE.
  void
  AddDone (const Run &r, std::set<std::string> &done) const
  {
    const std::vector<StepSpec> &steps = jobs_.at (r.job)->steps;

    if (static_cast<size_t> (r.step) >= steps.size ())
      return;
    const StepSpec &step = steps[static_cast<size_t> (r.step)];
    done.insert (r.task);
    for (int i = 0; step.gang && i < step.count; i++)
      done.insert (r.task.substr (0, r.task.rfind ('.') + 1) + std::to_string (i));
  }
  // Returns whether no fault acted on the process NAME for kContactMs before FROM_MS,
  // nor until TO_MS.
  bool
  InTouch (const std::string &name, int64_t from_ms, int64_t to_ms) const
  {
    for (auto &d : e_.disturbed)
      if ((d.name == name || d.name == "*") && d.begin_ms < to_ms &&
          d.end_ms + kContactMs > from_ms)
        return false;
    return true;
  }
  // Checks that CALL was handled as a version allows that may be in force.
  void
  CheckVersions (const Job &job, const ClientCall &call)
  {
    std::string queue = "q" + std::to_string (job.queue);
    bool allowed = false;
    bool missing = false;

    if (!InTouch ("entry" + std::to_string (call.entry), call.sent_ms,
                  call.answered_ms))
      return;
    for (size_t i = 0; i < e_.versions.size (); i++)
      {
        bool replaced = i + 1 < e_.versions.size () &&
                        e_.versions[i + 1].acknowledged_ms != 0 &&
                        e_.versions[i + 1].acknowledged_ms + kConfigMs < call.sent_ms;

        if (replaced || e_.versions[i].sent_ms == 0 ||
            e_.versions[i].sent_ms > call.answered_ms)
          continue;
        allowed = allowed || e_.versions[i].without != queue;
        missing = missing || e_.versions[i].without == queue;
      }
    if ((call.status == 200 && !allowed) || (call.status == 404 && !missing))
      Break ("CONFIG", job.id,
             "entry" + std::to_string (call.entry) + " answers " +
                 std::to_string (call.status) + " for " + queue + " at " +
                 std::to_string (call.answered_ms));
  }
  void
  CheckStart (const Run &r)
  {
    auto found = jobs_.find (r.job);
    const Life &life = e_.lives[r.life];
    int same = 0;

    if (found == jobs_.end () ||
        static_cast<size_t> (r.step) >= found->second->steps.size ())
      {
        Break ("UNASKED", r.job, Text (r) + " of a job that nobody submitted");
        return;
      }
    const Job &job = *found->second;
    const StepSpec &step = job.steps[static_cast<size_t> (r.step)];
    for (int before : step.after)
      if (DoneBefore (r, before) < job.steps[static_cast<size_t> (before)].count)
        Break ("ORDER", r.job, Text (r) + " before the end of an earlier step");
    if (job.times > 0 &&
        r.begin_ms < job.start_at_ms + r.occurrence * job.interval_ms - kEarlyMs)
      Break ("ORDER", r.job, Text (r) + " before its time");
    if (!step.label.empty () && step.label != life.label && step.label != life.rack)
      Break ("ROUTE", r.job, Text (r) + " without the label " + step.label);
    for (const Run *o : of_job_.at (r.job))
      same += o->life == r.life && o->step == r.step && o->occurrence == r.occurrence &&
              o->begin_ms <= r.begin_ms && EndOf (*o) > r.begin_ms;
    if (step.max_per_worker > 0 && same > step.max_per_worker)
      Break ("ROUTE", r.job, Text (r) + " beyond the limit for each worker");
    if (life.drain_seen_ms != 0 && !r.late &&
        r.begin_ms > life.drain_seen_ms + kDrainMs &&
        InTouch ("agent" + std::to_string (life.worker), r.begin_ms, r.begin_ms))
      Break ("DRAIN", r.job, Text (r) + " on a worker that leaves");
    if (job.CanceledMs () != 0 && !r.late && r.begin_ms > e_.calm_ms + kContactMs &&
        r.begin_ms > job.CanceledMs () + kCancelMs)
      Break ("UNASKED", r.job, Text (r) + " after the job was cancelled");
  }
  // Checks that what runs at a time fits into the worker.
  void
  CheckRoom (size_t life)
  {
    std::vector<const Run *> runs;

    for (auto &r : e_.runs)
      if (r.life == life && jobs_.count (r.job))
        runs.push_back (&r);
    for (const Run *r : runs)
      {
        int cpu = 0;
        int memory = 0;
        int accelerators = 0;

        for (const Run *o : runs)
          {
            const StepSpec &s = jobs_[o->job]->steps[static_cast<size_t> (o->step)];

            if (o->begin_ms > r->begin_ms || EndOf (*o) <= r->begin_ms)
              continue;
            cpu += s.fills ? 0 : s.cpu;
            memory += s.memory_mb;
            accelerators += s.accelerators;
          }
        if (cpu > kCpuMilli || memory > kMemoryMb || accelerators > kAccelerators)
          Break ("LIMIT", r->job,
                 Text (*r) + " brings its worker to " + std::to_string (cpu) +
                     " cpu, " + std::to_string (memory) + " MB, " +
                     std::to_string (accelerators) + " accelerators");
      }
  }
  void
  CheckRefused (const Job &job)
  {
    for (auto &c : job.submits)
      if (c.status != 429 && c.status != 503 && c.status != 404 && c.status != -1)
        return;
    if (of_job_.count (job.id))
      Break ("REFUSED", job.id, Text (*of_job_.at (job.id)[0]) + ", always refused");
  }
  // Returns how many tasks of the job ended as HOW by TIME_MS.
  int
  TasksDone (const Job &job, int64_t time_ms) const
  {
    std::set<std::string> done;

    if (of_job_.count (job.id))
      for (const Run *r : of_job_.at (job.id))
        if (r->how == "done" && r->end_ms <= time_ms)
          AddDone (*r, done);
    return static_cast<int> (done.size ());
  }
  static int
  TaskCount (const Job &job)
  {
    int count = 0;

    for (auto &s : job.steps)
      count += s.count;
    return count * std::max (job.times, 1);
  }
  // Returns whether a task has used its attempts by TIME_MS.
  bool
  HasFailed (const Job &job, int64_t time_ms) const
  {
    std::map<std::string, int> failed;

    if (of_job_.count (job.id))
      for (const Run *r : of_job_.at (job.id))
        // A gang fails as a whole.
        if (r->how == "failed" && r->end_ms <= time_ms &&
            ++failed[job.steps[0].gang ? job.id + std::to_string (r->step) +
                                             std::to_string (r->occurrence)
                                       : r->task] >= kAttempts)
          return true;
    return false;
  }
  void
  CheckStates (const Job &job)
  {
    for (auto &g : job.gets)
      {
        if (g.state == "completed" && TasksDone (job, g.answered_ms) < TaskCount (job))
          Break ("MIXED", job.id,
                 "shown as completed at " + std::to_string (g.answered_ms) + " with " +
                     std::to_string (TasksDone (job, g.answered_ms)) + " of " +
                     std::to_string (TaskCount (job)) + " tasks done");
        if (g.state == "failed" && !HasFailed (job, g.answered_ms))
          Break ("LOST", job.id,
                 "shown as failed without cause at " + std::to_string (g.answered_ms));
        if (g.state == "cancelled" && !job.CancelSent ())
          Break ("LOST", job.id,
                 "shown as cancelled without cause at " +
                     std::to_string (g.answered_ms));
        if (g.status == 410 && job.AcceptedMs () != 0 && !job.CancelSent () &&
            g.sent_ms > job.AcceptedMs () + kVisibleMs &&
            g.sent_ms > e_.calm_ms + kContactMs)
          Break ("LOST", job.id, "unknown at " + std::to_string (g.answered_ms));
        if (!g.state.empty () && job.submits.empty ())
          Break ("MIXED", job.id, "shown and never submitted");
      }
  }
  void
  CheckEnd (const Job &job)
  {
    if (job.AcceptedMs () == 0)
      return;
    if (job.gets.empty ())
      return;
    const ClientCall &last = job.gets.back ();
    bool ended = last.state == "completed" || last.state == "failed" ||
                 last.state == "cancelled";
    if (last.status != 200)
      Break ("LOST", job.id,
             "at the end entry" + std::to_string (last.entry) + " answers " +
                 std::to_string (last.status));
    else if (!ended && TasksDone (job, e_.end_ms - kVisibleMs) == TaskCount (job))
      Break ("LOST", job.id, "at the end it is " + last.state + ", and all is done");
  }
  // Checks that a job whose turn has come is not without a run for kIdleMs in calm
  // times while half of the accelerators and processors are free.
  void
  CheckIdle (const Job &job)
  {
    int64_t from_ms = std::max (e_.load_end_ms, e_.calm_ms + kContactMs) + kFinishMs;
    int64_t idle_since_ms = 0;

    if (job.AcceptedMs () == 0 || job.CancelSent () || job.fails || job.times > 0)
      return;
    for (int64_t t = from_ms; t < e_.end_ms; t += 100)
      {
        bool running = TasksDone (job, t) == TaskCount (job);

        if (of_job_.count (job.id))
          for (const Run *r : of_job_.at (job.id))
            running = running || (r->begin_ms <= t && EndOf (*r) > t);
        if (running || !HalfFree (t))
          idle_since_ms = 0;
        else if (idle_since_ms == 0)
          idle_since_ms = t;
        else if (t - idle_since_ms > kIdleMs)
          {
            Break ("LOST", job.id,
                   "nothing runs from " + std::to_string (idle_since_ms) + " to " +
                       std::to_string (t) + ", with over half of the room free");
            return;
          }
      }
  }
  bool
  HalfFree (int64_t t) const
  {
    int accelerators = 0;
    int cpu = 0;
    int memory = 0;
    int lives = 0;

    for (auto &l : e_.lives)
      lives += l.begin_ms <= t && (l.end_ms == 0 || l.end_ms > t);
    for (auto &r : e_.runs)
      if (r.begin_ms <= t && EndOf (r) > t && jobs_.count (r.job))
        {
          const StepSpec &s = jobs_.at (r.job)->steps[static_cast<size_t> (r.step)];

          accelerators += s.accelerators;
          cpu += s.cpu;
          memory += s.memory_mb;
        }
    return accelerators * 2 < lives * kAccelerators && cpu * 2 < lives * kCpuMilli &&
           memory * 2 < lives * kMemoryMb;
  }
  void
  CheckCanceled (const Job &job)
  {
    int64_t gone_ms =
        std::max (job.CanceledMs (), e_.calm_ms + kContactMs) + kCancelMs + kStopMs;
    bool acknowledged = job.CanceledMs () != 0 || FirstGone (job);

    if (job.CanceledMs () != 0 && of_job_.count (job.id))
      for (const Run *r : of_job_.at (job.id))
        if (int64_t due_ms = r->late ? std::max (gone_ms, r->begin_ms + kContactMs +
                                                              kCancelMs + kStopMs)
                                     : gone_ms;
            r->begin_ms < due_ms && EndOf (*r) > due_ms && due_ms < e_.end_ms)
          Break ("UNASKED", job.id, Text (*r) + " runs on after the cancellation");
    if (job.CancelSent () && !acknowledged && job.AcceptedMs () != 0 &&
        job.cancels[0].sent_ms > e_.calm_ms + kContactMs &&
        job.cancels.back ().answered_ms > job.cancels[0].sent_ms + kAckMs)
      Break ("ACKS", job.id, "a cancellation is not acknowledged in calm times");
  }
  static bool
  FirstGone (const Job &job)
  {
    for (auto &c : job.cancels)
      if (c.status == 410)
        return true;
    return false;
  }
  // Checks that urgent work within the guarantee of its tenant starts in calm times.
  void
  CheckReclaim (const Job &job)
  {
    int64_t accepted_ms = job.AcceptedMs ();
    int64_t due_ms = accepted_ms + kReclaimMs;
    int needed = 0;
    std::set<std::string> begun;

    if (accepted_ms < e_.calm_ms + kContactMs || job.queue != 0 || job.times > 0 ||
        job.CancelSent () || due_ms > e_.end_ms || job.steps[0].accelerators == 0)
      return;
    for (auto &j : e_.jobs)
      {
        bool sent = !j.submits.empty () && j.submits[0].sent_ms < due_ms;

        if (j.queue == 0 && j.tenant == job.tenant && sent &&
            TasksDone (j, accepted_ms) < TaskCount (j))
          for (auto &s : j.steps)
            needed += s.count * s.accelerators * std::max (j.times, 1);
      }
    if (needed > kGuaranteed)
      return;
    if (of_job_.count (job.id))
      for (const Run *r : of_job_.at (job.id))
        if (r->step == 0 && r->begin_ms <= due_ms)
          begun.insert (r->task);
    if (static_cast<int> (begun.size ()) < job.steps[0].count)
      Break ("RECLAIM", job.id,
             std::to_string (begun.size ()) + " of " +
                 std::to_string (job.steps[0].count) + " tasks begun by " +
                 std::to_string (due_ms));
  }
};

// Returns the time of a line of a log or trace, in ms, or 0.
int64_t
TimeOf (const std::string &line)
{
  struct tm tm = {};
  const char *rest;

  if (line.compare (0, 5, "{\"t\":") == 0)
    return strtoll (line.c_str () + 5, nullptr, 10);
  if (line.compare (0, 3, "ts=") != 0)
    return 0;
  rest = strptime (line.c_str () + 3, "%Y-%m-%dT%H:%M:%S", &tm);
  return rest == nullptr ? 0 : timegm (&tm) * 1000 + strtol (rest + 1, nullptr, 10);
}

} // namespace

std::vector<Violation>
Check (const Evidence &evidence)
{
  return Checker (evidence).All ();
}

std::string
Story (const std::string &dir, const std::string &job)
{
  static const char *const words[] = {
    "\"ev\":\"start\"", "\"fault\"",     "level=warn",     "level=error",
    "scheduler_",       "worker_",       "leases_",        "event=registered",
    "event=claim",      "event=started", "event=restored", "agent_",
  };
  std::vector<std::pair<int64_t, std::string> > lines;
  std::string text;
  DIR *d = opendir (dir.c_str ());

  while (struct dirent *entry = d == nullptr ? nullptr : readdir (d))
    {
      std::string name = entry->d_name;
      std::ifstream f (dir + "/" + name);
      std::string line;

      if (name.find (".log") == std::string::npos &&
          name.find (".trace") == std::string::npos)
        continue;
      while (std::getline (f, line))
        {
          bool wanted = line.find (job) != std::string::npos;

          for (const char *w : words)
            wanted = wanted || line.find (w) != std::string::npos;
          if (wanted && TimeOf (line) != 0)
            lines.emplace_back (TimeOf (line), name + ": " + line);
        }
    }
  if (d != nullptr)
    closedir (d);
  std::stable_sort (
      lines.begin (), lines.end (),
      [] (const std::pair<int64_t, std::string> &a,
          const std::pair<int64_t, std::string> &b) { return a.first < b.first; });
  for (auto &l : lines)
    text += std::to_string (l.first) + " " + l.second + "\n";
  return text;
}

} // namespace soak
