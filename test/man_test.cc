// Checks that the man pages have an entry for each command, option, settings field and
// trace event.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "base/fns.h"

namespace
{

std::string
ReadFile (const std::string &path)
{
  std::ifstream file (path);
  std::stringstream text;

  EXPECT_TRUE (file.good ()) << path << " cannot be read";
  text << file.rdbuf ();
  return text.str ();
}

// Returns the help of `carobrun ARGUMENTS`.
std::string
Help (const std::string &arguments)
{
  const std::string bin = std::string (getenv ("CAROBRUN_BIN")) + "/carobrun ";
  FILE *pipe = popen ((bin + arguments + " --help").c_str (), "r");
  std::string text;
  char buffer[4096];

  for (size_t n; (n = fread (buffer, 1, sizeof buffer, pipe)) > 0;)
    text.append (buffer, n);
  EXPECT_EQ (pclose (pipe), 0) << arguments;
  return text;
}

// Returns the commands: the first words of the indented lines after "commands:".
std::set<std::string>
Commands ()
{
  std::istringstream lines (Help (""));
  std::set<std::string> names;
  bool listed = false;

  for (std::string line; std::getline (lines, line);)
    {
      if (listed && line.rfind ("  ", 0) == 0)
        names.insert (line.substr (2, line.find (' ', 2) - 2));
      listed = listed || line == "commands:";
    }
  return names;
}

// Returns the long options of COMMAND, each from a line of the help that begins with an
// option.
std::set<std::string>
Options (const std::string &command)
{
  std::istringstream lines (Help (command));
  std::set<std::string> names;

  for (std::string line; std::getline (lines, line);)
    {
      size_t at = line.find ("--");

      if (at == std::string::npos || at > 6 || line[0] != ' ')
        continue;
      names.insert (line.substr (at, line.find_first_of ("=[ ", at) - at));
    }
  return names;
}

// Returns TEXT with its hyphens escaped as in man pages.
std::string
Escaped (const std::string &text)
{
  std::string out;

  for (char c : text)
    out += c == '-' ? std::string ("\\-") : std::string (1, c);
  return out;
}

// Returns whether PAGE contains OPTION, not only a longer option that begins with it.
bool
Mentions (const std::string &page, const std::string &option)
{
  const std::string name = Escaped (option);

  for (size_t at = 0; (at = page.find (name, at)) != std::string::npos;)
    {
      at += name.size ();
      if (!isalnum (page[at]) && page.compare (at, 2, "\\-") != 0)
        return true;
    }
  return false;
}

TEST (Man, EveryCommandHasAPageWithAllItsOptions)
{
  const std::string main_page = ReadFile ("man/carobrun.1");
  const std::set<std::string> commands = Commands ();

  ASSERT_GE (commands.size (), 16u);
  for (const std::string &command : commands)
    {
      std::string page = ReadFile ("man/carobrun-" + command + ".1");
      std::set<std::string> options = Options (command);

      EXPECT_NE (main_page.find (".B " + command + "\n"), std::string::npos) << command;
      EXPECT_TRUE (options.count ("--help") && options.count ("--usage")) << command;
      for (const std::string &option : options)
        EXPECT_TRUE (Mentions (page, option)) << command << " " << option;
    }
}

// Expects that PAGE has an entry for each field of TYPE and its nested messages, under
// its path with PREFIX.
void
ExpectFields (const std::string &page, const ProtobufCMessageDescriptor *type,
              const std::string &prefix)
{
  for (unsigned i = 0; i < type->n_fields; i++)
    {
      const ProtobufCFieldDescriptor &field = type->fields[i];
      std::string path = prefix + field.name;

      if (field.type != PROTOBUF_C_TYPE_MESSAGE)
        {
          EXPECT_NE (page.find (".B " + path + "\n"), std::string::npos) << path;
          continue;
        }
      path += field.label == PROTOBUF_C_LABEL_REPEATED ? "[]" : "";
      ExpectFields (page,
                    static_cast<const ProtobufCMessageDescriptor *> (field.descriptor),
                    path + ".");
    }
}

TEST (Man, EveryFieldOfTheFilesIsExplained)
{
  ExpectFields (ReadFile ("man/carobrun-inventory.5"), &cb__inventory__descriptor, "");
  ExpectFields (ReadFile ("man/carobrun-rules.5"), &cb__rules__descriptor, "");
  ExpectFields (ReadFile ("man/carobrun-settings.5"), &cb__settings__descriptor, "");
  ExpectFields (ReadFile ("man/carobrun-platform.5"),
                &cb__platform_settings__descriptor, "");
}

TEST (Man, EveryEventOfTheTraceIsExplained)
{
  const std::string page = ReadFile ("man/carobrun-trace.5");
  std::istringstream lines (ReadFile ("docs/trace.md"));
  unsigned events = 0;

  for (std::string line; std::getline (lines, line);)
    {
      std::istringstream cell (line.substr (0, line.find (" | ")));

      // The names of the events are between backquotes: every second part.
      for (std::string part;
           line.rfind ("| `", 0) == 0 && std::getline (cell, part, '`') &&
           std::getline (cell, part, '`');
           events++)
        EXPECT_NE (page.find (part), std::string::npos) << part;
    }
  EXPECT_GT (events, 30u);
}

} // namespace
