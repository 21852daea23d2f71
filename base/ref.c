#include "base/fns.h"

/* Sets the count to one. RELEASE is called when the last reference is dropped. */
void
cb_ref_init (cb_ref_t *ref, void (*release) (void *object))
{
  ref->count = 1;
  ref->release = release;
}

/* Adds one reference. */
void
cb_ref_get (cb_ref_t *ref)
{
  g_assert (ref->count > 0);
  ref->count++;
}

/* Drops one reference to OBJECT, which contains REF, and releases OBJECT with the last
   one. */
void
cb_ref_put (cb_ref_t *ref, void *object)
{
  g_assert (ref->count > 0);
  if (--ref->count == 0)
    ref->release (object);
}
