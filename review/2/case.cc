// The scheduler is killed while more than 500 tasks end on a runner.
#include "site.hh"

using namespace review;

int
main (int argc, char **argv)
{
  if (argc != 3)
    return COULD_NOT_RUN;
  Site site (argv, 3, 2);
  std::string id = "00000000000000c6";
  const size_t count = 1400;
  int64_t first_ms = 0;
  int scheduler;

  if (!site.Up ())
    return COULD_NOT_RUN;
  SleepMs (2000);
  size_t before = site.Runs ().size ();
  if (site.Submit (0, 0, id, Site::Job ({ Site::Step ((int)count, 0, "run 6000", 6000, "", 90) }))
          .status != 200)
    return COULD_NOT_RUN;
  if (!site.Until (15000, [&] { return site.Runs ().size () >= before + count; }))
    {
      site.Note ("only %zu runs", site.Runs ().size ());
      return COULD_NOT_RUN;
    }
  first_ms = site.Runs ()[before].from_ms;
  scheduler = site.Scheduler ();
  site.Note ("all tasks run; the first one ends in %lld ms", (long long)(first_ms + 6000 - NowMs ()));
  SleepMs (first_ms + 5900 - NowMs ());
  if (site.Trouble ())
    {
      site.Note ("the scheduler, entry%d, is killed", scheduler);
      site.Kill ("entry" + std::to_string (scheduler));
    }
  SleepMs (1500);
  if (site.Trouble ())
    site.StartEntry (scheduler);
  site.Until (30000, [&] { return site.State ((scheduler + 1) % 3, 0, id) == "completed"; });
  SleepMs (2000);
  site.Note ("state of the job: %s", site.State ((scheduler + 1) % 3, 0, id).c_str ());
  int twice = site.CheckTwice (20);
  site.Note ("%d times TWICE", twice);
  return twice > 0 ? BROKEN : HELD;
}
