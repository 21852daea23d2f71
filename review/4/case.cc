// A runner crashes and starts again under its id. A start that was meant for its earlier
// life reaches the new one, which ends it `done` before its first heartbeat.
#include "site.hh"

using namespace review;

int
main (int argc, char **argv)
{
  if (argc != 3)
    return COULD_NOT_RUN;
  Site site (argv, 3, 8);
  std::string early = "00000000000000c1", late = "00000000000000c2";

  if (!site.Up ())
    return COULD_NOT_RUN;
  // Some work before, so that all runners have ended runs.
  if (site.Submit (0, 1, early, Site::Job ({ Site::Step (24, 8, "run 300", 300) })).status != 200 ||
      !site.Until (15000, [&] { return site.State (0, 1, early) == "completed"; }))
    return COULD_NOT_RUN;
  SleepMs (1000);
  if (site.Trouble ())
    {
      site.Note ("runner1 crashes");
      site.Kill ("runner1");
    }
  // Ordinary work, a task for each runner.
  if (site.Submit (0, 0, late, Site::Job ({ Site::Step (8, 8, "run 400", 400) })).status != 200)
    return COULD_NOT_RUN;
  SleepMs (300);
  if (site.Trouble ())
    {
      site.Note ("runner1 starts again under its id; its first heartbeat follows in 1000 ms");
      site.StartRunner (1, Site::RunnerId (1), 1000);
    }
  site.Until (25000, [&] { return site.State (0, 0, late) == "completed"; });
  SleepMs (1500);
  site.Note ("state of the job: %s", site.State (0, 0, late).c_str ());
  site.NoteLog ("agent1", { "event=worker_", "event=start_failed" });
  for (int i = 0; i < site.entries; i++)
    site.NoteLog ("entry" + std::to_string (i), { "event=worker_gone", "event=run_started", "event=run_ended" });
  return site.CheckTwice () > 0 ? BROKEN : HELD;
}
