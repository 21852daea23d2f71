// Compares docs/reasons.md with the reasons of the schema and their counters. A reason
// that the page lacks, or that no longer exists, leaves an operator without an
// explanation.
#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "base/fns.h"

namespace
{

using Names = std::set<std::string>;

Names
SchemaReasons ()
{
  Names names;

  for (unsigned i = 0; i < cb__reason__descriptor.n_values; i++)
    if (cb__reason__descriptor.values[i].value != CB__REASON__REASON_NONE)
      names.insert (cb_reason_text (
          static_cast<Cb__Reason> (cb__reason__descriptor.values[i].value)));
  return names;
}

// Returns the reasons in the first cells of the rows "| `name` |..." of the page.
Names
PageReasons ()
{
  std::ifstream page ("docs/reasons.md");
  Names names;

  for (std::string line; std::getline (page, line);)
    if (line.rfind ("| `", 0) == 0)
      {
        std::string name = line.substr (3, line.find ('`', 3) - 3);

        EXPECT_TRUE (names.insert (name).second) << "twice on the page: " << name;
      }
  return names;
}

// Returns the reasons for which the counter COUNTER is registered.
Names
CounterReasons (const std::string &counter)
{
  cb_counters_t *counters = cb_counters_new ();
  const std::string prefix = "carobrun_" + counter + "{reason=\"";
  Names names;

  cb_reason_register_counters (counters);
  char *text = cb_counters_text (counters);
  std::istringstream lines (text);
  for (std::string line; std::getline (lines, line);)
    if (line.rfind (prefix, 0) == 0)
      {
        size_t end = line.find ('"', prefix.size ());

        EXPECT_EQ (line.substr (end), "\"} 0");
        names.insert (line.substr (prefix.size (), end - prefix.size ()));
      }
  g_free (text);
  cb_counters_free (counters);
  return names;
}

TEST (Reasons, PageNamesExactlyThoseOfTheSchema)
{
  EXPECT_EQ (PageReasons (), SchemaReasons ());
}

TEST (Reasons, CountersNameExactlyThoseOfThePage)
{
  EXPECT_EQ (CounterReasons ("refused_total"), PageReasons ());
  EXPECT_EQ (CounterReasons ("retried_total"), PageReasons ());
}

// The comparison of names doesn't detect a row whose ran, cause or remedy is empty.
TEST (Reasons, EveryRowIsComplete)
{
  std::ifstream page ("docs/reasons.md");

  for (std::string line; std::getline (page, line);)
    {
      if (line.rfind ("| `", 0) != 0)
        continue;
      std::istringstream row (line.substr (1));
      int cells = 0;

      for (std::string cell; std::getline (row, cell, '|'); cells++)
        EXPECT_NE (cell.find_first_not_of (' '), std::string::npos) << line;
      EXPECT_EQ (cells, 5) << line;
    }
}

} // namespace
