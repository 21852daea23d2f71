// The scheduler is killed; ten jobs of 600 small tasks each are handed in 75 ms apart before
// another entry has taken over.
#include "site.hh"

using namespace review;

int
main (int argc, char **argv)
{
  if (argc != 3)
    return COULD_NOT_RUN;
  const int jobs = 10, tasks = 600;
  // The site: 11 runners of 64 cores. All tasks together need 600 of its 704 cores.
  Site site (argv, 3, 11);
  int scheduler;
  int broken = 0;
  std::vector<std::string> ids;

  if (!site.Up ())
    return COULD_NOT_RUN;
  SleepMs (3000);
  scheduler = site.Scheduler ();
  if (scheduler < 0)
    return COULD_NOT_RUN;
  if (site.Trouble ())
    {
      site.Note ("the scheduler, entry%d, is killed", scheduler);
      site.Kill ("entry" + std::to_string (scheduler));
    }
  for (int i = 0; i < jobs; i++)
    {
      char id[32];
      snprintf (id, sizeof id, "00000000000070%02x", i);
      ids.push_back (id);
      if (site.Submit ((scheduler + 1 + i % 2) % 3, 0, id,
                       Site::Job ({ Site::Step (tasks, 0, "run 2000", 2000, "", 100) }))
              .status != 200)
        return COULD_NOT_RUN;
      SleepMs (75);
    }
  SleepMs (500);
  if (site.Trouble ())
    {
      site.Note ("it is started again");
      site.StartEntry (scheduler);
    }
  SleepMs (9000);
  // An ordinary job, 9 s after the disruption.
  ids.push_back ("00000000000070ff");
  if (site.Submit ((scheduler + 1) % 3, 0, ids.back (),
                   Site::Job ({ Site::Step (1, 8, "run 300", 300) }))
          .status != 200)
    return COULD_NOT_RUN;
  SleepMs (25000);
  std::map<std::string, size_t> starts;
  for (auto &r : site.Runs ())
    starts[r.task.substr (0, 16)]++;
  // No run at all of a job, with the whole fleet free, for far more than 3 s.
  for (auto &id : ids)
    {
      site.Note ("job %s: %zu starts, state %s", id.c_str (), starts[id],
                 site.State ((scheduler + 1) % 3, 0, id).c_str ());
      broken += starts[id] == 0;
    }
  for (int i = 0; i < 3; i++)
    site.NoteLog ("entry" + std::to_string (i), { "scheduler_gained", "scheduler_lost", "settled" });
  if (broken > 0)
    site.Note ("LOST: %d of %zu accepted jobs have had nothing running for 25 s and more, on "
               "an idle fleet",
               broken, ids.size ());
  return broken > 0 ? BROKEN : HELD;
}
