// Guards the trace checker: a clean trace must pass, and a trace with a planted
// violation must be rejected under the right invariant.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "verify/fns.h"

namespace
{

struct Result
{
  guint violations;
  std::string invariant;
  uint32_t line;
  uint32_t checked[CB_VERIFY_INVARIANTS + 1];
};

Result
Verify (const std::vector<std::string> &lines)
{
  cb_verify_events_t *events = cb_verify_events_new ();
  cb_verify_bounds_t bounds;
  Result result = {};

  for (size_t i = 0; i < lines.size (); i++)
    EXPECT_EQ (0, cb_verify_events_add (events, "trace", i + 1, lines[i].c_str ()))
        << lines[i];
  cb_verify_events_sort (events);
  cb_verify_default_bounds (&bounds);
  cb_verify_result_t *verified = cb_verify (events, &bounds);
  result.violations = verified->violations->len;
  if (result.violations > 0)
    {
      const cb_violation_t *first =
          static_cast<cb_violation_t *> (g_ptr_array_index (verified->violations, 0));
      result.invariant = first->invariant;
      result.line = first->event->line;
    }
  memcpy (result.checked, verified->checked, sizeof result.checked);
  cb_verify_result_free (verified);
  cb_verify_events_free (events);
  return result;
}

std::string
Event (int64_t t, const char *process, const char *name, const std::string &fields)
{
  return "{\"t\":" + std::to_string (t) + ",\"p\":\"" + process + "\",\"ev\":\"" +
         name + "\"" + (fields.empty () ? "" : "," + fields) + "}";
}

const char kWork[] = "\"account\":\"a\",\"key\":\"k\"";

std::string
Work (const std::string &more)
{
  return std::string (kWork) + "," + more;
}

std::vector<std::string>
CleanRequest ()
{
  return { Event (1, "e1", "req_accept", Work ("\"id\":7,\"not_repeatable\":true")),
           Event (2, "w1", "endpoint_run", kWork),
           Event (3, "w1", "endpoint_done", Work ("\"hash\":\"ff\"")),
           Event (4, "e1", "req_answer", Work ("\"id\":7,\"hash\":\"ff\"")) };
}

TEST (Verify, CleanRequestPasses)
{
  Result r = Verify (CleanRequest ());

  EXPECT_EQ (0u, r.violations);
  EXPECT_EQ (1u, r.checked[3]);
  EXPECT_EQ (1u, r.checked[5]);
}

TEST (Verify, AnswerOfAnotherRequestIsRejected)
{
  auto lines = CleanRequest ();
  lines[3] = Event (4, "e1", "req_answer", Work ("\"id\":7,\"hash\":\"00\""));
  Result r = Verify (lines);

  ASSERT_EQ (1u, r.violations);
  EXPECT_EQ ("I3", r.invariant);
  EXPECT_EQ (4u, r.line);
}

TEST (Verify, SecondReplyToOneCallerIsRejected)
{
  auto lines = CleanRequest ();
  lines.push_back (Event (5, "e1", "req_answer", Work ("\"id\":7,\"hash\":\"ff\"")));
  EXPECT_EQ ("I3", Verify (lines).invariant);
}

TEST (Verify, RefusalWithRanNoAfterARunIsRejected)
{
  Result r =
      Verify ({ Event (1, "e1", "req_accept", Work ("\"id\":7")),
                Event (2, "w1", "endpoint_run", kWork),
                Event (4, "e1", "req_refuse", Work ("\"id\":7,\"ran\":\"no\"")) });

  ASSERT_EQ (1u, r.violations);
  EXPECT_EQ ("I4", r.invariant);
  EXPECT_EQ (3u, r.line);
}

// A key that was answered and is then sent again, for example with a kind that does not
// exist, may be refused with ran: no: the run belongs to the earlier request.
TEST (Verify, RefusalOfALaterRequestOfAnAnsweredKeyPasses)
{
  auto lines = CleanRequest ();
  lines.push_back (Event (9, "e1", "req_refuse", Work ("\"id\":8,\"ran\":\"no\"")));
  EXPECT_EQ (0u, Verify (lines).violations);
}

TEST (Verify, SecondRunOfNonRepeatableIsRejected)
{
  auto lines = CleanRequest ();
  lines.push_back (Event (5, "mf", "mainframe_run", kWork));
  Result r = Verify (lines);

  ASSERT_EQ (1u, r.violations);
  EXPECT_EQ ("I5", r.invariant);
  EXPECT_EQ (5u, r.line);
}

std::vector<std::string>
Gang (int64_t second_start, int64_t end)
{
  return {
    Event (0, "s", "job_start",
           Work ("\"attempt\":1,\"members\":[{\"member\":0},{\"member\":1}]")),
    Event (10, "w1", "worker_start",
           Work ("\"attempt\":1,\"member\":0,\"accels\":[0]")),
    Event (second_start, "w2", "worker_start",
           Work ("\"attempt\":1,\"member\":1,\"accels\":[0]")),
    Event (end, "w1", "worker_end",
           Work ("\"attempt\":1,\"member\":0,\"accels\":[0],\"state\":\"done\"")),
    Event (end + 20000, "w2", "worker_end",
           Work ("\"attempt\":1,\"member\":1,\"accels\":[0],\"state\":\"done\""))
  };
}

TEST (Verify, GangThatStartsWholeAndEndsUnevenlyPasses)
{
  Result r = Verify (Gang (300, 5000));

  EXPECT_EQ (0u, r.violations);
  EXPECT_EQ (1u, r.checked[2]);
}

TEST (Verify, GangWithAMissingMemberIsRejected)
{
  EXPECT_EQ ("I2", Verify (Gang (10011, 20000)).invariant);
  auto lines = Gang (300, 5000);
  lines[3] =
      Event (400, "w1", "worker_end",
             Work ("\"attempt\":1,\"member\":0,\"accels\":[0],\"state\":\"failed\""));
  Result r = Verify (lines);
  ASSERT_EQ (1u, r.violations);
  EXPECT_EQ ("I2", r.invariant);
  EXPECT_EQ (4u, r.line);
}

TEST (Verify, AcceleratorAssignedTwiceIsRejected)
{
  auto lines = Gang (300, 5000);
  lines.push_back (Event (350, "w1", "worker_start",
                          "\"account\":\"b\",\"key\":\"x\",\"attempt\":1,\"member\":0,"
                          "\"accels\":[0]"));
  EXPECT_EQ ("placement", Verify (lines).invariant);
}

TEST (Verify, WorkForALeavingEndpointIsRejected)
{
  auto sent = [] (int64_t t) {
    return Verify ({ Event (0, "g1", "leaving", "\"instance\":\"i1\""),
                     Event (t, "e1", "req_dispatch", Work ("\"agent\":\"g1\"")) });
  };

  EXPECT_EQ (0u, sent (3000).violations);
  EXPECT_EQ ("I6", sent (3001).invariant);
  EXPECT_EQ ("I6", Verify ({ Event (0, "g1", "leaving", ""),
                             Event (1, "g1", "req_run", kWork) })
                       .invariant);
}

TEST (Verify, PlannedStopThatInterruptsARequestIsRejected)
{
  std::vector<std::string> lines = {
    Event (1, "g1", "req_run", kWork), Event (2, "g1", "term", ""),
    Event (3, "g1", "req_ran", Work ("\"hash\":\"ff\"")),
    Event (4, "g1", "exit", "\"in_flight\":0")
  };

  EXPECT_EQ (0u, Verify (lines).violations);
  EXPECT_EQ (1u, Verify (lines).checked[7]);
  lines.erase (lines.begin () + 2);
  EXPECT_EQ ("I7", Verify (lines).invariant);
}

std::vector<std::string>
Config (int64_t applied, int version)
{
  return { Event (0, "g1", "start", "\"role\":\"agent\""),
           Event (100, "e1", "config_accepted", "\"version\":5,\"base\":0"),
           Event (applied, "g1", "config", "\"version\":" + std::to_string (version)),
           Event (30000, "g1", "exit", "") };
}

TEST (Verify, LateOrMissingConfigurationIsRejected)
{
  EXPECT_EQ (0u, Verify (Config (11100, 5)).violations);
  EXPECT_EQ (1u, Verify (Config (11100, 5)).checked[8]);
  EXPECT_EQ ("I8", Verify (Config (11101, 5)).invariant);
  EXPECT_EQ ("I8", Verify (Config (200, 4)).invariant);
}

TEST (Verify, ConfigurationThatGoesBackIsRejected)
{
  auto lines = Config (200, 5);
  lines.push_back (Event (40000, "g1", "start", "\"role\":\"agent\""));
  lines.push_back (Event (40001, "g1", "config", "\"version\":4"));
  Result r = Verify (lines);
  ASSERT_EQ (1u, r.violations);
  EXPECT_EQ ("I8", r.invariant);
  EXPECT_EQ (6u, r.line);
}

// An entry that cannot read the newest version may refuse work instead of
// applying it, from the end of the bound until it applies that version.
TEST (Verify, EntryThatTracedConfigStaleMustRefuseWork)
{
  auto verify = [] (int64_t stale, int64_t accept) {
    return Verify ({ Event (0, "e2", "start", "\"role\":\"entry\""),
                     Event (100, "e1", "config_accepted", "\"version\":5,\"base\":0"),
                     Event (stale, "e2", "config_stale", "\"version\":4,\"newest\":5"),
                     Event (accept, "e2", "req_accept", Work ("\"id\":7")),
                     Event (20000, "e2", "config", "\"version\":5"),
                     Event (30000, "e2", "exit", "") });
  };

  EXPECT_EQ (0u, verify (11100, 11100).violations);
  EXPECT_EQ (0u, verify (11100, 20000).violations);
  EXPECT_EQ ("I8", verify (11101, 20000).invariant);
  EXPECT_EQ ("I8", verify (9000, 11101).invariant);
  EXPECT_EQ ("I8", verify (9000, 19999).invariant);
}

// A `config_stale` event no longer counts once the entry has applied a version after
// it.
TEST (Verify, StaleEntryThatAppliesAnOlderVersionIsRejected)
{
  EXPECT_EQ ("I8",
             Verify ({ Event (0, "e2", "start", "\"role\":\"entry\""),
                       Event (1, "e2", "config_stale", "\"version\":3,\"newest\":4"),
                       Event (2, "e2", "config", "\"version\":4"),
                       Event (100, "e1", "config_accepted", "\"version\":5,\"base\":0"),
                       Event (30000, "e2", "exit", "") })
                 .invariant);
}

TEST (Verify, TwoAcceptedChangesOnOneBaseAreRejected)
{
  auto lines = Config (200, 5);
  lines.push_back (Event (101, "e2", "config_accepted", "\"version\":6,\"base\":0"));
  EXPECT_EQ ("I8", Verify (lines).invariant);
}

TEST (Verify, LateReclaimAndLateUrgentStartAreRejected)
{
  auto reclaim = [] (int64_t took) {
    return Verify (
        { Event (0, "e1", "reclaim", "\"for_account\":\"a\",\"for_key\":\"k\""),
          Event (took, "e1", "reclaimed", "\"for_account\":\"a\",\"for_key\":\"k\"") });
  };

  EXPECT_EQ (0u, reclaim (2000).violations);
  EXPECT_EQ ("I1", reclaim (2001).invariant);
  EXPECT_EQ (
      "I1",
      Verify ({ Event (0, "e1", "urgent_wait", Work ("\"took_ms\":2801")) }).invariant);
  EXPECT_EQ ("I1", Verify ({ Event (0, "e1", "reclaim",
                                    "\"for_account\":\"a\",\"for_key\":\"k\""),
                             Event (2001, "e1", "epoch", "") })
                       .invariant);
}

// A scheduler that was killed traces no `reclaimed` event. The ends of the tasks that
// it preempted must then show that the capacity was free in time.
TEST (Verify, ReclaimOfAKilledSchedulerIsTimedByTheTasks)
{
  auto ends = [] (int64_t t, int members) {
    std::vector<std::string> events = { Event (
        0, "e1", "reclaim", Work ("\"for_account\":\"a\",\"for_key\":\"own\"")) };

    for (int i = 0; i < members; i++)
      events.push_back (
          Event (t, "w", "task_end", Work ("\"member\":0,\"members\":2")));
    events.push_back (Event (5000, "e2", "epoch", ""));
    return Verify (events);
  };

  EXPECT_EQ (0u, ends (2000, 2).violations);
  EXPECT_EQ ("I1", ends (2001, 2).invariant);
  EXPECT_EQ ("I1", ends (2, 1).invariant); // one member still runs
}

// Guards against an urgent job that starts late or never and is not reported because
// each new scheduler counts the delay from its own start. A job that is no longer
// urgent has no bound. After an attempt of which only some members ran, the bound
// counts from the end of that attempt.
TEST (Verify, UrgentJobIsTimedFromItsSubmission)
{
  std::string accept =
      Event (40, "e1", "job_accept",
             Work ("\"members\":2,\"urgent\":true,\"submitted_ms\":10"));
  auto member = [] (int64_t t, const char *name, int member, int attempt) {
    return Event (t, "w", name,
                  Work ("\"member\":" + std::to_string (member) +
                        ",\"members\":2,\"attempt\":" + std::to_string (attempt)));
  };
  auto starts = [&] (int64_t t) {
    return Verify ({ accept, member (100, "task_running", 0, 1),
                     member (t, "task_running", 1, 1) });
  };
  std::string lost = Event (1000, "e1", "urgent_lost", kWork);
  std::string later = Event (2811, "e1", "epoch", "");

  EXPECT_EQ (0u, starts (2810).violations);
  EXPECT_EQ (1u, starts (2810).checked[1]);
  EXPECT_EQ ("I1", starts (2811).invariant);
  EXPECT_EQ (1u, starts (2811).line);
  EXPECT_EQ ("I1", Verify ({ accept, later }).invariant);
  EXPECT_EQ (0u, Verify ({ accept, lost, later }).violations);
  EXPECT_EQ (0u, Verify ({ accept, member (1900, "task_running", 0, 1),
                           member (2000, "task_end", 0, 1),
                           member (4000, "task_running", 0, 2),
                           member (4800, "task_running", 1, 2) })
                     .violations);
}

TEST (Verify, LineThatIsNotAnEventIsReported)
{
  cb_verify_events_t *events = cb_verify_events_new ();

  EXPECT_EQ (CB_VERIFY_SYNTAX,
             cb_verify_events_add (events, "trace", 1, "{\"t\":\"x\"}"));
  EXPECT_EQ (CB_VERIFY_SYNTAX, cb_verify_events_add (events, "trace", 1, "nonsense"));
  cb_verify_events_free (events);
}

} // namespace
