// Checks the connections between entries.
#include "test/site.h"

namespace
{

using site::kEndpoints;
using site::Reply;
using site::Site;

int
EntriesUp (Site *site, int entry)
{
  Reply r = site->Call (site->EntryHttp (entry), "GET", "/v1/status", "", 2000);

  return Site::Count (r.body, "\"role\":\"entry\",\"up\":true");
}

// Guards against an entry that keeps sending on a connection that stays open but
// carries no data. The entry still receives heartbeats from its peer over the opposite
// connection, so its own timeout for the peer never expires.
TEST (Links, SilentConnectionBetweenEntriesIsReplaced)
{
  Site site (2, 1, kEndpoints);

  site.StartLink ("link", "entry0", 1);
  ASSERT_TRUE (site.Up ());
  int up = EntriesUp (&site, 1);
  site.Signal ("link", SIGUSR1);
  EXPECT_TRUE (
      site.Until ([&] { return site.Logged ("entry1", "entry entry0 down"); }));
  EXPECT_TRUE (site.Until ([&] { return EntriesUp (&site, 1) == up; }));
  site.ExpectNoViolation ();
}

} // namespace
